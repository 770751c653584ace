package backend_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	standin "github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
	"github.com/tarragonmill/tarragonmill/platform"
)

func newServer(t *testing.T, address string, d dialect.Dialect) *backend.Server {
	t.Helper()

	server := backend.NewServer(netip.MustParseAddrPort(address), 4, d)
	t.Cleanup(server.Close)

	return server
}

func order(attempt string, once bool) backend.Call {
	return backend.Call{
		Request: http1.Request{
			Method: http.MethodPost, Target: "/orders?x=1", Host: "stockdesk",
			Header: http.Header{"Idempotency-Key": {"k"}, "X-Kept": {"1"}, "Attempt-Id": {attempt}},
			Body:   []byte("12 dumplings"),
		},
		Attempt: attempt, SendOnce: once,
	}
}

// read requires a complete response and returns its body.
func read(t *testing.T, response *backend.Response) string {
	t.Helper()

	body, err := io.ReadAll(response.Body)
	require.NoError(t, err)

	return string(body)
}

// namedOrder returns an order with a call token.
func namedOrder(token string, once bool) backend.Call {
	call := order("", once)
	call.Request.Header.Set(dialect.Default().CallToken, token)

	return call
}

// repeatToken sets the call token of a request in the header of its response.
func repeatToken(w http.ResponseWriter, r *http.Request) {
	field := dialect.Default().CallToken
	w.Header().Set(field, r.Header.Get(field))
}

// Guards against a request that the client of the server sends again by itself after the server closed a reused
// connection: neither the budget for repeats nor the attempts of the request would count it.
func TestNoRetryOnDroppedConnection(t *testing.T) {
	for _, once := range []bool{true, false} {
		t.Run(fmt.Sprintf("once %t", once), func(t *testing.T) {
			var calls atomic.Int64

			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if calls.Add(1) == 2 {
					panic(http.ErrAbortHandler)
				}

				repeatToken(w, r)
			}))
			t.Cleanup(server.Close)

			s := newServer(t, server.Listener.Addr().String(), dialect.Default())

			response, err := s.Do(t.Context(), namedOrder("c1", once))
			require.NoError(t, err)
			read(t, response)

			_, err = s.Do(t.Context(), namedOrder("c2", once))
			require.Error(t, err)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
			require.True(t, errors.Is(err, backend.ErrDropped))
			require.EqualValues(t, 2, calls.Load())
			require.EqualValues(t, 1, s.Dials(), "the connection was reused")
		})
	}
}

// Guards against a request that runs a second time, outside the retry budget, because its response was lost on a reused
// connection.
func TestNoRetryAfterLostResponse(t *testing.T) {
	const work = 50 * time.Millisecond

	var calls atomic.Int64

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if calls.Add(1) == 2 {
			time.Sleep(work)
			panic(http.ErrAbortHandler)
		}

		repeatToken(w, r)
	}))
	t.Cleanup(server.Close)

	s := newServer(t, server.Listener.Addr().String(), dialect.Default())

	response, err := s.Do(t.Context(), namedOrder("c1", false))
	require.NoError(t, err)
	read(t, response)

	_, err = s.Do(t.Context(), namedOrder("c2", false))
	require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
	require.EqualValues(t, 2, calls.Load())
	require.EqualValues(t, 1, s.Dials(), "the connection was reused")
}

// Guards against the verdict "may have run" for a server that refuses connections, which would prevent a retry.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())

	s := newServer(t, listener.Addr().String(), dialect.Default())

	_, err = s.Do(t.Context(), order("", true))
	require.True(t, errors.Is(err, backend.ErrUnreachable))
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.False(t, s.Reachable(t.Context()))
}

