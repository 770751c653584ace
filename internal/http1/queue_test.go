package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
)

// respondingHandler answers each request with success.
type respondingHandler struct{}

func (respondingHandler) Serve(_ context.Context, x *Exchange) {
	_ = x.Respond(Response{
		Status: http.StatusOK, Header: http.Header{}, Body: Body{Reader: strings.NewReader("ok"), Length: 2},
	})
}

// Guards against a shutdown that resets connections which callers have opened just before: the kernel resets those that
// are in the accept queue when the listener is closed.
func TestCloseAfterQueue(t *testing.T) {
	const queued = 5

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	callers := make([]net.Conn, 0, queued)

	for range queued {
		caller, err := net.Dial("tcp", listener.Addr().String())
		require.NoError(t, err)

		_, err = io.WriteString(caller, "GET / HTTP/1.1\r\nHost: a\r\n\r\n")
		require.NoError(t, err)

		callers = append(callers, caller)
	}

	s := NewServer(respondingHandler{})
	s.Stop()

	// The time for the last Accept has passed before the server looks.
	tcp, ok := listener.(*net.TCPListener)
	require.True(t, ok)
	require.NoError(t, tcp.SetDeadline(time.Now().Add(-time.Second)))

	ctx, cancel := context.WithCancel(t.Context())
	ended := make(chan error, 1)

	go func() { ended <- s.Serve(ctx, listener) }()

	for _, caller := range callers {
		response, err := http.ReadResponse(bufio.NewReader(caller), nil)
		require.NoError(t, err)
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.NoError(t, response.Body.Close())
		require.NoError(t, caller.Close())
	}

	_, err = net.Dial("tcp", listener.Addr().String())
	require.Error(t, err)

	cancel()
	require.NoError(t, <-ended)
}

// TestStopWhileConnecting guards against a connection that is established and then reset without an answer, because its
// handshake ended while the listener was closed.
func TestStopWhileConnecting(t *testing.T) {
	const (
		stops   = 40
		callers = 16
	)

	var lost atomic.Int64

	for range stops {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		require.NoError(t, err)

		s := NewServer(respondingHandler{})
		ctx, cancel := context.WithCancel(t.Context())
		ended := make(chan error, 1)

		go func() { ended <- s.Serve(ctx, listener) }()

		var group sync.WaitGroup
		for range callers {
			group.Go(func() { connectUntilRefused(listener.Addr().String(), &lost) })
		}

		time.Sleep(20 * time.Millisecond)
		s.Stop()
		group.Wait()
		cancel()
		require.NoError(t, <-ended)
	}

	require.Zero(t, lost.Load())
}

// connectUntilRefused sends one request on each of many connections until none is accepted. It counts the connections
// that were accepted and brought no response.
func connectUntilRefused(address string, lost *atomic.Int64) {
	for {
		connection, err := net.DialTimeout("tcp", address, 50*time.Millisecond)
		if err != nil {
			return
		}

		_, _ = io.WriteString(connection, "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n")

		response, err := http.ReadResponse(bufio.NewReader(connection), nil)
		if err != nil {
			lost.Add(1)
		} else {
			_ = response.Body.Close()
		}

		_ = connection.Close()
	}
}
