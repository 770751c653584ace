package backend_test

import (
	"fmt"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
	"github.com/tarragonmill/tarragonmill/platform"
)

const (
	// uploadSize is the size in bytes of a body that does not fit into the buffers of a connection.
	uploadSize = 16 << 20
	// unframedHead is the head of a response that ends with the connection.
	unframedHead = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\n\r\n"
)

// moments are the delays of resets after a response, and of reading its body.
var moments = []time.Duration{0, 100 * time.Microsecond, time.Millisecond, 5 * time.Millisecond}

// upload returns an order with a large body.
func upload() backend.Call {
	call := order("a1", true)
	call.Request.Body = make([]byte, uploadSize)

	return call
}

// serveEarly starts a server that sends a response before it has read the body of a request, and then ends the connection
// with end.
func serveEarly(t *testing.T, response string, end func(*net.TCPConn)) *backend.Server {
	t.Helper()

	address, err := raw.ServeResponse(t.Context(), response, end)
	require.NoError(t, err)

	return newServer(t, address.String(), platform.Dialect())
}

// endThenReset returns a function that ends a connection in order and resets it after a delay.
func endThenReset(delay time.Duration) func(*net.TCPConn) {
	return func(connection *net.TCPConn) {
		_ = connection.CloseWrite()

		raw.ResetAfter(delay)(connection)
	}
}

// endWithoutReading ends a connection in order and does not read the rest of the request.
func endWithoutReading(connection *net.TCPConn) {
	_ = connection.CloseWrite()

	time.Sleep(2 * time.Second)
}

// receiveLater sends an upload, waits before it reads the body of the response, and returns the body.
func receiveLater(t *testing.T, s *backend.Server, wait time.Duration) (string, error) {
	t.Helper()

	response, err := s.Do(t.Context(), upload())
	if err != nil {
		return "", err
	}

	time.Sleep(wait)

	body, err := io.ReadAll(response.Body)
	_ = response.Body.Close()

	return string(body), err
}

// TestResetDuringUpload guards against a server that answers an upload at once, without a length, and resets the
// connection while the upload is written. Only one system call on a connection reports a reset. If that is a write, a read
// sees the end of the connection, and the part of the body that has arrived looks like the whole.
func TestResetDuringUpload(t *testing.T) {
	const rounds = 40

	for _, delay := range moments {
		for _, wait := range moments {
			for _, part := range []int{0, 100, 100 << 10} {
				t.Run(fmt.Sprintf("reset after %v, read after %v, %d bytes", delay, wait, part), func(t *testing.T) {
					s := serveEarly(t, unframedHead+strings.Repeat("x", part), raw.ResetAfter(delay))
					whole := 0

					for range rounds {
						if _, err := receiveLater(t, s, wait); err == nil {
							whole++
						}
					}

					require.Zero(t, whole, "of %d parts were taken for the whole", rounds)
				})
			}
		}
	}
}

// TestResetWithoutUpload guards against a part of a response to a request without a large body, or to a probe, that looks
// whole after a reset.
func TestResetWithoutUpload(t *testing.T) {
	const rounds = 20

	for _, delay := range moments {
		t.Run(fmt.Sprintf("reset after %v", delay), func(t *testing.T) {
			s := serveEarly(t, unframedHead+"part", raw.ResetAfter(delay))
			health := serveEarly(t, "HTTP/1.1 200 OK\r\nInstance-Id: i\r\n\r\npart", raw.ResetAfter(delay))

			for range rounds {
				response, err := s.Do(t.Context(), order("a1", true))
				if err == nil {
					_, err = io.ReadAll(response.Body)
				}

				require.Error(t, err)

				_, err = health.Probe(t.Context(), "/health")
				require.Error(t, err)
			}
		})
	}
}

// TestResetDiscardsEnd guards against a part of a response that looks whole because the server has ended the connection,
// although a reset has discarded the rest and the end before they were sent.
func TestResetDiscardsEnd(t *testing.T) {
	const (
		rounds = 40
		size   = 1 << 20
	)

	for _, wait := range moments {
		t.Run(fmt.Sprintf("read after %v", wait), func(t *testing.T) {
			s := serveEarly(t, unframedHead+strings.Repeat("x", size), endThenReset(0))
			parts := 0

			for range rounds {
				if body, err := receiveLater(t, s, wait); err == nil && len(body) < size {
					parts++
				}
			}

			require.Zero(t, parts, "of %d responses were taken for the whole", rounds)
		})
	}
}

// TestResponseBeforeEndOfUpload guards against a whole response that is lost because the server sends it before it has read
// the upload, and then ends the connection.
func TestResponseBeforeEndOfUpload(t *testing.T) {
	const (
		rounds = 5
		// size is that of a body that a server sends without waiting for its peer, so that a reset does not discard a part.
		size = 10 << 10
		// maxTime bounds the time of a response. Its end does not wait for the upload.
		maxTime = time.Second
		head    = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\n"
	)

	body := strings.Repeat("x", size)
	unframed := unframedHead + body
	framed := fmt.Sprintf("%sContent-Length: %d\r\n\r\n%s", head, size, body)
	chunked := fmt.Sprintf("%sTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\nX-Trailer: 1\r\n\r\n", head, size, body)
	old := strings.Replace(unframed, "HTTP/1.1", "HTTP/1.0", 1)

	type test struct {
		response string
		end      func(*net.TCPConn)
	}

	tests := map[string]test{
		"unframed, upload is not read":      {unframed, endWithoutReading},
		"unframed, upload is read":          {unframed, raw.End},
		"HTTP/1.0, upload is not read":      {old, endWithoutReading},
		"HTTP/1.0, upload is read":          {old, raw.End},
		"HTTP/1.0 with length, not read":    {strings.Replace(framed, "HTTP/1.1", "HTTP/1.0", 1), endWithoutReading},
		"interim and unframed, is not read": {"HTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + unframed, endWithoutReading},
	}

	for _, delay := range moments {
		tests[fmt.Sprintf("unframed, reset %v after the end", delay)] = test{unframed, endThenReset(delay)}
		tests[fmt.Sprintf("HTTP/1.0, reset %v after the end", delay)] = test{old, endThenReset(delay)}
		tests[fmt.Sprintf("length, reset after %v", delay)] = test{framed, raw.ResetAfter(delay)}
		tests[fmt.Sprintf("chunked, reset after %v", delay)] = test{chunked, raw.ResetAfter(delay)}
	}

	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			s := serveEarly(t, test.response, test.end)

			for _, wait := range moments {
				for range rounds {
					started := time.Now()
					received, err := receiveLater(t, s, wait)

					require.NoError(t, err)
					require.Equal(t, len(body), len(received))
					require.Less(t, time.Since(started), maxTime)
				}
			}
		})
	}
}
