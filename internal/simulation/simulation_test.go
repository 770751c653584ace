package simulation_test

import (
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/simulation"
)

// load reads a pattern of the folder.
func load(t *testing.T, name string) simulation.Pattern {
	t.Helper()

	file := filepath.Join("patterns", name+".ini")
	data, err := os.ReadFile(file)
	require.NoError(t, err)

	p, err := simulation.ParsePattern(file, data)
	require.NoError(t, err)

	return p
}

// overloadSeeds are those of the short run in CI.
const overloadSeeds = 2

// TestOverloadInSpells guards against slots that are taken by requests that began at a server during a slow spell: under
// overload they leave too little to the kind that ranks last. The bound is the floor that the users set for such days.
func TestOverloadInSpells(t *testing.T) {
	const floor = 0.47

	p := load(t, "overload")

	for seed := range uint64(overloadSeeds) {
		result := simulation.Run(p, seed)
		require.Empty(t, result.Violations, "seed %d", seed)
		require.GreaterOrEqual(t, result.Kind("count").EarnedShare(), floor, "seed %d", seed)
	}
}

// TestSameSeed guards against runs that cannot be repeated.
func TestSameSeed(t *testing.T) {
	p := load(t, "overload").Scale(0.3)

	first, second := simulation.Run(p, 7), simulation.Run(p, 7)
	require.Equal(t, first.Kinds, second.Kinds)
	require.Equal(t, first.Attempts, second.Attempts)
	require.Equal(t, first.Beats, second.Beats)
}

// TestControlBytesAtRest guards against daemons that spend more on telling each other of themselves than the target allows
// for all control, while nothing changes. Bytes are counted at both ends.
func TestControlBytesAtRest(t *testing.T) {
	const target = 6_000 // bytes a second and daemon

	p := load(t, "rest")
	result := simulation.Run(p, 1)

	daemons := 0
	for _, service := range p.Services {
		daemons += service.Servers
	}

	seconds := (p.WarmUp + p.LoadDuration).Seconds()
	require.Less(t, 2*float64(result.BeatBytes)/seconds/float64(daemons), float64(target))
	require.GreaterOrEqual(t, result.EarnedShare(), 0.99)
}
