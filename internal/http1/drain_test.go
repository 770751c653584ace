package http1_test

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/http1"
)

// Guards against a shutdown that interrupts a request in progress, keeps an idle connection open, or does not tell a
// caller that its connection is about to close.
func TestDrain(t *testing.T) {
	started, release := make(chan struct{}), make(chan struct{})
	s, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		if x.Request.RequestURI == "/slow" {
			close(started)
			<-release
		}

		_ = x.Respond(text(http.StatusOK, x.Request.RequestURI))
	}), http1.WithLimits(func() http1.Limits { return http1.Limits{Pipeline: 4} }))

	idle, busy := dial(t, address), dial(t, address)

	idle.send("GET /a HTTP/1.1\r\nHost: h\r\n\r\n")
	idle.read()
	busy.send("GET /slow HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started

	s.Drain()
	idle.requireEnd()

	newPeer := dial(t, address)
	newPeer.send("GET /b HTTP/1.1\r\nHost: h\r\n\r\n")

	response, _ := newPeer.read()
	require.True(t, response.Close)
	newPeer.requireEnd()

	close(release)

	response, body := busy.read()
	require.True(t, response.Close)
	require.Equal(t, "/slow", body)
	busy.requireEnd()
}

// Guards against a pipelined request that was passed to the handler and gets no response because the response before it
// closed the connection.
func TestDrainPipeline(t *testing.T) {
	started, release := make(chan struct{}, 2), make(chan struct{})
	s, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		started <- struct{}{}

		<-release

		_ = x.Respond(text(http.StatusOK, x.Request.RequestURI))
	}), http1.WithLimits(func() http1.Limits { return http1.Limits{Pipeline: 4} }))

	p := dial(t, address)
	p.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\n")
	<-started
	<-started
	s.Drain()
	close(release)

	first, _ := p.read()
	require.False(t, first.Close)

	second, body := p.read()
	require.True(t, second.Close)
	require.Equal(t, "/2", body)
	p.requireEnd()
}

// Guards against requests that are read while the listener closes and then get no response: every request that reaches
// the handler must be answered.
func TestStopUnderLoad(t *testing.T) {
	var handled, answered atomic.Int64

	s, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		handled.Add(1)
		time.Sleep(time.Millisecond)

		_ = x.Respond(text(http.StatusOK, "x"))
	}))

	var group sync.WaitGroup

	for range 16 {
		group.Go(func() {
			for {
				c, err := net.Dial("tcp", address)
				if err != nil {
					return
				}

				client := &http.Client{Transport: &http.Transport{
					DialContext: func(context.Context, string, string) (net.Conn, error) { return c, nil },
				}}

				response, err := client.Get("http://" + address)
				if err == nil {
					answered.Add(1)

					_ = response.Body.Close()
				}

				_ = c.Close()
			}
		})
	}

	time.Sleep(100 * time.Millisecond)
	s.Drain()
	time.Sleep(50 * time.Millisecond)
	s.Stop()
	group.Wait()
	require.Eventually(t, func() bool { return s.OpenRequests() == 0 }, 5*time.Second, time.Millisecond)
	require.Positive(t, handled.Load())
	require.Equal(t, handled.Load(), answered.Load())
}
