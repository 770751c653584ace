package simulation

import (
	"fmt"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Violation is a case in which a guarantee did not hold.
type Violation struct {
	// At is the time since the start of the load.
	At time.Duration
	// Guarantee is one of the constants below.
	Guarantee string
	Detail    string
}

// Guarantees that are checked. The texts describe a violation.
const (
	AtMostOnce             = "a request that must not be repeated ran twice"
	NotRunIsFinal          = "a request that was refused as not run has run"
	ResponseMatchesRequest = "a caller got the response to another request"
	NoRequestAfterDrain    = "a draining server got a request after the drain time"
	VersionsIncrease       = "a configuration was replaced by one that is not newer"
	RepeatsWithinBudget    = "a service got more repeats than the budget allows"
)

// maxViolations bounds the list of violations.
const maxViolations = 100

// guarantees checks the guarantees by comparing the responses to callers with what the servers did.
type guarantees struct {
	fleet    *Fleet
	requests map[request.ID]*requestRecord
	// drainStarts holds the time at which the daemon acknowledged the drain of its server, by the run of the server.
	drainStarts map[backend.ID]time.Time
	traffic     map[string]*serviceTraffic
	violations  []Violation
}

// requestRecord is what happened to a request that was sent once. A retry has a record of its own.
type requestRecord struct {
	idempotent bool
	service    string
	// arrivals counts the attempts that reached a server, runs those that ran. refused is set if the request was
	// refused as not run.
	arrivals int
	runs     int
	refused  bool
}

// serviceTraffic counts the requests for a service and the repeated attempts that reach its servers, by second.
type serviceTraffic struct{ requests, repeats []float64 }

func newGuarantees(f *Fleet) *guarantees {
	return &guarantees{
		fleet: f, requests: make(map[request.ID]*requestRecord), drainStarts: make(map[backend.ID]time.Time),
		traffic: make(map[string]*serviceTraffic),
	}
}

func (g *guarantees) addViolation(guarantee, format string, values ...any) {
	if len(g.violations) < maxViolations {
		g.violations = append(g.violations, Violation{
			At: g.fleet.loadElapsed(), Guarantee: guarantee, Detail: fmt.Sprintf(format, values...),
		})
	}
}

func (g *guarantees) recordSent(id request.ID, k *Kind) {
	g.requests[id] = &requestRecord{idempotent: k.Idempotent, service: k.Service}
	countInSecond(&g.trafficOf(k.Service).requests, g.fleet.loadSecond())
}

func (g *guarantees) trafficOf(service string) *serviceTraffic {
	if g.traffic[service] == nil {
		g.traffic[service] = &serviceTraffic{}
	}

	return g.traffic[service]
}

// countInSecond increments the count of a second.
func countInSecond(counts *[]float64, second int) {
	for len(*counts) <= second {
		*counts = append(*counts, 0)
	}

	(*counts)[second]++
}

// recordArrival records that a request has reached a server.
func (g *guarantees) recordArrival(s *server, w *work) {
	record := g.requests[w.id]
	if record.arrivals++; record.arrivals > 1 {
		countInSecond(&g.trafficOf(record.service).repeats, g.fleet.loadSecond())
	}

	if at, draining := g.drainStarts[s.id]; draining && g.fleet.clock.now.Sub(at) > g.fleet.pattern.DrainTime {
		g.addViolation(NoRequestAfterDrain, "%s at %s, %s after the daemon acknowledged the drain",
			w.id, s.id, g.fleet.clock.now.Sub(at))
	}
}

// recordStart records that a server starts to run a request.
func (g *guarantees) recordStart(s *server, w *work) {
	record := g.requests[w.id]
	record.runs++

	if record.idempotent {
		return
	}

	if record.runs > 1 {
		g.addViolation(AtMostOnce, "%s at %s", w.id, s.id)
	}

	if record.refused {
		g.addViolation(NotRunIsFinal, "%s runs at %s after the refusal", w.id, s.id)
	}
}

// recordResponse records the response that a caller got.
func (g *guarantees) recordResponse(id request.ID, answer response) {
	record := g.requests[id]

	switch {
	case answer.refused && answer.verdict == verdict.NotRun:
		record.refused = true

		if !record.idempotent && record.runs > 0 {
			g.addViolation(NotRunIsFinal, "%s", id)
		}
	case !answer.refused && answer.outcome == answered && answer.requestID != id:
		g.addViolation(ResponseMatchesRequest, "%s got the response to %s", id, answer.requestID)
	}
}

// recordDrain records that the daemon has acknowledged the drain of its server. ID is the run that drains.
func (g *guarantees) recordDrain(s *server, id backend.ID) {
	if _, known := g.drainStarts[id]; !known && s.id == id {
		g.drainStarts[id] = g.fleet.clock.now
	}
}

func (g *guarantees) checkVersion(process *process, version uint64) {
	if version <= process.version {
		g.addViolation(VersionsIncrease, "%s from %d to %d", process.daemon.id, process.version, version)
	}
}

// checkRepeats compares the repeats in each window with the budget. The budget depends on the requests of that window
// or of the one before, whichever has more.
func (g *guarantees) checkRepeats() {
	window := int(g.fleet.pattern.RepeatWindow / time.Second)

	for _, service := range g.fleet.pattern.Services {
		counts := g.trafficOf(service.Name)

		for end := range len(counts.repeats) {
			repeats := sumSeconds(counts.repeats, end-window+1, end)
			requests := max(sumSeconds(counts.requests, end-window+1, end),
				sumSeconds(counts.requests, end-2*window+1, end-window))

			if allowed := g.fleet.pattern.RepeatShare*requests + g.fleet.pattern.RepeatSlack; repeats > allowed {
				g.addViolation(RepeatsWithinBudget, "%s in the window that ends in second %d: %.0f of %.0f",
					service.Name, end, repeats, allowed)
			}
		}
	}
}

// sumSeconds adds the counts of a range of seconds, both ends included.
func sumSeconds(counts []float64, from, to int) float64 {
	total := 0.0

	for second := max(0, from); second <= min(to, len(counts)-1); second++ {
		total += counts[second]
	}

	return total
}
