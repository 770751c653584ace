package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/http1"
)

// serve starts a server that is stopped at the end of the test, and returns it with its address.
func serve(t *testing.T, handler http1.Handler, options ...http1.ServerOption) (*http1.Server, string) {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	s := http1.NewServer(handler, options...)
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)

	go func() { ended <- s.Serve(ctx, listener) }()

	t.Cleanup(func() {
		cancel()
		require.NoError(t, <-ended)
	})

	return s, listener.Addr().String()
}

// peer is the client side of a raw connection.
type peer struct {
	*testing.T
	net.Conn
	reader *bufio.Reader
}

func dial(t *testing.T, address string) *peer {
	t.Helper()

	c, err := net.Dial("tcp", address)
	require.NoError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	require.NoError(t, c.SetDeadline(time.Now().Add(10*time.Second)))

	return &peer{T: t, Conn: c, reader: bufio.NewReader(c)}
}

func (p *peer) send(text string) {
	p.Helper()

	_, err := io.WriteString(p.Conn, text)
	require.NoError(p, err)
}

// read returns the next response and its body.
func (p *peer) read() (*http.Response, string) {
	p.Helper()

	response, err := http.ReadResponse(p.reader, nil)
	require.NoError(p, err)

	body, err := io.ReadAll(response.Body)
	require.NoError(p, err)

	return response, string(body)
}

// requireEnd requires that the connection ends without another byte.
func (p *peer) requireEnd() {
	p.Helper()

	_, err := p.reader.ReadByte()
	require.ErrorIs(p, err, io.EOF)
}

func text(status int, body string) http1.Response {
	return http1.Response{
		Status: status, Header: http.Header{},
		Body: http1.Body{Reader: strings.NewReader(body), Length: int64(len(body))},
	}
}

// echo responds with the method, target and body of the request.
func echo(_ context.Context, x *http1.Exchange) {
	body, err := x.Body()
	if err != nil {
		x.Abort()

		return
	}

	_ = x.Respond(text(http.StatusOK, x.Request.Method+" "+x.Request.RequestURI+" "+string(body)))
}

// Guards against a body that is read with the wrong framing, and against a connection that cannot be reused after the
// body.
func TestBodies(t *testing.T) {
	_, address := serve(t, http1.HandlerFunc(echo))
	p := dial(t, address)

	for _, c := range []struct{ request, want string }{
		{"GET /a?b=%2f HTTP/1.1\r\nHost: h\r\n\r\n", "GET /a?b=%2f "},
		{"POST /b HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello", "POST /b hello"},
		{"POST /c HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n2\r\nde\r\n0\r\n\r\n", "POST /c abcde"},
		{"DELETE /d HTTP/1.1\r\nHost: h\r\nContent-Length: 0\r\n\r\n", "DELETE /d "},
	} {
		p.send(c.request)

		response, body := p.read()
		require.Equal(t, http.StatusOK, response.StatusCode)
		require.Equal(t, c.want, body)
	}
}

// Guards against pipelined requests that wait for each other, and against responses that are not in the order of the
// requests.
func TestPipeline(t *testing.T) {
	arrived, release := make(chan string, 3), make(chan struct{})
	_, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		arrived <- x.Request.RequestURI

		if x.Request.RequestURI == "/1" {
			<-release
		}

		_ = x.Respond(text(http.StatusOK, x.Request.RequestURI))
	}), http1.WithLimits(func() http1.Limits { return http1.Limits{Pipeline: 8} }))

	p := dial(t, address)
	p.send("GET /1 HTTP/1.1\r\nHost: h\r\n\r\nGET /2 HTTP/1.1\r\nHost: h\r\n\r\nGET /3 HTTP/1.1\r\nHost: h\r\n\r\n")

	for range 3 {
		<-arrived
	}

	close(release)

	for _, want := range []string{"/1", "/2", "/3"} {
		_, body := p.read()
		require.Equal(t, want, body)
	}
}

// Guards against requests that keep running after their caller has closed the connection, in particular if the
// connection has several requests in progress.
func TestPeerLeaves(t *testing.T) {
	const requests = 2

	started, cancelled := make(chan struct{}, requests), make(chan struct{}, requests)
	_, address := serve(t, http1.HandlerFunc(func(ctx context.Context, x *http1.Exchange) {
		started <- struct{}{}

		<-ctx.Done()

		cancelled <- struct{}{}

		x.Abort()
	}), http1.WithLimits(func() http1.Limits { return http1.Limits{Pipeline: 8} }))

	p := dial(t, address)
	p.send(strings.Repeat("GET / HTTP/1.1\r\nHost: h\r\n\r\n", requests))

	for range requests {
		<-started
	}

	require.NoError(t, p.Close())

	for range requests {
		<-cancelled
	}
}

// Guards against a request with "Connection: close" that is cancelled because no other request follows.
func TestLastRequest(t *testing.T) {
	_, address := serve(t, http1.HandlerFunc(func(ctx context.Context, x *http1.Exchange) {
		select {
		case <-ctx.Done():
			x.Abort()
		case <-time.After(50 * time.Millisecond):
			_ = x.Respond(text(http.StatusOK, "done"))
		}
	}))

	p := dial(t, address)
	p.send("GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n")

	response, body := p.read()
	require.True(t, response.Close)
	require.Equal(t, "done", body)
	p.requireEnd()
}

