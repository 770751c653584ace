package backend_test

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
	"github.com/tarragonmill/tarragonmill/platform"
)

const (
	// maxEndlessTime bounds the time until an endless response is given up, and maxEndlessMemory the bytes allocated for it.
	maxEndlessTime   = 2 * time.Second
	maxEndlessMemory = 4 << 20
)

// serveEndless starts a server that answers the order a1 completely, and any other request with a prefix and a text that
// it repeats until its peer closes the connection.
func serveEndless(t *testing.T, prefix, repeated string) string {
	t.Helper()

	return serveConnections(t, func(connection net.Conn) { writeEndlessly(connection, prefix, repeated) })
}

func writeEndlessly(connection net.Conn, prefix, repeated string) {
	const whole = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n"

	reader := bufio.NewReader(connection)

	for ended := false; !ended; {
		r, err := http.ReadRequest(reader)
		if err != nil {
			return
		}

		_, _ = io.Copy(io.Discard, r.Body)

		text := whole
		if r.Header.Get("Attempt-Id") != "a1" {
			text, ended = prefix, true
		}

		_, _ = io.WriteString(connection, text)
	}

	raw.Repeat(connection, repeated)
}

// requireBounded runs an action and requires that it takes little time and memory.
func requireBounded(t *testing.T, run func()) {
	t.Helper()

	started := time.Now()

	require.Less(t, raw.Allocated(run), uint64(maxEndlessMemory))
	require.Less(t, time.Since(started), maxEndlessTime)
}

// TestEndlessCopies guards against a server that writes responses to other requests without end, or one whose body does not
// end, where the response to a request is expected.
func TestEndlessCopies(t *testing.T) {
	const copied = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\n"

	for name, test := range map[string]struct{ prefix, repeated string }{
		"responses": {repeated: copied + "Content-Length: 3\r\n\r\nabc"},
		"chunks":    {prefix: copied + "Transfer-Encoding: chunked\r\n\r\n", repeated: "7\r\nendless\r\n"},
		"body":      {prefix: copied + "\r\n", repeated: "endless"},
		"length":    {prefix: copied + "Content-Length: 99999999999\r\n\r\n", repeated: "endless"},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, serveEndless(t, test.prefix, test.repeated), platform.Dialect())

			response, err := s.Do(t.Context(), order("a1", true))
			require.NoError(t, err)
			read(t, response)

			requireBounded(t, func() { _, err = s.Do(t.Context(), order("a2", true)) })
			require.True(t, errors.Is(err, backend.ErrForeignResponse), "%v", err)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
		})
	}
}

// TestEndlessHealth guards against a health response whose head or body does not end.
func TestEndlessHealth(t *testing.T) {
	for name, test := range map[string]struct {
		prefix, repeated string
		healthy          bool
	}{
		"head": {prefix: "HTTP/1.1 200 OK\r\n", repeated: "X-Endless: 1\r\n"},
		"body": {prefix: "HTTP/1.1 200 OK\r\n\r\n", repeated: "endless", healthy: true},
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, serveEndless(t, test.prefix, test.repeated), platform.Dialect())

			response, err := s.Do(t.Context(), order("a1", true))
			require.NoError(t, err)
			read(t, response)

			requireBounded(t, func() {
				health, err := s.Probe(t.Context(), "/health")
				require.Equal(t, test.healthy, err == nil && health.Healthy)
			})
		})
	}
}
