package routing

import (
	"time"
)

const (
	// nearFull is the share of its slots beyond which a server is expected to work slower.
	nearFull       = 0.8
	nearFullFactor = 1.25
	// failureCost is added for a server that fails every request.
	failureCost = 2 * time.Second
	// similar is how much a server may cost more than the best one and still be chosen, so that daemons that
	// know the same do not all choose the same server.
	similar = 1.08

	// domainRate and regionRate are the bytes that weigh as much as one second of a caller's time if they
	// leave the failure domain or the region, because that traffic is billed.
	domainRate = 160_000
	regionRate = 40_000
	// headBytes is added to what a request and its response carry.
	headBytes = 700
)

// cost compares servers, in seconds.
type cost struct {
	// time that a request is expected to take at the server, of which run is the time that it runs.
	time, run float64
	// total adds what its failures and the bytes of the request weigh.
	total float64
}

func (s *State) cost(now time.Time, f *flight, srv *server) cost {
	work := f.estimate.workOrDefault().Seconds()
	slow := srv.slowness(now)
	slots := srv.slots()
	ahead := srv.ahead(now)

	run := min(work*slow, work+spell.Seconds())
	if float64(ahead+1) > nearFull*float64(slots) {
		run *= nearFullFactor
	}

	total := run + srv.distance.trip().Seconds()

	if ahead >= slots {
		usual := srv.service.work.workOrDefault().Seconds() * slow
		total += usual * float64(ahead-slots+1) / float64(slots)
	}

	c := cost{time: total, run: run, total: total + srv.report.Failing*failureCost.Seconds()}
	bytes := f.bytes()

	switch srv.distance {
	case sameRegion:
		c.total += bytes / domainRate
	case otherRegion:
		c.total += bytes / regionRate
	case sameInstance, sameDomain:
	}

	return c
}

// bytes is what the request and its response are expected to take on the network.
func (f *flight) bytes() float64 { return f.estimate.bytes + float64(f.request.Size) + headBytes }

// mayReach reports whether the budget of the link between regions allows an attempt.
func (svc *service) mayReach(now time.Time, srv *server) bool {
	return srv.distance != otherRegion || svc.spill.free(now)
}

// choice is the outcome of a comparison of servers.
type choice struct {
	server *server
	// cost of the server, and the total of the next best one.
	cost cost
	next float64
	// others is set if there is a next best one.
	others bool
	// candidates is the number of servers that were compared.
	candidates int
}

// choose returns a server with the least cost among those that the flight may use, or none.
func (s *State) choose(now time.Time, f *flight) choice {
	var (
		best  choice
		costs = s.costs[:0]
	)

	svc := f.service

	for _, srv := range svc.servers {
		if !srv.open(now) || f.excludes(now, srv) || !svc.mayReach(now, srv) {
			costs = append(costs, -1)

			continue
		}

		cost := s.cost(now, f, srv)
		costs = append(costs, cost.total)
		best.candidates++

		if best.server == nil || cost.total < best.cost.total {
			best.server, best.cost = srv, cost
		}
	}

	s.costs = costs

	if best.server == nil {
		return best
	}

	best.server = s.pick(f, costs, best.cost.total)
	best.cost = s.cost(now, f, best.server)
	best.next, best.others = nextCost(f, costs, best.server)

	return best
}

// pick draws one of the servers that cost about as much as the best one.
func (s *State) pick(f *flight, costs []float64, least float64) *server {
	var (
		chosen *server
		count  int
	)

	for i, srv := range f.service.servers {
		if costs[i] < 0 || costs[i] > least*similar {
			continue
		}

		count++
		if s.random.IntN(count) == 0 {
			chosen = srv
		}
	}

	return chosen
}

func nextCost(f *flight, costs []float64, chosen *server) (float64, bool) {
	next, found := 0.0, false

	for i, srv := range f.service.servers {
		if costs[i] < 0 || srv == chosen {
			continue
		}

		if !found || costs[i] < next {
			next, found = costs[i], true
		}
	}

	return next, found
}
