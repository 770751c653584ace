package attempt

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

func exampleCall() Call {
	return Call{
		Request: request.Request{
			ID: "r1", Service: "stockdesk", Kind: manifest.NonIdempotent, Key: "k", Fingerprint: 7, Depth: 2, Alone: true,
		},
		Number: 3, NoWait: true, Hint: true, Timeout: time.Second, From: "a", Method: http.MethodPost,
		Target: "/orders?x=1&y=%20", Host: "stockdesk", Header: http.Header{}, Body: []byte("12 dumplings"),
	}
}

// Guards against a field that a codec drops or mixes up.
func TestHeaderRoundTrips(t *testing.T) {
	now := time.Unix(100, 0)
	call := exampleCall()
	got, err := decodeCall(call.encode(), now)
	require.NoError(t, err)

	call.Request.Deadline = now.Add(call.Timeout)
	call.Header, call.Body = nil, nil
	require.Equal(t, call, got)

	reply := Reply{
		ID: "r1", Number: 3, Verdict: verdict.NotRun, Delivery: verdict.NotRun, Status: 503, Size: 12, Reason: "busy",
		Crash: "a/1/2", RetryAfter: time.Second, Server: "b",
		Hinted: true, Hint: load.Hint{InFlight: 1, Queue: 2, Limit: 3, Latency: time.Millisecond, Draining: true},
	}
	decoded, err := decodeReply(reply.encode())
	require.NoError(t, err)
	require.Equal(t, reply, decoded)
}

// Guards against a decoder that panics, or that reads an unreadable verdict as "not run".
func FuzzDecode(f *testing.F) {
	f.Add(exampleCall().encode())
	f.Add(Reply{ID: "r", Verdict: verdict.NotRun}.encode())
	f.Add("verdict=not-run&size=-5&status=99999999999999999999")
	f.Add("request=%zz")

	f.Fuzz(func(t *testing.T, text string) {
		_, _ = decodeCall(text, time.Unix(0, 0))

		reply, err := decodeReply(text)
		if err == nil && reply.Verdict == verdict.NotRun && !strings.Contains(text, "verdict=") &&
			!strings.Contains(text, "%") {
			t.Fatalf("not-run read from %q", text)
		}
	})
}

func serveCalls(t *testing.T, serve func(*Incoming)) netip.AddrPort {
	t.Helper()

	server := httptest.NewServer(Handler("key", serve))
	t.Cleanup(server.Close)

	return netip.MustParseAddrPort(server.Listener.Addr().String())
}

func newTestClient(t *testing.T) *Client {
	t.Helper()

	client := NewClient("key")
	t.Cleanup(client.Close)

	return client
}

// Guards against a reply of another attempt that is taken for the own one.
func TestForeignReply(t *testing.T) {
	address := serveCalls(t, func(in *Incoming) {
		in.Call.Number++
		in.Respond(Reply{Verdict: verdict.Answered, Status: http.StatusOK}, nil, strings.NewReader("x"))
	})
	client := newTestClient(t)

	_, err := client.Do(t.Context(), address, Path, exampleCall())
	require.ErrorIs(t, err, ErrForeign)
	require.Equal(t, int64(1), client.Foreign())
}

// Guards against a refusal that is reported as one that may have run, and against a body that is sent
// before the receiver has admitted the call.
func TestRefusalBeforeBody(t *testing.T) {
	address := serveCalls(t, func(in *Incoming) { in.Respond(Reply{Verdict: verdict.NotRun, Reason: "busy"}, nil, nil) })

	response, err := newTestClient(t).Do(t.Context(), address, Path, exampleCall())
	require.NoError(t, err)
	require.Equal(t, verdict.NotRun, response.Reply.Verdict)
	require.NoError(t, response.Body.Close())
}

// Guards against "not run" for a call whose whole body was received, and against "may have run" for one
// that broke off before.
func TestBrokenConnections(t *testing.T) {
	for _, test := range []struct {
		name string
		read bool
		want verdict.Verdict
	}{{"before the body", false, verdict.NotRun}, {"after the body", true, verdict.MayHaveRun}} {
		t.Run(test.name, func(t *testing.T) {
			address := serveCalls(t, func(in *Incoming) {
				if test.read {
					require.NoError(t, in.ReadBody())
				}

				panic(http.ErrAbortHandler)
			})

			_, err := newTestClient(t).Do(t.Context(), address, Path, exampleCall())

			require.Error(t, err)
			require.Equal(t, test.want, verdict.Of(err))
		})
	}

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	closed := netip.MustParseAddrPort(listener.Addr().String())
	require.NoError(t, listener.Close())

	_, err = newTestClient(t).Do(t.Context(), closed, Path, exampleCall())

	require.Error(t, err)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
}

// Guards against net/http repeating a call by itself after a broken connection, which it does for
// requests with an Idempotency-Key header that it can rewind.
func TestNoHiddenRepeat(t *testing.T) {
	calls := 0
	address := serveCalls(t, func(in *Incoming) {
		calls++

		if err := in.ReadBody(); err != nil {
			return
		}

		if calls == 2 {
			panic(http.ErrAbortHandler)
		}

		in.Respond(Reply{Verdict: verdict.Answered, Status: http.StatusOK}, nil, strings.NewReader("x"))
	})
	client := newTestClient(t)
	call := exampleCall()
	call.Header.Set("Idempotency-Key", "k")

	response, err := client.Do(t.Context(), address, Path, call)
	require.NoError(t, err)

	_, err = io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())

	_, err = client.Do(t.Context(), address, Path, call)
	require.Error(t, err)
	require.Equal(t, 2, calls)
}

// Guards against a body that is shorter or other than what was sent and is taken for the whole.
func TestIncompleteBody(t *testing.T) {
	address := serveCalls(t, func(in *Incoming) {
		if err := in.ReadBody(); err != nil {
			return
		}

		in.Respond(Reply{Verdict: verdict.Answered, Status: http.StatusOK}, nil,
			io.MultiReader(strings.NewReader(strings.Repeat("x", 100_000)), failingReader{}))
	})

	response, err := newTestClient(t).Do(t.Context(), address, Path, exampleCall())
	require.NoError(t, err)

	_, err = io.ReadAll(response.Body)
	require.True(t, errors.Is(err, ErrIncomplete), "%v", err)
	require.NoError(t, response.Body.Close())
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrUnexpectedEOF }
