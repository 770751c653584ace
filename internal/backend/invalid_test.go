package backend_test

import (
	"io"
	"net"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
	"github.com/tarragonmill/tarragonmill/platform"
)

// TestInvalidResponses guards against a server in trouble whose invalid response is skipped, so that bytes of its body count
// as the response to a request or to a probe.
func TestInvalidResponses(t *testing.T) {
	const hidden = "HTTP/1.1 200 OK\r\nAttempt-Id: a1\r\nResponse-Seal: s\r\nContent-Length: 0\r\n\r\n"

	for name, prefix := range map[string]string{
		"000":     "HTTP/1.1 000 None\r\n\r\n",
		"999":     "HTTP/1.1 999 High\r\n\r\n",
		"upgrade": "HTTP/1.1 101 Switching Protocols\r\n\r\n",
		"interim": "HTTP/1.1 102 Processing\r\nContent-Length: 76\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			s := newServer(t, serveConnections(t, func(connection net.Conn) {
				_, _ = connection.Read(make([]byte, 4<<10))
				_, _ = io.WriteString(connection, prefix+hidden)
				_, _ = io.Copy(io.Discard, connection)
			}), platform.Dialect())

			_, err := s.Do(t.Context(), order("a1", true))
			require.ErrorIs(t, err, http1.ErrInvalidResponse)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))

			health, err := s.Probe(t.Context(), "/health")
			require.ErrorIs(t, err, http1.ErrInvalidResponse)
			require.False(t, health.Healthy)
		})
	}
}
