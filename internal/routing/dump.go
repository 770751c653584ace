package routing

import (
	"sort"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Counts are totals since the start.
type Counts struct {
	Requests  uint64
	Attempts  uint64
	Retries   uint64
	Hedges    uint64
	Probes    uint64
	Delivered uint64
	// Unpaid counts load hints that arrived although they were not asked for.
	Unpaid  uint64
	GivenUp uint64
}

// Dump holds the state for the state dump, sorted by ID.
type Dump struct {
	Flights int
	Servers []DumpServer
	Counts  Counts
}

// DumpServer is one server of a Dump.
type DumpServer struct {
	ID       instance.ID
	Service  string
	InFlight int
	Latency  time.Duration
	Closed   bool
}

// Dump returns plain values.
func (s *State) Dump() Dump {
	d := Dump{Flights: len(s.flights), Counts: s.counts}

	for id, srv := range s.servers {
		d.Servers = append(d.Servers, DumpServer{
			ID: id, Service: srv.service.name, InFlight: srv.inFlight, Latency: time.Duration(srv.latency.value * float64(time.Second)), Closed: srv.closed,
		})
	}

	sort.Slice(d.Servers, func(i, j int) bool { return d.Servers[i].ID < d.Servers[j].ID })

	return d
}