// Guards against a request that is changed on its way to the server, and against a refusal of the server that is taken
// for a response of its service.
func TestServerHeaderFields(t *testing.T) {
	names := dialect.Default()

	var received http.Header

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header.Clone()
		received.Set("Target", r.RequestURI)
		w.Header().Set(names.NotRun, verdict.NotRun.String())
		w.Header().Set(names.State, names.DrainingValue)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)

	s := newServer(t, server.Listener.Addr().String(), names)

	response, err := s.Do(t.Context(), order("", true))
	require.NoError(t, err)
	read(t, response)
	require.True(t, response.NotRun)
	require.Equal(t, "/orders?x=1", received.Get("Target"))
	require.Equal(t, "1", received.Get("X-Kept"))

	health, err := s.Probe(t.Context(), "/health")
	require.NoError(t, err)
	require.True(t, health.Draining)
}

// startStandin starts a stand-in backend server that uses the platform's header fields, and a client for it.
func startStandin(t *testing.T, behaviour standin.Behaviour) (*standin.Server, *backend.Server) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	server := standin.New("i-1", 4, behaviour, standin.WithDialect(platform.Dialect()))
	ended := make(chan error, 1)

	go func() { ended <- server.Serve(t.Context(), listener) }()

	t.Cleanup(func() {
		server.Crash()
		require.NoError(t, <-ended)
	})

	return server, newServer(t, listener.Addr().String(), platform.Dialect())
}

// Guards against a duplicate of an earlier response that is taken for the response to the next request.
func TestForeignResponse(t *testing.T) {
	_, s := startStandin(t, standin.Behaviour{Fault: standin.DuplicateResponse, FaultEvery: 2})

	for n := range 6 {
		attempt := fmt.Sprintf("a%d", n)
		response, err := s.Do(t.Context(), order(attempt, true))
		require.NoError(t, err)
		read(t, response)
		require.Equal(t, attempt, response.Header.Get("Attempt-Id"))

		// The duplicate arrives after the response was read.
		time.Sleep(20 * time.Millisecond)
	}
}

// Guards against a late duplicate of a refusal that is taken for the refusal of the next request on the connection,
// because a refusal contains no attempt identifier: the next request then runs and is sent again.
func TestDuplicateRefusal(t *testing.T) {
	names := platform.Dialect()
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.NotRun)

	order1, order2 := order("a1", true), order("a2", true)
	probe := backend.Call{Request: http1.Request{Method: http.MethodGet, Target: "/health", OmitZeroLength: true}}

	for name, first := range map[string]backend.Call{"request": order1, "probe": probe} {
		t.Run(name, func(t *testing.T) {
			// The second and later requests of a connection receive a duplicate of the refusal.
			address := serveRaw(t, func(number int, r *http.Request) string {
				attempt := r.Header.Get(names.Attempt)
				if number > 1 || attempt != order2.Attempt {
					return refusal
				}

				return fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: 0\r\n\r\n",
					names.Attempt, attempt, names.Seal)
			})

			s := newServer(t, address, names)

			response, err := s.Do(t.Context(), first)
			require.NoError(t, err)
			read(t, response)
			require.True(t, response.NotRun)

			response, err = s.Do(t.Context(), order2)
			require.NoError(t, err)
			read(t, response)
			require.False(t, response.NotRun, "the request has run")
		})
	}
}

// Guards against a late duplicate of a response that is taken for the response to the next request, if the server
// repeats call tokens. Responses of a server that never repeats them must still be accepted.
func TestDuplicateResponse(t *testing.T) {
	const field = "Tarragonmill-Call"

	respond := func(token, body string) string {
		return fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", token, len(body), body)
	}

	for name, test := range map[string]struct{ first, copied string }{
		"with the token of the first": {first: field + ": c1\r\n", copied: field + ": c1\r\n"},
		"without a token":             {first: field + ": c1\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address := serveRaw(t, func(number int, _ *http.Request) string {
				if number == 1 {
					return respond(test.first, "1")
				}

				return respond(test.copied, "1") + respond(field+": c2\r\n", "2")
			})
			s := newServer(t, address, dialect.Default())

			for n, token := range []string{"c1", "c2"} {
				response, err := s.Do(t.Context(), namedOrder(token, true))
				require.NoError(t, err)
				require.Equal(t, fmt.Sprint(n+1), read(t, response))
			}
		})
	}

	// The first response of a connection needs no token. A later one may be a copy of it.
	requests := 0
	address := serveRaw(t, func(number int, _ *http.Request) string {
		requests++
		if number > 1 {
			return respond("", "copy")
		}

		return respond("", fmt.Sprint(requests))
	})
	s := newServer(t, address, dialect.Default())

	for n, token := range []string{"c1", "c2", "c3"} {
		response, err := s.Do(t.Context(), namedOrder(token, true))
		require.NoError(t, err)
		require.Equal(t, fmt.Sprint(n+1), read(t, response))
	}
}

