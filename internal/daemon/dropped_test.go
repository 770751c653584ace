package daemon_test

import (
	"net/http"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
)

// TestRepeatAfterDroppedConnection guards against a lookup that fails because the only server of its service has dropped an
// unused connection. It arrives a second time, as a repeat within the budget.
func TestRepeatAfterDroppedConnection(t *testing.T) {
	// requests is the number of lookups that allow for one repeat.
	const requests = 60

	f, err := fleet.Start(t.Context(), []fleet.Node{faultyNode(backend.None)})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)

	only := f.Instances[0]
	lookUp := func() {
		response, _ := doRequest(t, http.MethodGet, only.CallerURL()+"/stock/1", "stockdesk", "", "")
		require.Equal(t, http.StatusOK, response.StatusCode)
	}

	for range requests {
		lookUp()
	}

	// The next lookup is the only one that the server drops.
	only.Server.SetBehaviour(backend.Behaviour{Fault: backend.Reset, FaultEvery: requests + 1})
	lookUp()
	require.Equal(t, requests+1, runs(only))
}
