package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

const (
	// nearFullShare is the share of busy slots above which a server is expected to work more slowly, and
	// nearFullFactor is the factor by which requests then run longer.
	nearFullShare  = 0.8
	nearFullFactor = 1.25
	// failureCost is the cost added for a server that fails all requests. It is scaled by the share of failed
	// requests.
	failureCost = 2 * time.Second
	// costTolerance is the factor by which a server may cost more than the cheapest one and still be chosen. It keeps
	// daemons with the same information from all choosing the same server.
	costTolerance = 1.08

	// domainBytesPerCostSecond and regionBytesPerCostSecond are the numbers of bytes that cost as much as one
	// second of response time if they leave the failure domain or the region, because that traffic is billed.
	domainBytesPerCostSecond = 160_000
	regionBytesPerCostSecond = 40_000
	// headerBytes stands for the headers of a request and its response together.
	headerBytes = 700
)

// cost is the estimated cost of sending a request to a server, in seconds.
type cost struct {
	// responseTime is the expected time until the response, network and queue included; runTime is the part of it in
	// which the server runs the request.
	responseTime, runTime float64
	// total is responseTime plus the costs of the server's failures and of billed traffic. Servers are compared by it.
	total float64
}

// cost estimates the cost of sending a request to a server.
func (s *State) cost(now time.Time, f *flight, srv *server) cost {
	work := f.estimate.workOrDefault().Seconds()
	slowness := srv.slowness(now)
	slots := srv.slots()
	requestsAhead := srv.requestsAhead(now, f.request.Rank())

	runTime := min(work*slowness, work+slowPeriod.Seconds())
	if float64(requestsAhead+1) > nearFullShare*float64(slots) {
		runTime *= nearFullFactor
	}

	responseTime := runTime + srv.distance.roundTrip().Seconds()
	if srv.member.Status == instance.Accused {
		// Its daemon is suspected to be down: the attempt will most likely not be acknowledged and be sent again.
		responseTime += s.acceptTimeout(srv).Seconds()
	}

	if requestsAhead >= slots {
		serviceTime := srv.service.work.workOrDefault().Seconds() * slowness
		responseTime += serviceTime * float64(requestsAhead-slots+1) / float64(slots)
	}

	c := cost{
		responseTime: responseTime, runTime: runTime,
		total: responseTime + srv.report.Failing*failureCost.Seconds(),
	}
	bytes := f.expectedBytes()

	switch srv.distance {
	case sameRegion:
		c.total += bytes / domainBytesPerCostSecond
	case otherRegion:
		c.total += bytes / regionBytesPerCostSecond
	case sameInstance, sameDomain:
	}

	return c
}

// expectedBytes returns the expected size of the request and its response on the network.
func (f *flight) expectedBytes() float64 {
	return f.estimate.bytes + float64(f.request.Size) + headerBytes
}

// allows reports whether the restrictions of the request allow the region of a server.
func (f *flight) allows(srv *server) bool { return f.request.Regions.Allows(srv.member.Place.Region) }

// linkAllows reports whether an attempt at a server stays within the region or the budget for other regions allows it.
func (svc *service) linkAllows(now time.Time, srv *server) bool {
	return srv.distance != otherRegion || svc.spillBudget.hasBalance(now)
}

// choice is the result of comparing servers.
type choice struct {
	// server is nil if no server qualifies.
	server *server
	// cost is that of the server, and nextCost the total cost of the next best one, in seconds.
	cost     cost
	nextCost float64
	// hasNext is set if there is a next best server.
	hasNext bool
	// candidates is the number of servers that were compared.
	candidates int
	// late is set if the request is late; see chooseServer. Only servers with spare slots are chosen then.
	late bool
}

// candidate is a server to which a request may be sent.
type candidate struct {
	server *server
	cost   cost
}

// chooseServer returns a server for a request, or a choice without a server. It considers other regions only if
// this daemon's region has no candidate or if its cheapest one is not expected to respond in time: the link between
// regions is narrow and billed, and the load of remote servers is hardly known. If the cheapest server of all regions
// is not expected to respond in time either, the request is late. It then goes only to a server with spare slots,
// because at another one it would make other requests late, too, and leaves the region only if that has no candidate.
// A nested call goes to any server, because its parent waits for it.
func (s *State) chooseServer(now time.Time, f *flight) choice {
	candidates := s.candidates(now, f)
	preferred := candidates

	if firstRemote := slices.IndexFunc(candidates, func(c candidate) bool {
		return c.server.distance == otherRegion
	}); firstRemote > 0 {
		preferred = candidates[:firstRemote]
	}

	switch {
	case len(candidates) == 0:
		return choice{}
	case f.respondsInTime(now, cheapest(preferred).cost):
		return s.pickCheapest(preferred)
	case f.request.Nested(), f.respondsInTime(now, cheapest(candidates).cost):
		return s.pickCheapest(candidates)
	}

	chosen := s.pickCheapest(slices.DeleteFunc(preferred, func(c candidate) bool {
		return !c.server.hasRoomForLate(now)
	}))
	chosen.late = true

	return chosen
}

// respondsInTime reports whether a response at this cost is expected before responseDue.
func (f *flight) respondsInTime(now time.Time, c cost) bool {
	return !now.Add(toDuration(c.responseTime)).After(f.responseDue())
}

// responseDue returns when a response is due: at the target, or at the deadline if there is no target. For a nested
// call it is always the deadline, because the parent request waits for it until then.
func (f *flight) responseDue() time.Time {
	if target := f.request.Target; !target.IsZero() && !f.request.Nested() {
		return target
	}

	return f.request.Deadline
}

// candidates lists the servers to which a request may be sent, those of other regions last. The list is valid until
// the next call, which reuses its memory.
func (s *State) candidates(now time.Time, f *flight) []candidate {
	all := s.candidateBuffer[:0]

	for _, remote := range []bool{false, true} {
		for _, srv := range f.service.servers {
			if remote == (srv.distance == otherRegion) && f.allows(srv) && srv.isOpen(now) && !s.isEvacuated(srv) &&
				!f.excludes(now, srv) && f.service.linkAllows(now, srv) {
				all = append(all, candidate{server: srv, cost: s.cost(now, f, srv)})
			}
		}
	}

	s.candidateBuffer = all

	return all
}

// cheapest returns the first candidate with the lowest total cost. The list must not be empty.
func cheapest(candidates []candidate) candidate {
	return slices.MinFunc(candidates, func(a, b candidate) int { return cmp.Compare(a.cost.total, b.cost.total) })
}

// pickCheapest draws one of the candidates whose cost is within costTolerance of the lowest one, all with equal
// probability.
func (s *State) pickCheapest(candidates []candidate) choice {
	if len(candidates) == 0 {
		return choice{}
	}

	var (
		chosen   = choice{candidates: len(candidates)}
		limit    = cheapest(candidates).cost.total * costTolerance
		eligible int
	)

	for _, c := range candidates {
		if c.cost.total > limit {
			continue
		}

		eligible++
		if s.random.IntN(eligible) == 0 {
			chosen.server, chosen.cost = c.server, c.cost
		}
	}

	for _, c := range candidates {
		if c.server != chosen.server && (!chosen.hasNext || c.cost.total < chosen.nextCost) {
			chosen.nextCost, chosen.hasNext = c.cost.total, true
		}
	}

	return chosen
}
