package simulation

import (
	"fmt"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Broken is a promise that did not hold.
type Violation struct {
	At        time.Duration
	Guarantee string
	Detail    string
}

// Promises that are checked.
const (
	AtMostOnce             = "a request that must not be repeated ran twice"
	NotRunIsFinal          = "a request that was refused as not run has run"
	ResponseMatchesRequest = "a caller got the response to another request"
	NoRequestAfterDrain    = "a server that leaves got a request after the drain time"
	VersionsIncrease       = "a configuration was replaced by one that is not newer"
	RepeatsWithinBudget    = "a service got more repeats than the budget allows"
)

// maxBroken bounds the list of broken promises.
const maxBroken = 100

// promises compares what callers are told with what servers do.
type promises struct {
	fleet  *Fleet
	truths map[request.ID]*truth
	// left is when a server said that it leaves, as its daemon acknowledged it.
	left   map[backend.ID]time.Time
	counts map[string]*arrivals
	broken []Violation
}

// truth is what happened to one sending of a request.
type truth struct {
	idempotent bool
	service    string
	arrivals   int
	runs       int
	refused    bool
}

// arrivals are the requests for a service and the repeats that reach it, by second.
type arrivals struct{ requests, repeats []float64 }

func newPromises(f *Fleet) *promises {
	return &promises{
		fleet: f, truths: make(map[request.ID]*truth), left: make(map[backend.ID]time.Time),
		counts: make(map[string]*arrivals),
	}
}

func (p *promises) breaks(promise, format string, values ...any) {
	if len(p.broken) < maxBroken {
		p.broken = append(p.broken, Violation{At: p.fleet.elapsed(), Guarantee: promise, Detail: fmt.Sprintf(format, values...)})
	}
}

func (p *promises) sent(id request.ID, k *Kind) {
	p.truths[id] = &truth{idempotent: k.Idempotent, service: k.Service}
	add(&p.of(k.Service).requests, p.fleet.second())
}

func (p *promises) of(service string) *arrivals {
	if p.counts[service] == nil {
		p.counts[service] = &arrivals{}
	}

	return p.counts[service]
}

// add counts something in a second.
func add(counts *[]float64, second int) {
	for len(*counts) <= second {
		*counts = append(*counts, 0)
	}

	(*counts)[second]++
}

// arrived takes a request that reaches a server.
func (p *promises) arrived(s *server, w *work) {
	t := p.truths[w.id]
	if t.arrivals++; t.arrivals > 1 {
		add(&p.of(t.service).repeats, p.fleet.second())
	}

	if at, leaves := p.left[s.id]; leaves && p.fleet.clock.now.Sub(at) > p.fleet.pattern.DrainTime {
		p.breaks(NoRequestAfterDrain, "%s at %s, %s after it said so", w.id, s.id, p.fleet.clock.now.Sub(at))
	}
}

// began takes a request that a server begins to run.
func (p *promises) began(s *server, w *work) {
	t := p.truths[w.id]
	t.runs++

	if t.idempotent {
		return
	}

	if t.runs > 1 {
		p.breaks(AtMostOnce, "%s at %s", w.id, s.id)
	}

	if t.refused {
		p.breaks(NotRunIsFinal, "%s runs at %s after the refusal", w.id, s.id)
	}
}

// heard takes what a caller was told.
func (p *promises) heard(id request.ID, answer response) {
	t := p.truths[id]

	switch {
	case answer.refused && answer.verdict == verdict.NotRun:
		t.refused = true

		if !t.idempotent && t.runs > 0 {
			p.breaks(NotRunIsFinal, "%s", id)
		}
	case !answer.refused && answer.ending == answered && answer.of != id:
		p.breaks(ResponseMatchesRequest, "%s got that of %s", id, answer.of)
	}
}

func (p *promises) drains(s *server, id backend.ID) {
	if _, known := p.left[id]; !known && s.id == id {
		p.left[id] = p.fleet.clock.now
	}
}

func (p *promises) version(r *run, version uint64) {
	if version <= r.version {
		p.breaks(VersionsIncrease, "%s from %d to %d", r.daemon.id, r.version, version)
	}
}

// checkBudget compares the repeats of each window with what it allows: the requests of the window, or of the one before.
func (p *promises) checkBudget() {
	window := int(p.fleet.pattern.RepeatWindow / time.Second)

	for _, service := range p.fleet.pattern.Services {
		counts := p.of(service.Name)

		for end := range len(counts.repeats) {
			repeats := sum(counts.repeats, end-window+1, end)
			requests := max(sum(counts.requests, end-window+1, end), sum(counts.requests, end-2*window+1, end-window))

			if allowed := p.fleet.pattern.RepeatShare*requests + p.fleet.pattern.RepeatSlack; repeats > allowed {
				p.breaks(RepeatsWithinBudget, "%s in the window that ends in second %d: %.0f of %.0f", service.Name, end, repeats, allowed)
			}
		}
	}
}

// sum adds the counts of some seconds, both ends included.
func sum(counts []float64, from, to int) float64 {
	total := 0.0

	for second := max(0, from); second <= min(to, len(counts)-1); second++ {
		total += counts[second]
	}

	return total
}
