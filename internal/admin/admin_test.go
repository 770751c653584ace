package admin_test

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/tarragonmill/tarragonmill/internal/admin"
)

const key = "0123456789abcdef"

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

// Guards against a request from another instance that is served without the fleet's key, or refused with it.
func TestAccess(t *testing.T) {
	drained := 0
	state := struct {
		Wait  map[string]time.Duration
		Items []any
		None  error
		Peer  netip.AddrPort
	}{Wait: map[string]time.Duration{"a": time.Second}, Items: []any{nil, 1 << 60}}
	server := func(key string) http.Handler {
		return admin.New(key,
			admin.WithDump(func(context.Context) (any, error) { return &state, nil }),
			admin.WithReady(func() error { return errors.New("no manifest") }),
			admin.WithDrain(func(context.Context) error { drained++; return nil })).Handler()
	}

	const local, remote, mapped = "127.0.0.1:5", "10.0.0.4:5", "[::ffff:127.0.0.1]:5"

	for _, test := range []struct {
		method, path, from, key, auth string
		header                        http.Header
		status                        int
		body                          string
	}{
		{"GET", "/live", local, key, "", nil, 200, "live\n"},
		{"GET", "/ready", "[::1]:5", key, "", nil, 503, "no manifest\n"},
		{"GET", "/dump", mapped, key, "", nil, 200, "{\n  \"Items\": [\n    null,\n    1152921504606846976\n  ],\n" +
			"  \"None\": null,\n  \"Peer\": \"\",\n  \"Wait\": {\n    \"a\": \"1s\"\n  }\n}\n"},
		{"GET", "/live", remote, key, "", nil, 401, ""},
		{"GET", "/dump", remote, key, "Bearer", nil, 401, ""},
		{"GET", "/dump", remote, key, "Bearer " + key[1:], nil, 401, ""},
		{"GET", "/dump", remote, key, key, nil, 401, ""},
		{"GET", "/dump", remote, key, "Bearer " + key, nil, 200, ""},
		{"GET", "/dump", remote, "", "Bearer ", nil, 401, ""},
		{"POST", "/drain", remote, key, "", nil, 401, ""},
		{"GET", "/drain", local, key, "", nil, 405, ""},
		{"POST", "/drain", local, key, "", http.Header{"Sec-Fetch-Site": {"cross-site"}}, 403, ""},
		{"GET", "/metrics", local, key, "", nil, 404, ""},
	} {
		request := httptest.NewRequest(test.method, test.path, strings.NewReader(""))
		request.RemoteAddr = test.from

		for name, values := range test.header {
			request.Header[name] = values
		}

		request.Header.Set("Authorization", test.auth)

		response := httptest.NewRecorder()
		server(test.key).ServeHTTP(response, request)
		require.Equal(t, test.status, response.Code, "%+v", test)

		if test.body != "" {
			require.Equal(t, test.body, response.Body.String())
		}
	}

	require.Zero(t, drained)

	response := httptest.NewRecorder()
	request := httptest.NewRequest(http.MethodPost, "/drain", http.NoBody)
	request.RemoteAddr = local
	server(key).ServeHTTP(response, request)
	require.Equal(t, http.StatusAccepted, response.Code)
	require.Equal(t, 1, drained)
}

// Guards against a connection that holds memory or a goroutine without limit, and against metrics that are missing in
// the text format.
func TestServe(t *testing.T) {
	metrics, err := admin.NewMetrics("tarragonmill", map[string]string{"instance": "shop-03"}, zerolog.Nop())
	require.NoError(t, err)
	metrics.Scope().Counter("attempts").Inc(3)
	require.NoError(t, metrics.Close())

	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)

	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)

	go func() { ended <- admin.New("", admin.WithMetrics(metrics.Handler())).Serve(ctx, listener) }()

	address := listener.Addr().String()
	transport := &http.Transport{}
	client := &http.Client{Transport: transport}

	response, err := client.Get("http://" + address + "/metrics")
	require.NoError(t, err)
	text, err := io.ReadAll(response.Body)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Contains(t, string(text), `tarragonmill_attempts{instance="shop-03"} 3`)

	request, err := http.NewRequest(http.MethodGet, "http://"+address+"/live", http.NoBody)
	require.NoError(t, err)
	request.Header.Set("X-Long", strings.Repeat("x", 64<<10))
	response, err = client.Do(request)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusRequestHeaderFieldsTooLarge, response.StatusCode)

	// The client never completes the header.
	slow, err := net.Dial("tcp", address)
	require.NoError(t, err)
	_, err = slow.Write([]byte("GET /live HTTP/1.1\r\nHost: x\r\n"))
	require.NoError(t, err)
	require.NoError(t, slow.SetReadDeadline(time.Now().Add(4*time.Second)))
	_, err = io.ReadAll(slow)
	require.NoError(t, err, "the server kept the connection")
	require.NoError(t, slow.Close())

	cancel()
	require.NoError(t, <-ended)
	transport.CloseIdleConnections()
}
