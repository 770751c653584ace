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

// TestRequestsWithoutRoute guards against requests that are not counted, because those of a route and those without
// one have different labels.
func TestRequestsWithoutRoute(t *testing.T) {
	var log bytes.Buffer

	m, err := newMetrics(zerolog.New(&log))
	require.NoError(t, err)

	m.countRequest("stockdesk", manifest.Idempotent, "answered", time.Millisecond)
	m.countRequest("", manifest.NonIdempotent, "not-run", time.Millisecond)
	require.NoError(t, m.exported.Close())
	require.Empty(t, log.String())
}

// TestSlotTime guards against slots that are taken by requests without a response, which no metric shows: the time of
// each outcome is told apart, and whether the server was slow when the request began.
func TestSlotTime(t *testing.T) {
	var log bytes.Buffer

	m, err := newMetrics(zerolog.New(&log))
	require.NoError(t, err)

	m.addSlotTime("answered", 1, 160*time.Millisecond)
	m.addSlotTime(timedOut, 7, 1200*time.Millisecond)
	m.addSlotTime(timedOut, 7, 300*time.Millisecond)
	require.NoError(t, m.exported.Close())

	shown := httptest.NewRecorder()
	m.exported.Handler().ServeHTTP(shown, httptest.NewRequest(http.MethodGet, "/metrics", nil))

	require.Contains(t, shown.Body.String(), `tarragonmill_slot_milliseconds_total{outcome="answered",pace="usual"} 160`)
	require.Contains(t, shown.Body.String(), `tarragonmill_slot_milliseconds_total{outcome="deadline",pace="slow"} 1500`)
}
