package http1_test

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/memory"
)

// Guards against a body that is read although its request is refused, and against a refusal that the peer does not receive
// because it still sends.
func TestRefusedBody(t *testing.T) {
	account := memory.New(1 << 20)
	_, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		_ = x.Respond(text(http.StatusNotFound, "no"))
	}), http1.WithMemory(account))

	for _, framing := range []string{"Content-Length: 3000000", "Transfer-Encoding: chunked"} {
		p := dial(t, address)
		p.send("POST / HTTP/1.1\r\nHost: h\r\n" + framing + "\r\n\r\n" + "100000\r\n" + strings.Repeat("x", 1<<20))

		response, body := p.read()
		require.Equal(t, http.StatusNotFound, response.StatusCode)
		require.Equal(t, "no", body)
		require.True(t, response.Close)
		require.Zero(t, account.State().Refused)
	}

	// A body that has arrived with the head does not cost the connection.
	p := dial(t, address)
	for range 2 {
		p.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2\r\n\r\nab")

		response, _ := p.read()
		require.False(t, response.Close)
	}

	require.Eventually(t, func() bool { return account.State().Used == 0 }, time.Second, time.Millisecond)
}

// Guards against a large body that is refused with an error of the caller, or that keeps small bodies out, when the account
// is full, and against bytes that stay in the account.
func TestFullAccount(t *testing.T) {
	account := memory.New(1 << 20)
	_, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		body, err := x.Body()

		status := http.StatusOK
		if err != nil {
			require.ErrorIs(t, err, memory.ErrFull)

			status = http.StatusServiceUnavailable
		}

		_ = x.Respond(text(status, fmt.Sprint(len(body))))
	}), http1.WithMemory(account))

	for range 3 {
		p := dial(t, address)
		p.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 2000000\r\n\r\n" + strings.Repeat("x", 1<<20))

		response, _ := p.read()
		require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)

		p = dial(t, address)
		p.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 300000\r\n\r\n" + strings.Repeat("x", 300_000))

		_, body := p.read()
		require.Equal(t, "300000", body)
	}

	require.Eventually(t, func() bool { return account.State().Used == 0 }, time.Second, time.Millisecond)
}

// Guards against a body that takes as long as its sender likes, and against a slow one that is refused within its time.
func TestBodyTime(t *testing.T) {
	errs := make(chan error, 1)
	server, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		x.AcceptBody(-1, 300*time.Millisecond)

		_, err := x.Body()
		errs <- err

		_ = x.Respond(text(http.StatusOK, ""))
	}))

	p := dial(t, address)
	p.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\na")
	time.Sleep(50 * time.Millisecond)
	p.send("bcde")
	require.NoError(t, <-errs)

	p = dial(t, address)
	p.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nabcd")
	require.ErrorIs(t, <-errs, http1.ErrBodySlow)
	require.EqualValues(t, 1, server.Closed(http1.ClosedSlow))
}

// Guards against connections without a request that keep others out, and against the loss of one that is in use.
func TestConnectionLimit(t *testing.T) {
	server, address := serve(t, http1.HandlerFunc(echo),
		http1.WithLimits(func() http1.Limits { return http1.Limits{Connections: 3} }))

	used := dial(t, address)

	for dialled := 1; dialled <= 10; dialled++ {
		dial(t, address)
		// A connection that is accepted only after the next request makes the used one the one idle for longest.
		require.Eventually(t, func() bool {
			return server.Closed(http1.ClosedExcess) == int64(max(0, dialled-2)) && server.Connections() >= min(dialled+1, 3)
		}, 10*time.Second, time.Millisecond)
		used.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		used.read()
	}

	require.EqualValues(t, 8, server.Closed(http1.ClosedExcess))
	require.LessOrEqual(t, server.Connections(), 4)
}

// Guards against connections that all have an incomplete body, too small for the account of memory, and keep others out.
func TestConnectionLimitWithBodies(t *testing.T) {
	const limit = 3

	arrived := make(chan struct{}, limit+1)
	_, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		arrived <- struct{}{}

		status := http.StatusOK
		if _, err := x.Body(); errors.Is(err, http1.ErrBodyAborted) {
			status = http.StatusServiceUnavailable
		}

		_ = x.Respond(text(status, ""))
	}), http1.WithLimits(func() http1.Limits { return http1.Limits{Connections: limit} }))

	stalled := make([]*peer, limit)
	for n := range stalled {
		stalled[n] = dial(t, address)
		stalled[n].send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\n")
		<-arrived
	}

	time.Sleep(1100 * time.Millisecond)

	ordinary := dial(t, address)
	ordinary.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")

	response, _ := ordinary.read()
	require.Equal(t, http.StatusOK, response.StatusCode)

	response, _ = stalled[0].read()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
}

// Guards against a head of very many short fields, and against a refusal of one that fits into 16 KiB.
func TestManyFields(t *testing.T) {
	_, address := serve(t, http1.HandlerFunc(echo))

	for count, status := range map[int]int{4000: http.StatusOK, 5000: http.StatusRequestHeaderFieldsTooLarge} {
		p := dial(t, address)
		p.send("GET / HTTP/1.1\r\nHost: h\r\n" + strings.Repeat("a:\r\n", count) + "\r\n")

		response, _ := p.read()
		require.Equal(t, status, response.StatusCode)
	}
}
