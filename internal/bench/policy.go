package bench

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// attempts is the limit for all policies.
	attempts = 3
	// staleEvery is the period of the reports in the policy of two choices on stale reports.
	staleEvery = 100 * time.Millisecond
)

// contender is a policy with the settings under which it is measured.
type contender struct {
	name   string
	budget manifest.Budget
	// queue is the length of each server's queue in multiples of its slots.
	queue     int
	policy    func(w *world, self instance.Member, seed uint64) policy
	admission []admission.Option
}

// baseline is a policy that prefers its region and retries what was not run elsewhere.
type baseline struct {
	random   *rand.Rand
	self     instance.Member
	members  []instance.Member
	inFlight map[instance.ID]int
	reports  map[instance.ID]load.Hint
	turn     int
	// pick chooses among candidates, of which there is at least one.
	pick    func(b *baseline, candidates []instance.Member) instance.Member
	reach   func(b *baseline, candidates []instance.Member) []instance.Member
	poll    time.Duration
	polled  time.Time
	flights map[request.ID]*tries
}

type tries struct {
	request request.Request
	used    []instance.ID
}

func newBaseline(self instance.Member, seed uint64) *baseline {
	return &baseline{
		random: rand.New(rand.NewPCG(seed, 2)), self: self, inFlight: map[instance.ID]int{},
		reports: map[instance.ID]load.Hint{}, flights: map[request.ID]*tries{},
	}
}

// Apply implements policy.
func (b *baseline) Apply(now time.Time, event routing.Event) []routing.Effect {
	switch e := event.(type) {
	case routing.MembersChanged:
		b.members = e.Members
	case routing.Arrived:
		b.flights[e.Request.ID] = &tries{request: e.Request}

		return b.send(e.Request.ID)
	case routing.AttemptEnded:
		return b.ended(now, e)
	case routing.ProbeEnded:
		b.reports[e.Target] = e.Hint
	case routing.Tick:
		return b.probes(now)
	}

	return nil
}

func (b *baseline) send(id request.ID) []routing.Effect {
	f := b.flights[id]
	candidates := b.candidates(f)

	if len(candidates) == 0 {
		return b.giveUp(id, routing.Overloaded)
	}

	target := b.pick(b, candidates)
	f.used = append(f.used, target.ID)
	b.inFlight[target.ID]++

	return []routing.Effect{routing.Attempt{Request: f.request, Number: len(f.used) - 1, Target: target}}
}

// candidates are the untried servers of the own region, or else all untried ones.
func (b *baseline) candidates(f *tries) []instance.Member {
	var local, all []instance.Member

	for _, m := range b.members {
		used := false
		for _, id := range f.used {
			used = used || id == m.ID
		}

		if used {
			continue
		}

		all = append(all, m)
		if m.Place.Region == b.self.Place.Region {
			local = append(local, m)
		}
	}

	if b.reach != nil {
		return b.reach(b, all)
	}

	if len(local) > 0 {
		return local
	}

	return all
}

func (b *baseline) ended(now time.Time, e routing.AttemptEnded) []routing.Effect {
	b.inFlight[e.Target]--

	f := b.flights[e.ID]
	if f == nil {
		return nil
	}

	switch {
	case e.Verdict == verdict.Answered:
		delete(b.flights, e.ID)

		return []routing.Effect{routing.Deliver{ID: e.ID, Number: e.Number}}
	case e.Verdict.MayRepeat(f.request.Idempotent()) && len(f.used) < attempts && now.Before(f.request.Deadline):
		return b.send(e.ID)
	default:
		return b.giveUp(e.ID, routing.Overloaded)
	}
}

func (b *baseline) giveUp(id request.ID, reason routing.Reason) []routing.Effect {
	delete(b.flights, id)

	return []routing.Effect{routing.GiveUp{ID: id, Reason: reason}}
}

// probes asks every server of the region for its load.
func (b *baseline) probes(now time.Time) []routing.Effect {
	if b.poll == 0 || now.Sub(b.polled) < b.poll {
		return nil
	}

	b.polled = now

	var effects []routing.Effect

	for _, m := range b.members {
		if m.Place.Region == b.self.Place.Region {
			effects = append(effects, routing.Probe{Target: m})
		}
	}

	return effects
}

