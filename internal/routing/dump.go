package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"

	"github.com/tarragonmill/tarragonmill/internal/instance"
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
}

// Dump is the routing part of a state dump. Flights is the number of requests in progress; Servers are sorted by ID.
type Dump struct {
	Flights int
	Servers []DumpServer
	// Budgets is the number of repeats left for each service.
	Budgets map[string]float64
	Counts  Counts
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

	slices.SortFunc(d.Servers, func(a, b DumpServer) int { return cmp.Compare(a.ID, b.ID) })

	return d
}

// Counts returns the totals since the start of the daemon.
func (s *State) Counts() Counts { return s.counts }
