package simulation_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/simulation"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// hedgeSeeds is the number of seeds that each test of hedged attempts runs. The time of a CI run limits it.
const hedgeSeeds = 2

// TestHedgedTail guards against hedged attempts that leave the tail of the work in the response times, or that exceed
// their limits. The tail is 7 times the usual work in 3 of 100 requests, the load about a third of the slots.
func TestHedgedTail(t *testing.T) {
	p := loadPattern(t, "tail")
	plain := p.WithHedge(manifest.Hedge{})

	for seed := range uint64(hedgeSeeds) {
		before, after := simulation.Run(plain, seed), simulation.Run(p, seed)
		require.Empty(t, after.Violations, "seed %d", seed)
		require.Zero(t, before.Hedges)

		old, hedged := before.Kind("count").Latency, after.Kind("count").Latency
		t.Logf("seed %d: p50 %d p99 %d -> p50 %d p99 %d us, hedges %d of %d, work %v of %v", seed, old.ValueAtQuantile(50),
			old.ValueAtQuantile(99), hedged.ValueAtQuantile(50), hedged.ValueAtQuantile(99), after.Hedges,
			after.Kind("count").Sent, after.HedgeRunTime, after.RunTime)

		require.LessOrEqual(t, hedged.ValueAtQuantile(99), 3*hedged.ValueAtQuantile(50), "seed %d", seed)
		require.Greater(t, old.ValueAtQuantile(99), 5*old.ValueAtQuantile(50), "seed %d", seed)
		require.LessOrEqual(t, float64(after.Hedges), 0.05*float64(after.Kind("count").Sent), "seed %d", seed)
		require.LessOrEqual(t, after.HedgeRunTime.Seconds(), 0.05*after.RunTime.Seconds(), "seed %d", seed)
	}
}

// TestSameSeedWithHedges guards against timers of hedged attempts whose order differs between equal runs.
func TestSameSeedWithHedges(t *testing.T) {
	p := loadPattern(t, "tail")
	p.LoadDuration = 15 * time.Second

	first, second := simulation.Run(p, 7), simulation.Run(p, 7)
	require.Positive(t, first.Hedges)
	require.Equal(t, first.Kinds, second.Kinds)
	require.Equal(t, first.RunTime, second.RunTime)
}

// TestHedgeLimits guards against a run time of hedged attempts above the limit on work, and against hedges with no
// limit.
func TestHedgeLimits(t *testing.T) {
	p := loadPattern(t, "tail")
	p.LoadDuration = 30 * time.Second

	for seed := range uint64(hedgeSeeds) {
		little := simulation.Run(p.WithHedge(manifest.Hedge{Quantile: 0.95, Delayed: 0.5, Work: 0.01}), seed)
		t.Logf("seed %d: hedges %d, work %v of %v", seed, little.Hedges, little.HedgeRunTime, little.RunTime)
		require.Positive(t, little.Hedges, "seed %d", seed)
		require.LessOrEqual(t, little.HedgeRunTime.Seconds(), 0.01*little.RunTime.Seconds(), "seed %d", seed)

		few := simulation.Run(p.WithHedge(manifest.Hedge{Quantile: 0.95, Delayed: 0.01, Work: 0.5}), seed)
		t.Logf("seed %d: hedges %d of %d", seed, few.Hedges, few.Kind("count").Sent)
		require.Positive(t, few.Hedges, "seed %d", seed)
		require.LessOrEqual(t, float64(few.Hedges), 0.01*float64(few.Kind("count").Sent), "seed %d", seed)
	}
}

// TestHedgesOfSlowService guards against a service that turns slow as a whole and then gets its requests twice, and
// against hedged attempts under overload. All servers become 7 times slower at 15 s, which is more work than they can
// do.
func TestHedgesOfSlowService(t *testing.T) {
	p := loadPattern(t, "tail")
	p.LoadDuration = 30 * time.Second
	p.Faults = []simulation.Fault{{
		Name: "slow", Kind: simulation.Slow, At: 15 * time.Second, Duration: 10 * time.Second, Share: 1, Factor: 7,
	}}

	for seed := range uint64(hedgeSeeds) {
		before, after := simulation.Run(p.WithHedge(manifest.Hedge{}), seed), simulation.Run(p, seed)
		t.Logf("seed %d: hedges %d of %d, work %v of %v, earned %.3f -> %.3f", seed, after.Hedges,
			after.Kind("count").Sent, after.HedgeRunTime, after.RunTime, before.EarnedShare(), after.EarnedShare())

		for second := 15; second < 25; second++ {
			// In no second, a tenth of the requests is hedged.
			require.Less(t, 10*after.Seconds[second].Hedges, after.Seconds[second].Sent, "seed %d, second %d", seed, second)
		}

		require.LessOrEqual(t, float64(after.Hedges), 0.05*float64(after.Kind("count").Sent), "seed %d", seed)
		require.LessOrEqual(t, after.HedgeRunTime.Seconds(), 0.05*after.RunTime.Seconds(), "seed %d", seed)
	}
}
