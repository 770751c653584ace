package daemon

import (
	"bytes"
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

	m.request("stockdesk", manifest.Idempotent, "answered", time.Millisecond)
	m.request("", manifest.NonIdempotent, "not-run", time.Millisecond)
	require.NoError(t, m.exported.Close())
	require.Empty(t, log.String())
}
