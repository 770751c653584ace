package http1_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
)

// serveEndless starts a server that reads the head of a request from each connection, and then sends a prefix and a
// text that it repeats until its peer closes the connection.
func serveEndless(t *testing.T, prefix, repeated string) netip.AddrPort {
	t.Helper()

	address, err := raw.Serve(t.Context(), func(accepted net.Conn) {
		_, _ = accepted.Read(make([]byte, 4<<10))
		_, _ = io.WriteString(accepted, prefix)

		raw.Repeat(accepted, repeated)
	})
	require.NoError(t, err)

	return address
}

// Guards against a server that sends endless bytes where a head or the framing of a body is expected, and thereby fills
// the memory or delays the request until its deadline.
func TestEndlessAnswer(t *testing.T) {
	const (
		// maxTime is far below the deadline of any request.
		maxTime = time.Second
		// maxMemory is the largest total allocation for one response, in bytes.
		maxMemory = 32 * http1.DefaultMaxHead
		chunked   = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	)

	for name, response := range map[string]struct{ prefix, repeated string }{
		"no line end":                   {"", "x"},
		"status line":                   {"HTTP/1.1 200 ", "O"},
		"one field":                     {"HTTP/1.1 200 OK\r\nX-Field: ", "x"},
		"fields":                        {"HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"},
		"interim answers":               {"", "HTTP/1.1 100 Continue\r\n\r\n"},
		"early hints":                   {"", "HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"},
		"fields of an interim answer":   {"HTTP/1.1 103 Early Hints\r\n", "Link: </a>\r\n"},
		"chunk size":                    {chunked, "1"},
		"chunk extension":               {chunked + "5;", "x"},
		"chunk extension of every byte": {chunked, "1;" + strings.Repeat("x", 1000) + "\r\nx\r\n"},
		"trailer":                       {chunked + "0\r\n", "X-Field: value\r\n"},
		"trailer line":                  {chunked + "0\r\nX-Field: ", "x"},
		"empty lines":                   {"", "\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			pool := http1.NewPool(serveEndless(t, response.prefix, response.repeated))
			t.Cleanup(pool.Close)

			ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
			defer cancel()

			started := time.Now()
			memory := raw.Allocated(func() { require.Error(t, readResponse(ctx, t, pool)) })

			require.NoError(t, ctx.Err())
			require.Less(t, time.Since(started), maxTime)
			require.Less(t, memory, uint64(maxMemory))
		})
	}
}

// readResponse sends a request and reads its response to the end.
func readResponse(ctx context.Context, t *testing.T, pool *http1.Pool) error {
	t.Helper()

	c, err := pool.Get(ctx, 0)
	require.NoError(t, err)

	defer c.Close()
	defer c.CloseOn(ctx)()

	require.NoError(t, c.Write(http1.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}))

	response, err := c.ReadFinal(http.MethodGet)
	if err != nil {
		return err
	}

	_, err = io.Copy(io.Discard, response.Body)

	return err
}

// Guards against a limit on heads that also counts the bodies between the heads.
func TestLargeBodyAfterHead(t *testing.T) {
	const size = 1 << 20

	_, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		_ = x.Respond(http1.Response{
			Status: http.StatusOK, Header: http.Header{"X-Long": {strings.Repeat("x", 32<<10)}},
			Body: http1.Body{Reader: strings.NewReader(strings.Repeat("y", size)), Length: size},
		})
	}))

	pool := http1.NewPool(netip.MustParseAddrPort(address))
	t.Cleanup(pool.Close)

	c, err := pool.Get(t.Context(), 0)
	require.NoError(t, err)

	defer c.Close()

	for range 3 {
		require.NoError(t, c.Write(http1.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}))

		response, err := c.ReadFinal(http.MethodGet)
		require.NoError(t, err)

		n, err := io.Copy(io.Discard, response.Body)
		require.NoError(t, err)
		require.EqualValues(t, size, n)
	}
}

// Guards against a stated length that makes the process allocate so much memory before the body arrives that it crashes
// or the memory is exhausted.
func TestStatedLength(t *testing.T) {
	_, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
		status := http.StatusOK
		if _, err := x.Body(); err != nil {
			status = http.StatusBadRequest
		}

		_ = x.Respond(http1.Response{Status: status, Header: http.Header{}, Body: http1.Body{Reader: http.NoBody}})
	}))

	for _, length := range []string{"9000000000000000000", "4000000000"} {
		memory := raw.Allocated(func() {
			p := dial(t, address)
			p.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: " + length + "\r\n\r\nbody")
			require.NoError(t, p.Conn.(*net.TCPConn).CloseWrite())

			_, _ = io.ReadAll(p.reader)
		})

		require.Less(t, memory, uint64(1<<20))
	}

	// The server still serves requests.
	p := dial(t, address)
	p.send("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\nbody")

	response, _ := p.read()
	require.Equal(t, http.StatusOK, response.StatusCode)
}

// TestEndlessRequest guards against a caller that sends a head or a body without end. It gets a response, and its
// connection ends although it goes on sending.
func TestEndlessRequest(t *testing.T) {
	const (
		maxTime   = 3 * time.Second
		maxMemory = 8 << 20
	)

	limits := http1.Limits{Header: 16 << 10, Body: 64 << 10}

	for name, test := range map[string]struct {
		prefix, repeated string
		status           int
	}{
		"head":   {"GET / HTTP/1.1\r\nHost: h\r\n", "X-Field: value\r\n", http.StatusRequestHeaderFieldsTooLarge},
		"field":  {"GET / HTTP/1.1\r\nHost: h\r\nX: ", "x", http.StatusRequestHeaderFieldsTooLarge},
		"chunks": {"POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n", "5\r\nabcde\r\n", http.StatusRequestEntityTooLarge},
		"length": {"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 9999999999\r\n\r\n", "abcde", http.StatusRequestEntityTooLarge},
	} {
		t.Run(name, func(t *testing.T) {
			_, address := serve(t, http1.HandlerFunc(func(_ context.Context, x *http1.Exchange) {
				if _, err := x.Body(); err != nil {
					_ = x.Respond(text(http.StatusRequestEntityTooLarge, ""))

					return
				}

				_ = x.Respond(text(http.StatusOK, ""))
			}), http1.WithLimits(func() http1.Limits { return limits }))

			caller, err := net.Dial("tcp", address)
			require.NoError(t, err)

			defer caller.Close()

			responses := make(chan int, 1)

			go func() {
				response, err := http.ReadResponse(bufio.NewReader(caller), nil)
				if err != nil {
					responses <- 0

					return
				}

				responses <- response.StatusCode
			}()

			started := time.Now()
			block := []byte(strings.Repeat(test.repeated, 1+(16<<10)/len(test.repeated)))

			require.Less(t, raw.Allocated(func() {
				_, err := io.WriteString(caller, test.prefix)
				for err == nil && time.Since(started) < maxTime {
					_, err = caller.Write(block)
				}
			}), uint64(maxMemory))
			require.Less(t, time.Since(started), maxTime)
			require.Equal(t, test.status, <-responses)
		})
	}
}
