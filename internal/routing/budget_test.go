package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// spending counts what one entry spent, from its effects.
type spending struct {
	probes, measuring, crossMeasuring, crossing float64
	requests, attempts, hedges                  int
}

// TestBudgets guards against an order of events in which an entry spends more on measuring, retries,
// hedges or the region link than its share of the budgets.
func TestBudgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		policy := manifest.Service{
			Name: "stock",
			Budget: manifest.Budget{
				Probes: rapid.Float64Range(0, 50).Draw(t, "probes"), Bytes: rapid.Int64Range(0, 100_000).Draw(t, "bytes"),
				Cross: rapid.Int64Range(0, 10_000).Draw(t, "cross"), Spill: rapid.Int64Range(0, 1_000_000).Draw(t, "spill"),
			},
			Retry: manifest.Retry{Share: rapid.Float64Range(0, 0.5).Draw(t, "retry"), Attempts: rapid.IntRange(1, 4).Draw(t, "attempts")},
			Hedge: manifest.Hedge{Share: rapid.Float64Range(0, 0.5).Draw(t, "hedge"), Quantile: 0.5},
		}

		members := make([]instance.Member, 0, 8)
		for i := range rapid.IntRange(1, 8).Draw(t, "servers") {
			region := rapid.SampledFrom([]string{"west", "east"}).Draw(t, "region")
			members = append(members, instance.Member{
				ID: instance.ID(fmt.Sprint(i)), Service: "stock", Slots: 2, Place: instance.Place{Region: region, Domain: region},
			})
		}

		now := time.Unix(0, 0)
		state := routing.New(routing.WithSeed(rapid.Uint64().Draw(t, "seed")), routing.WithPlace(instance.Place{Region: "west"}))
		state.Apply(now, routing.PolicyChanged{Services: []manifest.Service{policy}})
		state.Apply(now, routing.MembersChanged{Service: "stock", Members: members})

		var (
			spent   spending
			open    []routing.Attempt
			probing []routing.Probe
			known   []request.ID
			shares  float64
			fleet   = len(members)
		)

		apply := func(event routing.Event) {
			for _, effect := range state.Apply(now, event) {
				switch e := effect.(type) {
				case routing.Attempt:
					open = append(open, e)
					spent.attempt(e)
				case routing.Probe:
					probing = append(probing, e)
					spent.probe(e)
				}
			}

			spent.check(t, policy, shares)
		}

		for step := range rapid.IntRange(1, 400).Draw(t, "steps") {
			passed := time.Duration(rapid.IntRange(0, 200_000).Draw(t, "microseconds")) * time.Microsecond
			now = now.Add(passed)
			shares += passed.Seconds() / float64(fleet)

			switch action := rapid.IntRange(0, 10).Draw(t, "action"); {
			case action < 4:
				id := request.ID(fmt.Sprint("r", step))
				known = append(known, id)
				spent.requests++
				kind := rapid.SampledFrom([]manifest.Kind{manifest.Idempotent, manifest.NonIdempotent}).Draw(t, "kind")
				apply(routing.Arrived{Request: request.Request{ID: id, Service: "stock", Kind: kind, Size: 100, Deadline: now.Add(time.Second)}})
			case action < 8 && len(open) > 0:
				i := rapid.IntRange(0, len(open)-1).Draw(t, "attempt")
				a := open[i]
				open = append(open[:i], open[i+1:]...)
				end := rapid.SampledFrom([]string{"succeeded", "succeeded", "refused", "failed", "unreachable", "lost"}).Draw(t, "outcome")
				apply(routing.AttemptEnded{
					ID: a.Request.ID, Number: a.Number, Target: a.Target.ID, Outcome: outcomes[end].outcome, Verdict: outcomes[end].verdict,
					Hinted: a.Hint, Hint: load.Hint{InFlight: rapid.IntRange(0, 4).Draw(t, "load"), Limit: 2}, Elapsed: time.Millisecond, Bytes: 500,
				})
			case action == 8 && len(known) > 0:
				apply(routing.TimerFired{ID: rapid.SampledFrom(known).Draw(t, "timer")})
			case action == 9:
				fleet = rapid.IntRange(1, len(members)).Draw(t, "fleet")
				apply(routing.MembersChanged{Service: "stock", Members: members[:fleet]})
			case len(probing) > 0:
				p := probing[0]
				probing = probing[1:]
				apply(routing.ProbeEnded{Target: p.Target.ID, OK: true, Bytes: routing.ProbeBytes})
			default:
				apply(routing.Tick{})
			}
		}
	})
}

