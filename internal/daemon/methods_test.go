package daemon_test

import (
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
)

// TestHead guards against a HEAD request, which health checkers send, whose response counts as broken off because it
// states the length of a body that does not follow.
func TestHead(t *testing.T) {
	f := startFleet(t)

	for _, i := range f.Instances {
		response, body := doRequest(t, http.MethodHead, i.CallerURL()+"/stock/7", "stockdesk", "", "")
		require.Equal(t, http.StatusOK, response.StatusCode, i.Node.ID)
		require.Empty(t, body)
	}
}

// TestLargestBody guards against a body of the largest size that the manifest allows and that cannot go to another
// daemon, because the byte that commits it counts, too.
func TestLargestBody(t *testing.T) {
	const size = 4 << 10

	f := startFleet(t)
	text := strings.Replace(fleet.Manifest, "[keys]", "[limits]\nbody = 4KiB\n\n[keys]", 1)

	_, err := f.Publish(t.Context(), text)
	require.NoError(t, err)
	time.Sleep(100 * time.Millisecond)

	for _, i := range f.Instances {
		for _, extra := range []int{0, 1} {
			response, _ := doRequest(t, http.MethodPost, i.CallerURL()+"/orders", "stockdesk", "", strings.Repeat("x", size+extra))
			if extra > 0 {
				require.Equal(t, http.StatusRequestEntityTooLarge, response.StatusCode, i.Node.ID)

				continue
			}

			require.Equal(t, http.StatusCreated, response.StatusCode, i.Node.ID)
		}
	}
}
