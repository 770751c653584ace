package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
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
	ahead := srv.ahead(now, f.request.Rank())

	run := min(work*slow, work+spell.Seconds())
	if float64(ahead+1) > nearFull*float64(slots) {
		run *= nearFullFactor
	}

	total := run + srv.distance.trip().Seconds()
	if srv.member.Status == instance.Accused {
		// The attempt will most likely be sent again after it got no answer.
		total += s.acceptTimeout(srv).Seconds()
	}

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
	// late is set if no response is expected within the target; the server then has room to spare.
	late bool
}

// candidate is a server that a flight may use.
type candidate struct {
	server *server
	cost   cost
}

// choose returns a server for the flight, or none. Other regions are considered only if the own one has no server that
// is expected to respond in time: the link between regions is narrow and billed, and the load there is hardly known. A
// request that is late everywhere goes to a server of its region with room to spare only: it would make others late, too.
func (s *State) choose(now time.Time, f *flight) choice {
	all := s.candidates(now, f)
	near := all

	if at := slices.IndexFunc(all, func(c candidate) bool { return c.server.distance == otherRegion }); at > 0 {
		near = all[:at]
	}

	switch {
	case len(all) == 0:
		return choice{}
	case f.inTime(now, cheapest(near).cost):
		return s.pick(near)
	case f.request.Nested(), f.inTime(now, cheapest(all).cost):
		return s.pick(all)
	}

	chosen := s.pick(slices.DeleteFunc(near, func(c candidate) bool { return !c.server.takesLate(now) }))
	chosen.late = true

	return chosen
}

// inTime reports whether a response is expected within the target, or for a nested call within the deadline.
func (f *flight) inTime(now time.Time, c cost) bool {
	return !now.Add(seconds(c.time)).After(f.until())
}

// until is when a response is due: the target, or the deadline of a nested call, whose parent waits for it.
func (f *flight) until() time.Time {
	if target := f.request.Target; !target.IsZero() && !f.request.Nested() {
		return target
	}

	return f.request.Deadline
}

// candidates lists the servers that a flight may use, those of other regions last. The list is valid until the next
// call.
func (s *State) candidates(now time.Time, f *flight) []candidate {
	all := s.compared[:0]

	for _, far := range []bool{false, true} {
		for _, srv := range f.service.servers {
			if far == (srv.distance == otherRegion) && srv.open(now) && !f.excludes(now, srv) && f.service.mayReach(now, srv) {
				all = append(all, candidate{server: srv, cost: s.cost(now, f, srv)})
			}
		}
	}

	s.compared = all

	return all
}

// cheapest returns the first candidate with the least cost. There has to be one.
func cheapest(all []candidate) candidate {
	return slices.MinFunc(all, func(a, b candidate) int { return cmp.Compare(a.cost.total, b.cost.total) })
}

// pick draws one of the candidates that cost about as much as the best one.
func (s *State) pick(all []candidate) choice {
	if len(all) == 0 {
		return choice{}
	}

	var (
		chosen = choice{candidates: len(all)}
		limit  = cheapest(all).cost.total * similar
		count  int
	)

	for _, c := range all {
		if c.cost.total > limit {
			continue
		}

		count++
		if s.random.IntN(count) == 0 {
			chosen.server, chosen.cost = c.server, c.cost
		}
	}

	for _, c := range all {
		if c.server != chosen.server && (!chosen.others || c.cost.total < chosen.next) {
			chosen.next, chosen.others = c.cost.total, true
		}
	}

	return chosen
}