func (s *spending) attempt(a routing.Attempt) {
	s.attempts++

	if a.Hedge {
		s.hedges++
	}

	crosses := a.Target.Place.Region != "west"
	if crosses {
		s.crossing += float64(a.Request.Size)
	}

	if a.Hint {
		s.measuring += routing.HintBytes

		if crosses {
			s.crossMeasuring += routing.HintBytes
		}
	}
}

func (s *spending) probe(p routing.Probe) {
	s.probes++
	s.measuring += routing.ProbeBytes

	if p.Target.Place.Region != "west" {
		s.crossMeasuring += routing.ProbeBytes
	}
}

// check compares what was spent with the entry's share of the budgets, given as the integral of 1 / fleet
// over time. Retries and hedges have a
// reserve of ten each in addition to their share of the requests.
func (s *spending) check(t *rapid.T, policy manifest.Service, shares float64) {
	const reserve, rounding = 10, 1e-6

	require.LessOrEqual(t, s.probes, policy.Budget.Probes*shares+rounding, "probes")
	require.LessOrEqual(t, s.measuring, float64(policy.Budget.Bytes)*shares+rounding, "measuring bytes")
	require.LessOrEqual(t, s.crossMeasuring, float64(policy.Budget.Cross)*shares+rounding, "measuring bytes across regions")
	require.LessOrEqual(t, s.crossing, float64(policy.Budget.Spill)*shares+rounding, "bytes across regions")

	hedges := policy.Hedge.Share*float64(s.requests) + reserve
	retries := policy.Retry.Share*float64(s.requests) + reserve
	require.LessOrEqual(t, float64(s.hedges), hedges, "hedges")
	require.LessOrEqual(t, float64(s.attempts-s.requests-s.hedges), retries, "retries")
}

// Guards against a non-idempotent request that is delivered twice: the second delivery would place an
// order twice.
func TestNonIdempotentRunsOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		now := time.Unix(0, 0)
		state := routing.New(routing.WithSeed(rapid.Uint64().Draw(t, "seed")))
		policy := manifest.Service{Name: "stock", Retry: manifest.Retry{Share: 1, Attempts: 6}, Hedge: manifest.Hedge{Share: 1, Quantile: 0.5}}
		state.Apply(now, routing.PolicyChanged{Services: []manifest.Service{policy}})

		members := make([]instance.Member, 8)
		for i := range members {
			members[i] = instance.Member{ID: instance.ID(fmt.Sprint(i)), Service: "stock", Slots: 2}
		}

		state.Apply(now, routing.MembersChanged{Service: "stock", Members: members})
		effects := state.Apply(now, routing.Arrived{Request: request.Request{ID: "r", Service: "stock", Deadline: now.Add(time.Second)}})

		for len(effects) > 0 {
			a, sent := effects[0].(routing.Attempt)
			if !sent {
				return
			}

			end := rapid.SampledFrom([]string{"refused", "unreachable", "lost", "timeout", "aborted"}).Draw(t, "outcome")
			effects = state.Apply(now, routing.AttemptEnded{
				ID: "r", Number: a.Number, Target: a.Target.ID, Outcome: outcomes[end].outcome, Verdict: outcomes[end].verdict,
			})

			if outcomes[end].verdict != verdict.NotRun {
				require.Len(t, effects, 1)
				require.Equal(t, verdict.MayHaveRun, effects[0].(routing.GiveUp).Verdict)
			}
		}
	})
}
