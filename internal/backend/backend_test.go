package backend_test

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync/atomic"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

func newClient(t *testing.T, address string) *backend.Client {
	t.Helper()

	client := backend.New(netip.MustParseAddrPort(address), 4)
	t.Cleanup(client.Close)

	return client
}

func order() backend.Exchange {
	return backend.Exchange{
		Call: "r.0", Method: http.MethodPost, Target: "/orders?x=1", Host: "stockdesk",
		Header: http.Header{"Idempotency-Key": {"k"}, "Tarragonmill-Fleet": {"secret"}, "X-Kept": {"1"}},
		Body:   []byte("12 dumplings"),
	}
}

// Guards against net/http sending an order again by itself when the server breaks a reused connection, which
// it does for requests with an Idempotency-Key that it can rewind, and for GET requests without a body.
func TestNoHiddenRepeat(t *testing.T) {
	for _, method := range []string{http.MethodPost, http.MethodGet} {
		t.Run(method, func(t *testing.T) {
			var calls atomic.Int64

			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if calls.Add(1) == 2 {
					panic(http.ErrAbortHandler)
				}
			}))
			t.Cleanup(server.Close)

			client := newClient(t, server.Listener.Addr().String())
			exchange := order()
			exchange.Method = method

			if method == http.MethodGet {
				exchange.Body = nil
			}

			response, err := client.Do(t.Context(), exchange)
			require.NoError(t, err)

			_, err = io.Copy(io.Discard, response.Body)
			require.NoError(t, err)
			require.NoError(t, response.Body.Close())

			_, err = client.Do(t.Context(), exchange)
			require.Error(t, err)
			require.Equal(t, verdict.MayHaveRun, verdict.Of(err))
			require.Equal(t, int64(2), calls.Load())
		})
	}
}

// Guards against "may have run" for a server that cannot be connected to, which would forbid a retry.
func TestRefusedConnection(t *testing.T) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	require.NoError(t, listener.Close())

	client := newClient(t, listener.Addr().String())
	_, err = client.Do(t.Context(), order())
	require.Error(t, err)
	require.Equal(t, verdict.NotRun, verdict.Of(err))
	require.False(t, client.Reachable(t.Context()))
}

// Guards against headers of the protocol between daemons that reach a server, and against a refusal of the
// server that is taken for a response.
func TestContractWithServers(t *testing.T) {
	var received http.Header

	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		received = r.Header.Clone()
		received.Set("Target", r.RequestURI)
		w.Header().Set(backend.VerdictHeader, verdict.NotRun.String())
		w.Header().Set(backend.StateHeader, backend.StateDraining)
		w.WriteHeader(http.StatusServiceUnavailable)
	}))
	t.Cleanup(server.Close)

	client := newClient(t, server.Listener.Addr().String())
	response, err := client.Do(t.Context(), order())
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.True(t, backend.Refused(response))

	require.Equal(t, "/orders?x=1", received.Get("Target"))
	require.Equal(t, "r.0", received.Get(backend.CallHeader))
	require.Equal(t, "1", received.Get("X-Kept"))
	require.Empty(t, received.Get("Tarragonmill-Fleet"))

	up, draining := client.Health(t.Context(), "/health")
	require.True(t, up)
	require.True(t, draining)
}
