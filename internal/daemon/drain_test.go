package daemon_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/store"
)

// Guards against a daemon without requests that holds up its stop until the end of its grace time, because the store
// that has to take its sign-off is away.
func TestStopWithoutStore(t *testing.T) {
	t.Parallel()

	const mostTime = 6 * time.Second

	f, err := fleet.Start(t.Context(), []fleet.Node{faultyNode(backend.None)})
	require.NoError(t, err)

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)
	waitForOwners(t, f)

	f.Store.Set(store.Faults{Down: store.Busy})

	begun := time.Now()
	require.NoError(t, f.Stop())
	require.Less(t, time.Since(begun), mostTime)
}