func pickRandom(b *baseline, candidates []instance.Member) instance.Member {
	return candidates[b.random.IntN(len(candidates))]
}

func pickInTurn(b *baseline, candidates []instance.Member) instance.Member {
	b.turn++

	return candidates[b.turn%len(candidates)]
}

// pickLeast returns the candidate with the lowest load; ties are broken at random.
func pickLeast(b *baseline, candidates []instance.Member, loadOf func(instance.ID) int) instance.Member {
	offset := b.random.IntN(len(candidates))
	best := candidates[offset]

	for i := range candidates {
		if m := candidates[(offset+i)%len(candidates)]; loadOf(m.ID) < loadOf(best.ID) {
			best = m
		}
	}

	return best
}

func pickTwoStale(b *baseline, candidates []instance.Member) instance.Member {
	first, second := pickRandom(b, candidates), pickRandom(b, candidates)
	reported := func(m instance.Member) int { return b.reports[m.ID].InFlight + b.reports[m.ID].Queue }

	if reported(second) < reported(first) {
		return second
	}

	return first
}

// reachOracle leaves the region if it has no free slot and another has one.
func reachOracle(w *world) func(*baseline, []instance.Member) []instance.Member {
	return func(b *baseline, all []instance.Member) []instance.Member {
		var local, free []instance.Member

		spare := false

		for _, m := range all {
			idle := w.server(m.ID).coming < m.Slots

			if m.Place.Region == b.self.Place.Region {
				local = append(local, m)
				spare = spare || idle
			} else if idle {
				free = append(free, m)
			}
		}

		if !spare && len(free) > 0 || len(local) == 0 {
			return free
		}

		return local
	}
}

// plain returns the contender with servers that have a long queue and shed nothing, as without us.
func plain(c contender) contender {
	c.name += ", plain queue"
	c.queue = queuePlain
	c.admission = []admission.Option{admission.Without(admission.Shedding)}

	return c
}

func baselines() []contender {
	simple := func(name string, pick func(*baseline, []instance.Member) instance.Member, poll time.Duration) contender {
		return contender{name: name, queue: queueDefault, policy: func(_ *world, self instance.Member, seed uint64) policy {
			b := newBaseline(self, seed)
			b.pick, b.poll = pick, poll

			return b
		}}
	}

	roundRobin := simple(roundRobinName, pickInTurn, 0)
	oracle := contender{name: oracleName, queue: queueDefault, policy: func(w *world, self instance.Member, seed uint64) policy {
		b := newBaseline(self, seed)
		b.reach = reachOracle(w)
		b.pick = func(b *baseline, candidates []instance.Member) instance.Member {
			return pickLeast(b, candidates, func(id instance.ID) int { return w.server(id).coming })
		}

		return b
	}}

	return []contender{
		simple("random", pickRandom, 0),
		roundRobin,
		plain(roundRobin),
		simple("least in flight (local)", func(b *baseline, candidates []instance.Member) instance.Member {
			return pickLeast(b, candidates, func(id instance.ID) int { return b.inFlight[id] })
		}, 0),
		simple("two choices, stale 100 ms", pickTwoStale, staleEvery),
		simple("two choices, stale 10 ms", pickTwoStale, tick),
		oracle,
		plain(oracle),
	}
}

// budgets for measuring, for a whole service.
func budgets() []struct {
	name   string
	budget manifest.Budget
} {
	return []struct {
		name   string
		budget manifest.Budget
	}{
		{"ours, budget 0", manifest.Budget{Spill: spillRate}},
		{"ours, small", manifest.Budget{Probes: 10, Bytes: 20_000, Cross: 2_000, Spill: spillRate}},
		{"ours, large", manifest.Budget{Probes: 100, Bytes: 200_000, Cross: 20_000, Spill: spillRate}},
	}
}

func ours(name string, budget manifest.Budget, options ...routing.Option) contender {
	return contender{
		name: name, budget: budget, queue: queueDefault,
		policy: func(_ *world, self instance.Member, seed uint64) policy {
			all := append([]routing.Option{routing.WithSeed(seed), routing.WithPlace(self.Place)}, options...)

			return routing.New(all...)
		},
	}
}
