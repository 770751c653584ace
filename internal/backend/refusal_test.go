package backend_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
	"github.com/tarragonmill/tarragonmill/platform"
)

// serveRefusedTwice starts a server that refuses the first request of the first connection, writes the refusal once more
// when the next request arrives there, and runs all other requests.
func serveRefusedTwice(t *testing.T, refusal, success string) string {
	t.Helper()

	refused := false

	return serveRaw(t, func(number int, _ *http.Request) string {
		switch {
		case !refused:
			refused = true

			return refusal
		case number > 1:
			return refusal + success
		default:
			return success
		}
	})
}

// TestRefusalWrittenTwice guards against a second copy of a refusal, written while a later request runs, that is taken
// for the refusal of that request: its caller would be told that an order was not run although it was.
func TestRefusalWrittenTwice(t *testing.T) {
	names := dialect.Default()
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: not-run\r\nContent-Length: 0\r\n\r\n", names.NotRun)
	address := serveRefusedTwice(t, refusal, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ntaken")
	s := newServer(t, address, names)

	first, err := s.Do(t.Context(), order("", true))
	require.NoError(t, err)
	read(t, first)
	require.True(t, first.NotRun)

	second, err := s.Do(t.Context(), order("", true))
	require.NoError(t, err)
	require.False(t, second.NotRun, "the order has run")
	require.Equal(t, "taken", read(t, second))
}

// TestUnknownRefusalWrittenTwice guards against the same for a refusal that the dialect does not know: its caller would get
// the refusal of an earlier request as the response to an order that was run.
func TestUnknownRefusalWrittenTwice(t *testing.T) {
	for _, status := range []string{"503 Service Unavailable", "429 Too Many Requests", "421 Misdirected Request"} {
		refusal := "HTTP/1.1 " + status + "\r\nNot-Executed: 1\r\nContent-Length: 0\r\n\r\n"
		address := serveRefusedTwice(t, refusal, "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ntaken")
		s := newServer(t, address, dialect.Default())

		first, err := s.Do(t.Context(), order("", true))
		require.NoError(t, err)
		read(t, first)

		second, err := s.Do(t.Context(), order("", true))
		require.NoError(t, err)
		require.Equal(t, "taken", read(t, second), status)
	}
}

// TestRefusalOfNobody guards against a refusal without an identifier that arrives on a connection in use for another
// request and is taken for the refusal of that request.
func TestRefusalOfNobody(t *testing.T) {
	names := platform.Dialect()
	refusal := fmt.Sprintf("HTTP/1.1 503 Service Unavailable\r\n%s: 1\r\nContent-Length: 0\r\n\r\n", names.NotRun)

	address := serveRaw(t, func(number int, r *http.Request) string {
		success := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: %s\r\n%s: seal\r\nContent-Length: 0\r\n\r\n",
			names.Attempt, r.Header.Get(names.Attempt), names.Seal)
		if number > 1 {
			return refusal + success
		}

		return success
	})
	s := newServer(t, address, names)

	for _, id := range []string{"a1", "a2"} {
		response, err := s.Do(t.Context(), order(id, true))
		require.NoError(t, err)
		require.False(t, response.NotRun, "order %s has run", id)
		read(t, response)
	}
}

// TestHeadBrokenOff guards against a response that breaks off in its head and is taken for one with an empty or short
// body.
func TestHeadBrokenOff(t *testing.T) {
	names := platform.Dialect()

	for _, framing := range []string{"Content-Length: 12\r\n", "Transfer-Encoding: chunked\r\n", ""} {
		head := fmt.Sprintf("HTTP/1.1 200 OK\r\n%s: a\r\n%s: seal\r\n%s\r\n", names.Attempt, names.Seal, framing)

		for length := range len(head) {
			broken := head[:length]

			response, err := newServer(t, serveAndClose(t, broken), names).Do(t.Context(), order("a", true))
			if err == nil {
				_, err = io.ReadAll(response.Body)
			}

			require.Error(t, err, "head of %d bytes: %q", length, broken)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		}
	}
}

// serveAndClose starts a server that answers its first request with a text and closes the connection.
func serveAndClose(t *testing.T, text string) string {
	t.Helper()

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { _ = listener.Close() })

	go func() {
		accepted, err := listener.Accept()
		if err != nil {
			return
		}

		defer accepted.Close()

		_ = accepted.SetReadDeadline(time.Now().Add(time.Second))
		received := make([]byte, 4<<10)

		for total := ""; !strings.HasSuffix(total, "dumplings"); {
			n, err := accepted.Read(received)
			if err != nil {
				return
			}

			total += string(received[:n])
		}

		_, _ = io.WriteString(accepted, text)
	}()

	return listener.Addr().String()
}
