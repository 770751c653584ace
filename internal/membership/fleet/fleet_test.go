package fleet

import (
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
)

func TestMain(m *testing.M) { goleak.VerifyTestMain(m) }

func grow(t *testing.T, size int) *Fleet {
	t.Helper()

	f := New(1)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })
	require.NoError(t, f.Grow(t.Context(), size, 0))

	_, err := f.Settle(20 * time.Second)
	require.NoError(t, err)

	return f
}

// Guards against new work that reaches a draining server after 2 s (G5).
func TestDrainSpread(t *testing.T) {
	f := grow(t, 40)

	for _, d := range f.Daemons[:3] {
		delays, err := f.Spread(d, membership.DrainStarted{}, instance.Draining, 5*time.Second)
		require.NoError(t, err)
		require.Less(t, slices.Max(delays), 2*time.Second)
		t.Logf("drain known everywhere after %s", slices.Max(delays))
	}
}

// Guards against a daemon that takes long to start in a running fleet, or that calls itself ready
// with a part of the table.
func TestStartToReady(t *testing.T) {
	f := grow(t, 40)

	d, err := f.Launch(t.Context(), 40)
	require.NoError(t, err)

	elapsed := <-d.ready
	d.query(func(s *membership.State) { require.Len(t, s.All(), 41) })
	require.Less(t, elapsed, time.Second)
	t.Logf("ready after %s", elapsed)
}
