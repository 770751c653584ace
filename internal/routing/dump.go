package routing

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

// Counts are totals since the start of the daemon. Repeats include hedges; GivenUp excludes requests that the caller
// cancelled.
type Counts struct {
	Requests  uint64
	Attempts  uint64
	Repeats   uint64
	Hedges    uint64
	Delivered uint64
	GivenUp   uint64
	// DelayedHedges are those of the Hedges that were sent after a delay. HedgesWon brought the response of their
	// requests, HedgesLost ended otherwise.
	DelayedHedges, HedgesWon, HedgesLost uint64
	// HedgeTime is the time for which servers ran hedged attempts.
	HedgeTime time.Duration
}

// Dump is the routing part of a state dump. Flights is the number of requests in progress; Servers are sorted by ID.
type Dump struct {
	Flights int
	Servers []DumpServer
	// Budgets is the number of repeats left for each service.
	Budgets map[string]float64
	// Delays and Hedges are sorted. They are empty unless hedged attempts after a delay are configured.
	Delays []DumpDelay
	Hedges []DumpHedge
	Counts Counts
}

// DumpDelay is the delay after which requests of a route are hedged; zero if there are too few responses.
type DumpDelay struct {
	Route     string
	Delay     time.Duration
	Responses int64
}

// DumpHedge is what is left of a limit on hedged attempts: Requests is the number of requests that may still be hedged
// after a delay, Work the run time that hedged attempts may still use. Route is empty for the limit of the whole service.
type DumpHedge struct {
	Service, Route string
	Requests       float64
	Work           time.Duration
}

// DumpServer describes one server of a Dump. Ahead is the number of requests that run or wait at it, and Avoid is how
// much longer it gets no new attempts.
type DumpServer struct {
	ID      instance.ID
	Service string
	// Evacuated is set if the failure domain of the server is evacuated.
	Evacuated bool
	Open      bool
	Ahead     int
	Slots     int
	Slowness  float64
	Failing   float64
	// Age is the age of the last load report; negative if there is none.
	Age   time.Duration
	Avoid time.Duration
}

// Dump returns a snapshot of the state.
func (s *State) Dump(now time.Time) Dump {
	d := Dump{Flights: len(s.flights), Counts: s.counts, Budgets: make(map[string]float64, len(s.services))}

	for name, svc := range s.services {
		d.Budgets[name] = s.repeatsLeft(now, svc)
	}

	for id, srv := range s.servers {
		age := time.Duration(-1)
		if !srv.reportedAt.IsZero() {
			age = now.Sub(srv.reportedAt)
		}

		d.Servers = append(d.Servers, DumpServer{
			ID: id, Service: srv.service.name, Open: srv.isOpen(now), Evacuated: s.isEvacuated(srv),
			Ahead: srv.requestsAhead(now, request.LowRank), Slots: srv.slots(),
			Slowness: srv.slowness(now), Failing: srv.report.Failing, Age: age,
			Avoid: max(0, srv.avoidUntil.Sub(now)),
		})
	}

	d.Delays, d.Hedges = s.dumpDelays(), s.dumpHedges(now)
	slices.SortFunc(d.Servers, func(a, b DumpServer) int { return cmp.Compare(a.ID, b.ID) })

	return d
}

func (s *State) dumpDelays() []DumpDelay {
	delays := make([]DumpDelay, 0, len(s.responseTimes))

	for route, times := range s.responseTimes {
		delays = append(delays, DumpDelay{Route: route, Delay: times.delay, Responses: times.count})
	}

	slices.SortFunc(delays, func(a, b DumpDelay) int { return cmp.Compare(a.Route, b.Route) })

	return delays
}

func (s *State) dumpHedges(now time.Time) []DumpHedge {
	var hedges []DumpHedge

	for _, key := range slices.SortedFunc(maps.Keys(s.hedgeBudgets), hedgeKey.compare) {
		if b := s.hedgeBudgets[key]; b.limits.LimitsDelayed() {
			hedges = append(hedges, DumpHedge{
				Service: key.service, Route: key.route, Requests: b.left(now),
				Work: toDuration(b.workLeft(now)),
			})
		}
	}

	return hedges
}

// Counts returns the totals since the start of the daemon.
func (s *State) Counts() Counts { return s.counts }
