package httpserve_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/httpserve"
)

// Guards against stalled connections that keep out a readiness check, or that are not closed.
func TestLimitConnections(t *testing.T) {
	const limit = 4

	server := httptest.NewUnstartedServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	httpserve.LimitConnections(server.Config, limit)
	server.Start()
	t.Cleanup(server.Close)

	stalled := make([]net.Conn, 2*limit)

	for n := range stalled {
		c, err := net.Dial("tcp", server.Listener.Addr().String())
		require.NoError(t, err)

		defer func() { _ = c.Close() }()

		_, err = io.WriteString(c, "GET / HTTP/1.1\r\n")
		require.NoError(t, err)

		stalled[n] = c
	}

	response, err := http.Get(server.URL)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())

	_, err = stalled[0].Read(make([]byte, 1))
	require.Error(t, err)
}
