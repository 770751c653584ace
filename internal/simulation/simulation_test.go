package simulation_test

import (
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/simulation"
)

// loadPattern reads a pattern from the folder patterns.
func loadPattern(t *testing.T, name string) simulation.Pattern {
	t.Helper()

	file := filepath.Join("patterns", name+".ini")
	data, err := os.ReadFile(file)
	require.NoError(t, err)

	p, err := simulation.ParsePattern(file, data)
	require.NoError(t, err)

	return p
}

// overloadSeeds is the number of seeds that TestOverloadWithSlowPeriods runs. The time of a CI run limits it.
const overloadSeeds = 2

// TestOverloadWithSlowPeriods guards against too few slots for the requests of the lowest rank under overload, which
// requests cause that started in a slow period of a server and hold its slots for long. The bound is the share of the
// value that the users require for such a load.
func TestOverloadWithSlowPeriods(t *testing.T) {
	const floor = 0.47

	p := loadPattern(t, "overload")

	for seed := range uint64(overloadSeeds) {
		result := simulation.Run(p, seed)
		require.Empty(t, result.Violations, "seed %d", seed)
		require.GreaterOrEqual(t, result.Kind("count").EarnedShare(), floor, "seed %d", seed)
	}
}

// TestSameSeed guards against runs with the same seed that differ.
func TestSameSeed(t *testing.T) {
	p := loadPattern(t, "overload").Scale(0.3)

	first, second := simulation.Run(p, 7), simulation.Run(p, 7)
	require.Equal(t, first.Kinds, second.Kinds)
	require.Equal(t, first.Attempts, second.Attempts)
	require.Equal(t, first.Beats, second.Beats)
}

// TestIdleControlBytes guards against beats that use more bytes in an idle fleet than the target allows for all control
// traffic. Bytes are counted at the sender and at the receiver.
func TestIdleControlBytes(t *testing.T) {
	const maxBytes = 6_000 // bytes per second and daemon

	p := loadPattern(t, "rest")
	result := simulation.Run(p, 1)

	daemons := 0
	for _, service := range p.Services {
		daemons += service.Servers
	}

	seconds := (p.WarmUp + p.LoadDuration).Seconds()
	require.Less(t, 2*float64(result.BeatBytes)/seconds/float64(daemons), float64(maxBytes))
	require.GreaterOrEqual(t, result.EarnedShare(), 0.99)
}

// Guards against entries that stay lost, versions that are not in force, and requests that suffer after the store came back
// from an older copy, several times and with publications just before; and against more calls to the store than it allows.
func TestReturns(t *testing.T) {
	const (
		// maxCalls is what each return may cost a daemon: a read of the configuration, a write and a read of entries, and
		// one more read if it hears of the return before.
		maxCalls = 4
		returns  = 3
	)

	p := loadPattern(t, "rest")
	calm := simulation.Run(p, 1)

	for at := range returns {
		start := time.Duration(5*at) * time.Second
		p.Faults = append(p.Faults,
			simulation.Fault{Kind: simulation.Publish, At: start},
			simulation.Fault{Kind: simulation.Return, At: start + 100*time.Millisecond, Factor: 600})
	}

	daemons := 0
	for _, service := range p.Services {
		daemons += service.Servers
	}

	result := simulation.Run(p, 1)
	require.Empty(t, result.Violations)
	require.Zero(t, result.Unlisted)
	require.Zero(t, result.Behind)
	require.GreaterOrEqual(t, result.EarnedShare(), 0.99)

	// Each return comes with two publications, which each daemon reads.
	calls := result.StoreCalls - calm.StoreCalls - 2*returns*daemons
	require.LessOrEqual(t, calls, maxCalls*returns*daemons)
}
