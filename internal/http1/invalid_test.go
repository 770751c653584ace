package http1_test

import (
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
)

// hidden is a complete response that a faulty peer sends as the body of an invalid one.
const hidden = "HTTP/1.1 200 OK\r\nContent-Length: 6\r\n\r\nhidden"

// Guards against bytes after an invalid response that are taken for the response, and against a request that waits until
// its deadline for a response that cannot follow.
func TestInvalidResponses(t *testing.T) {
	framed := "Content-Length: 44\r\n\r\n" + hidden

	for name, response := range map[string]string{
		"000":              "HTTP/1.1 000 None\r\n" + framed,
		"000 alone":        "HTTP/1.1 000 None\r\n\r\n",
		"099":              "HTTP/1.1 099 Low\r\n" + framed,
		"600":              "HTTP/1.1 600 High\r\n" + framed,
		"999":              "HTTP/1.1 999 High\r\nContent-Length: 0\r\n\r\n",
		"signed":           "HTTP/1.1 +20 Signed\r\n" + framed,
		"upgrade":          "HTTP/1.1 101 Switching Protocols\r\nUpgrade: x\r\nConnection: Upgrade\r\n\r\n" + hidden,
		"interim, length":  "HTTP/1.1 103 Early Hints\r\n" + framed,
		"interim, chunked": "HTTP/1.1 102 Processing\r\nTransfer-Encoding: chunked\r\n\r\n" + hidden,
		"continue, length": "HTTP/1.1 100 Continue\r\n" + framed,
		"many interim":     strings.Repeat("HTTP/1.1 102 Processing\r\n\r\n", 100) + hidden,
	} {
		t.Run(name, func(t *testing.T) {
			address, err := raw.Serve(t.Context(), func(accepted net.Conn) {
				_, _ = accepted.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(accepted, response)
				_, _ = io.Copy(io.Discard, accepted)
			})
			require.NoError(t, err)

			pool := http1.NewPool(address)
			t.Cleanup(pool.Close)

			require.ErrorIs(t, readResponse(t.Context(), t, pool), http1.ErrInvalidResponse)
			require.Zero(t, pool.Idle())
		})
	}
}

// Guards against a refusal of the interim responses that a server may send before its response, also on a connection that
// has carried many of them.
func TestInterimResponses(t *testing.T) {
	const (
		requests = 20
		interim  = "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\nContent-Length: 0\r\n\r\n" +
			"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n"
	)

	address, err := raw.Serve(t.Context(), func(accepted net.Conn) {
		for range requests {
			_, _ = accepted.Read(make([]byte, 4<<10))
			_, _ = io.WriteString(accepted, interim+"HTTP/1.1 599 Rare\r\nContent-Length: 2\r\n\r\nok")
		}
	})
	require.NoError(t, err)

	pool := http1.NewPool(address)
	t.Cleanup(pool.Close)

	for range requests {
		c, err := pool.Get(t.Context(), time.Minute)
		require.NoError(t, err)
		require.NoError(t, c.Write(http1.Request{Method: http.MethodGet, Target: "/", Host: "h", Header: http.Header{}}))

		response, err := c.ReadFinal(http.MethodGet)
		require.NoError(t, err)
		require.Equal(t, 599, response.StatusCode)

		body, err := io.ReadAll(response.Body)
		require.NoError(t, err)
		require.Equal(t, "ok", string(body))
		c.Release()
	}

	require.EqualValues(t, 1, pool.Dials())
}

// chunked is the head of a response in chunks.
const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"

// Guards against a response that counts as whole although its trailer is none, or breaks off.
func TestInvalidTrailers(t *testing.T) {
	for name, trailer := range map[string]string{
		"blank at the end": "X-Field : 1\r\n\r\n", "blank": "X Field: 1\r\n\r\n", "blank at the start": " X-Field: 1\r\n\r\n",
		"control byte": "X\x01Field: 1\r\n\r\n", "no colon": "X-Field\r\n\r\n", "no name": ": 1\r\n\r\n",
		"second field":  "X-Field: 1\r\nContent-Length : 4\r\n\r\n",
		"cut in a name": "X-Fie", "cut after a field": "X-Field: 1\r\n", "missing": "",
	} {
		t.Run(name, func(t *testing.T) {
			require.Error(t, readResponse(t.Context(), t, serveText(t, chunked+"4\r\nbody\r\n0\r\n"+trailer)))
		})
	}
}

// Guards against a refusal of the trailers that a server may send.
func TestTrailers(t *testing.T) {
	for _, trailer := range []string{"\r\n", "X-Field: 1\r\n\r\n", "X-Field: 1\r\nx~field:\r\n\r\n"} {
		require.NoError(t, readResponse(t.Context(), t, serveText(t, chunked+"4\r\nbody\r\n0\r\n"+trailer)))
	}
}

// serveText returns a pool for a server that answers the first request of each connection with a text, and then ends the
// connection in order.
func serveText(t *testing.T, text string) *http1.Pool {
	t.Helper()

	address, err := raw.ServeResponse(t.Context(), text, raw.End)
	require.NoError(t, err)

	pool := http1.NewPool(address)
	t.Cleanup(pool.Close)

	return pool
}
