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
const maxViolations = 100

// promises compares what callers are told with what servers do.
type guarantees struct {
	fleet    *Fleet
	requests map[request.ID]*requestRecord
	// left is when a server said that it leaves, as its daemon acknowledged it.
	drainStarts map[backend.ID]time.Time
	traffic     map[string]*serviceTraffic
	violations  []Violation
}

// truth is what happened to one sending of a request.
type requestRecord struct {
	idempotent bool
	service    string
	arrivals   int
	runs       int
	refused    bool
}

// arrivals are the requests for a service and the repeats that reach it, by second.
type serviceTraffic struct{ requests, repeats []float64 }

func newGuarantees(f *Fleet) *guarantees {
	return &guarantees{
		fleet: f, requests: make(map[request.ID]*requestRecord), drainStarts: make(map[backend.ID]time.Time),
		traffic: make(map[string]*serviceTraffic),
	}
}

func (p *guarantees) addViolation(promise, format string, values ...any) {
	if len(p.violations) < maxViolations {
		p.violations = append(p.violations, Violation{At: p.fleet.loadElapsed(), Guarantee: promise, Detail: fmt.Sprintf(format, values...)})
	}
}

func (p *guarantees) recordSent(id request.ID, k *Kind) {
	p.requests[id] = &requestRecord{idempotent: k.Idempotent, service: k.Service}
	countInSecond(&p.trafficOf(k.Service).requests, p.fleet.loadSecond())
}

func (p *guarantees) trafficOf(service string) *serviceTraffic {
	if p.traffic[service] == nil {
		p.traffic[service] = &serviceTraffic{}
	}

	return p.traffic[service]
}

// add counts something in a second.
func countInSecond(counts *[]float64, second int) {
	for len(*counts) <= second {
		*counts = append(*counts, 0)
	}

	(*counts)[second]++
}

// arrived takes a request that reaches a server.
func (p *guarantees) recordArrival(s *server, w *work) {
	t := p.requests[w.id]
	if t.arrivals++; t.arrivals > 1 {
		countInSecond(&p.trafficOf(t.service).repeats, p.fleet.loadSecond())
	}

	if at, leaves := p.drainStarts[s.id]; leaves && p.fleet.clock.now.Sub(at) > p.fleet.pattern.DrainTime {
		p.addViolation(NoRequestAfterDrain, "%s at %s, %s after it said so", w.id, s.id, p.fleet.clock.now.Sub(at))
	}
}

// began takes a request that a server begins to run.
func (p *guarantees) recordStart(s *server, w *work) {
	t := p.requests[w.id]
	t.runs++

	if t.idempotent {
		return
	}

	if t.runs > 1 {
		p.addViolation(AtMostOnce, "%s at %s", w.id, s.id)
	}

	if t.refused {
		p.addViolation(NotRunIsFinal, "%s runs at %s after the refusal", w.id, s.id)
	}
}

// heard takes what a caller was told.
func (p *guarantees) recordResponse(id request.ID, answer response) {
	t := p.requests[id]

	switch {
	case answer.refused && answer.verdict == verdict.NotRun:
		t.refused = true

		if !t.idempotent && t.runs > 0 {
			p.addViolation(NotRunIsFinal, "%s", id)
		}
	case !answer.refused && answer.outcome == answered && answer.requestID != id:
		p.addViolation(ResponseMatchesRequest, "%s got that of %s", id, answer.requestID)
	}
}

func (p *guarantees) recordDrain(s *server, id backend.ID) {
	if _, known := p.drainStarts[id]; !known && s.id == id {
		p.drainStarts[id] = p.fleet.clock.now
	}
}

func (p *guarantees) checkVersion(r *process, version uint64) {
	if version <= r.version {
		p.addViolation(VersionsIncrease, "%s from %d to %d", r.daemon.id, r.version, version)
	}
}

// checkBudget compares the repeats of each window with what it allows: the requests of the window, or of the one before.
func (p *guarantees) checkRepeats() {
	window := int(p.fleet.pattern.RepeatWindow / time.Second)

	for _, service := range p.fleet.pattern.Services {
		counts := p.trafficOf(service.Name)

		for end := range len(counts.repeats) {
			repeats := sumSeconds(counts.repeats, end-window+1, end)
			requests := max(sumSeconds(counts.requests, end-window+1, end), sumSeconds(counts.requests, end-2*window+1, end-window))

			if allowed := p.fleet.pattern.RepeatShare*requests + p.fleet.pattern.RepeatSlack; repeats > allowed {
				p.addViolation(RepeatsWithinBudget, "%s in the window that ends in second %d: %.0f of %.0f", service.Name, end, repeats, allowed)
			}
		}
	}
}

// sum adds the counts of some seconds, both ends included.
func sumSeconds(counts []float64, from, to int) float64 {
	total := 0.0

	for second := max(0, from); second <= min(to, len(counts)-1); second++ {
		total += counts[second]
	}

	return total
}
