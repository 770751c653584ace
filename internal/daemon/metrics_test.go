package daemon

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Guards against requests that are not counted because the labels of requests with and without a route differ.
func TestRequestsWithoutRoute(t *testing.T) {
	var log bytes.Buffer

	m, err := newMetrics(zerolog.New(&log))
	require.NoError(t, err)

	m.countRequest("stockdesk", manifest.Idempotent, "answered", time.Millisecond)
	m.countRequest("", manifest.NonIdempotent, "not-run", time.Millisecond)
	require.NoError(t, m.exported.Close())
	require.Empty(t, log.String())
}

// Guards against slot time of requests without a response that no metric shows. The metric must separate the outcomes,
// and requests that started while the server was slow.
func TestSlotTime(t *testing.T) {
	var log bytes.Buffer

	m, err := newMetrics(zerolog.New(&log))
	require.NoError(t, err)

	m.addSlotTime("answered", 1, 160*time.Millisecond)
	m.addSlotTime(timedOut, 7, 1200*time.Millisecond)
	m.addSlotTime(timedOut, 7, 300*time.Millisecond)
	require.NoError(t, m.exported.Close())

	response := httptest.NewRecorder()
	m.exported.Handler().ServeHTTP(response, httptest.NewRequest(http.MethodGet, "/metrics", nil))

	require.Contains(t, response.Body.String(),
		`tarragonmill_slot_milliseconds_total{outcome="answered",pace="usual"} 160`)
	require.Contains(t, response.Body.String(),
		`tarragonmill_slot_milliseconds_total{outcome="deadline",pace="slow"} 1500`)
}