// serveRaw starts a server that answers each request with the text that respond returns. Requests are numbered from 1
// on each connection.
func serveRaw(t *testing.T, respond func(number int, r *http.Request) string) string {
	t.Helper()

	return serveConnections(t, func(connection net.Conn) { serveConnection(connection, respond) })
}

// serveConnections starts a server that passes each connection to serve.
func serveConnections(t *testing.T, serve func(connection net.Conn)) string {
	t.Helper()

	address, err := raw.Serve(t.Context(), serve)
	require.NoError(t, err)

	return address.String()
}

func serveConnection(connection net.Conn, respond func(number int, r *http.Request) string) {
	reader := bufio.NewReader(connection)

	for number := 1; ; number++ {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		_, _ = io.Copy(io.Discard, r.Body)
		_, _ = io.WriteString(connection, respond(number, r))
	}
}

// Guards against a faulty response that is passed on as a success: one that is truncated, that lacks the seal, that is
// not HTTP, or that is missing.
func TestFaultyResponses(t *testing.T) {
	for name, fault := range map[string]standin.Fault{
		"cut short": standin.ShortBody, "unsealed": standin.MissingSeal, "garbage": standin.Garbage, "lost": standin.DropResponse,
	} {
		t.Run(name, func(t *testing.T) {
			server, s := startStandin(t, standin.Behaviour{Fault: fault, FaultEvery: 1})

			response, err := s.Do(t.Context(), order("a", true))
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}

			require.Error(t, err)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
			require.Equal(t, 1, server.ExecutionsByAttempt()["a"].Count)
		})
	}
}

// Guards against a complete response without a length that is taken for a truncated one.
func TestResponseWithoutLength(t *testing.T) {
	_, s := startStandin(t, standin.Behaviour{Fault: standin.MissingLength, FaultEvery: 1})

	response, err := s.Do(t.Context(), order("a", true))
	require.NoError(t, err)
	require.Contains(t, read(t, response), "order k taken by i-1")
}

// Guards against a server that keeps working on a request that was cancelled.
func TestCancelled(t *testing.T) {
	released := make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		<-r.Context().Done()
		close(released)
	}))
	t.Cleanup(server.Close)

	s := newServer(t, server.Listener.Addr().String(), dialect.Default())
	call := backend.Call{Request: http1.Request{
		Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}, OmitZeroLength: true,
	}}

	ctx, cancel := contextWithTimeout(t, 50*time.Millisecond)
	defer cancel()

	_, err := s.Do(ctx, call)
	require.Error(t, err)
	<-released
}

// Guards against a request that runs on another server which has taken over the address, and against a reported load
// that is not read.
func TestProbe(t *testing.T) {
	_, s := startStandin(t, standin.Behaviour{Slowness: 7})

	health, err := s.Probe(t.Context(), "/health")
	require.NoError(t, err)
	require.Equal(t, backend.Health{
		Healthy: true, Instance: "i-1", HasLoad: true, Load: dialect.Load{Slots: 4, Slowness: 7},
	}, health)

	call := order("a", true)
	call.Request.Header.Set("Expect-Instance", "i-0")

	response, err := s.Do(t.Context(), call)
	require.NoError(t, err)
	read(t, response)
	require.True(t, response.NotRun)
	require.EqualValues(t, "i-1", response.Instance)
}

func contextWithTimeout(t *testing.T, timeout time.Duration) (context.Context, context.CancelFunc) {
	t.Helper()

	return context.WithTimeout(t.Context(), timeout)
}