// Guards against a malformed, large or slow head that is passed to the handler or gets no final response.
func TestBadHeads(t *testing.T) {
	_, address := serve(t, http1.HandlerFunc(echo), http1.WithLimits(func() http1.Limits {
		return http1.Limits{Header: 1024, Body: 8, HeaderTimeout: 100 * time.Millisecond}
	}))

	for name, c := range map[string]struct {
		request string
		status  int
	}{
		"garbage":         {"what is this\r\n\r\n", http.StatusBadRequest},
		"bad length":      {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: x\r\n\r\n", http.StatusBadRequest},
		"two lengths":     {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 1\r\nContent-Length: 2\r\n\r\nab", http.StatusBadRequest},
		"unknown coding":  {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: rot13\r\n\r\n", http.StatusBadRequest},
		"large head":      {"GET / HTTP/1.1\r\nHost: h\r\nX: " + strings.Repeat("x", 8192) + "\r\n\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"head cut short":  {"GET / HTTP/1.1\r\nHo", http.StatusRequestTimeout},
		"space in header": {"GET / HTTP/1.1\r\nHost : h\r\n\r\n", http.StatusBadRequest},
	} {
		t.Run(name, func(t *testing.T) {
			p := dial(t, address)
			p.send(c.request)

			response, _ := p.read()
			require.Equal(t, c.status, response.StatusCode)
			require.True(t, response.Close)
		})
	}
}

// Guards against a body beyond the limit that is held in memory or passed to the handler truncated.
func TestLargeBodies(t *testing.T) {
	results := make(chan error, 2)
	_, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		_, err := x.Body()
		results <- err

		_ = x.Respond(text(http.StatusRequestEntityTooLarge, ""))
	}), http1.WithLimits(func() http1.Limits { return http1.Limits{Body: 8} }))

	for _, request := range []string{
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9\r\n\r\n123456789",
		"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n9\r\n123456789\r\n0\r\n\r\n",
	} {
		p := dial(t, address)
		p.send(request)
		require.ErrorIs(t, <-results, http1.ErrBodyTooLarge)
	}
}

// Guards against a caller that waits for 100 Continue forever, and against a connection on which the body of a refused
// request is taken for the next request.
func TestExpectContinue(t *testing.T) {
	_, address := serve(t, http1.HandlerFunc(func(ctx context.Context, x *http1.Exchange) {
		if x.Request.RequestURI == "/no" {
			_ = x.Respond(text(http.StatusServiceUnavailable, ""))

			return
		}

		echo(ctx, x)
	}))

	p := dial(t, address)
	p.send("POST /yes HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")

	interim, err := http.ReadResponse(p.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, interim.StatusCode)
	p.send("ab")

	_, body := p.read()
	require.Equal(t, "POST /yes ab", body)

	p.send("POST /no HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")

	response, _ := p.read()
	require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
	require.True(t, response.Close)
}

// Guards against the same errors on connections between daemons, where the body of a refused call is never sent and the
// connection is reused.
func TestSkippedBody(t *testing.T) {
	_, address := serve(t, http1.HandlerFunc(func(ctx context.Context, x *http1.Exchange) {
		if x.Request.RequestURI == "/no" {
			_ = x.Respond(text(http.StatusOK, "refused"))

			return
		}

		echo(ctx, x)
	}), http1.WithSkippedBody())

	p := dial(t, address)

	for range 3 {
		p.send("POST /no HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")

		response, body := p.read()
		require.Equal(t, "refused", body)
		require.False(t, response.Close)
	}

	p.send("POST /yes HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 2\r\n\r\n")

	interim, err := http.ReadResponse(p.reader, nil)
	require.NoError(t, err)
	require.Equal(t, http.StatusContinue, interim.StatusCode)
	p.send("ab")

	_, body := p.read()
	require.Equal(t, "POST /yes ab", body)
}

// Guards against a truncated response that looks complete.
func TestBrokenResponse(t *testing.T) {
	for name, length := range map[string]int64{"stated length": 10, "chunked": http1.UnknownLength} {
		t.Run(name, func(t *testing.T) {
			_, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
				truncated := io.MultiReader(strings.NewReader("abc"), failingReader{})
				_ = x.Respond(http1.Response{
					Status: http.StatusOK, Header: http.Header{}, Body: http1.Body{Reader: truncated, Length: length},
				})
			}))

			p := dial(t, address)
			p.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")

			response, err := http.ReadResponse(p.reader, nil)
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}

			require.Error(t, err)
		})
	}
}

type failingReader struct{}

func (failingReader) Read([]byte) (int, error) { return 0, io.ErrClosedPipe }

// Guards against an idle connection that is kept forever, and against one that is closed before its timeout.
func TestIdleTimeout(t *testing.T) {
	const idle = 200 * time.Millisecond

	_, address := serve(t, http1.HandlerFunc(echo), http1.WithLimits(func() http1.Limits {
		return http1.Limits{IdleTimeout: idle}
	}))

	p := dial(t, address)

	for range 3 {
		p.send("GET / HTTP/1.1\r\nHost: h\r\n\r\n")
		p.read()
		time.Sleep(idle * 4 / 5)
	}

	started := time.Now()

	p.requireEnd()
	require.Less(t, time.Since(started), 5*time.Second)
}
