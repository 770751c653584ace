package daemon_test

import (
	"context"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
)

// TestHedgeLoserIsCancelled guards against a server that works on after another one has responded to its request. The
// slow server would work for much longer than the test waits.
func TestHedgeLoserIsCancelled(t *testing.T) {
	const serviceTime, never = 20 * time.Millisecond, 90 * time.Second

	f := startFleet(t)
	setStockServers(f, backend.Behaviour{ServiceTime: serviceTime})

	ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
	defer cancel()

	text := strings.Replace(fleet.Manifest, "hedges = 0.02", "quantile = 0.9\ndelayed = 0.5\nwork = 0.5", 1)
	text = strings.Replace(text, "deadline = 2s", "deadline = 1m", 1)
	published, err := f.Publish(ctx, text)
	require.NoError(t, err)
	awaitVersion(t, f, published.Version, 10*time.Second)

	// The entry prefers the only server of the service in its failure domain.
	slow, entry := f.Instances[3], f.Instances[10]
	require.Equal(t, "stockdesk", slow.Node.Service)
	require.Equal(t, "routehall", entry.Node.Service)
	require.Equal(t, entry.Node.Place, slow.Node.Place)

	for number := range 100 {
		response, _ := doRequest(t, http.MethodGet, entry.CallerURL()+"/stock/"+strconv.Itoa(number), "stockdesk", "", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}

	slow.Server.SetBehaviour(backend.Behaviour{ServiceTime: never})

	for number := 0; entry.Daemon.Dump().Decisions.Routing.Counts.HedgesWon == 0; number++ {
		require.NoError(t, ctx.Err(), "no hedged attempt has won")

		response, _ := doRequest(t, http.MethodGet, entry.CallerURL()+"/stock/"+strconv.Itoa(number), "stockdesk", "", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}

	require.NoError(t, f.Wait(ctx, func() bool {
		return slow.Server.Running() == 0 && slow.Daemon.Dump().Decisions.Admission.Running == 0
	}))
}
