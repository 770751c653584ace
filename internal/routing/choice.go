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
	// maxDomainFactor is the factor by which a response from the own failure domain may be expected later than one from
	// elsewhere. Above it, the caller gains more than the traffic costs.
	maxDomainFactor = 2
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
	// hedgeLimit is the highest cost, in seconds, at which an attempt hedged after a delay is of use; zero for other
	// attempts.
	hedgeLimit float64
}

// candidate is a server to which a request may be sent.
type candidate struct {
	server *server
	cost   cost
}

// chooseServer returns a server for a request, or a choice without a server. A request stays in this daemon's region while a
// server there is expected to respond in time: traffic that leaves it is billed, the links between regions are narrow, and
// the load of remote servers is hardly known. It stays in the failure domain if its caller gains little elsewhere.
//
// If the cheapest server of all regions is not expected to respond in time either, the request is late. It then goes only to
// a server with spare slots, because at another one it would make other requests late, too, and leaves the region only if
// that has no candidate.
//
// A nested call is never late, because its parent waits for it, and would stay near at any price. It goes to the cheapest
// server.
func (s *State) chooseServer(now time.Time, f *flight) choice {
	candidates := s.candidates(now, f)
	inDomain, inRegion := within(candidates, sameDomain), regionFirst(candidates)

	switch {
	case len(candidates) == 0:
		return choice{}
	case f.staysInDomain(now, inDomain, inRegion):
		return s.pickCheapest(inDomain, inRegion)
	case f.respondsInTime(now, cheapest(inRegion).cost):
		return s.pickCheapest(inRegion, inRegion)
	case f.request.Nested(), f.respondsInTime(now, cheapest(candidates).cost):
		return s.pickCheapest(candidates, candidates)
	}

	withRoom := slices.DeleteFunc(inRegion, func(c candidate) bool { return !c.server.hasRoomForLate(now) })
	chosen := s.pickCheapest(withRoom, withRoom)
	chosen.late = true

	return chosen
}

// staysInDomain reports whether a request goes to a server in the failure domain although another one in the region may
// respond earlier. A nested call would always do so, as any response by the deadline is in time.
func (f *flight) staysInDomain(now time.Time, inDomain, inRegion []candidate) bool {
	if len(inDomain) == 0 || f.request.Nested() {
		return false
	}

	near, best := cheapest(inDomain).cost, cheapest(inRegion).cost

	return f.respondsInTime(now, near) && near.responseTime <= maxDomainFactor*best.responseTime
}

// within returns the candidates up to a distance. The candidates are in the order of their distance.
func within(candidates []candidate, limit distance) []candidate {
	for i, c := range candidates {
		if c.server.distance > limit {
			return candidates[:i]
		}
	}

	return candidates
}

// regionFirst returns the candidates in the region of this daemon, or all if there are none.
func regionFirst(candidates []candidate) []candidate {
	if inRegion := within(candidates, sameRegion); len(inRegion) > 0 {
		return inRegion
	}

	return candidates
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

// candidates lists the servers to which a request may be sent: those in the failure domain of this daemon first, those of
// other regions last. The list is valid until the next call, which reuses its memory.
func (s *State) candidates(now time.Time, f *flight) []candidate {
	all := s.candidateBuffer[:0]

	for _, limit := range []distance{sameDomain, sameRegion, otherRegion} {
		for _, srv := range f.service.servers {
			if max(srv.distance, sameDomain) == limit && f.allows(srv) && srv.isOpen(now) && !s.isEvacuated(srv) &&
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
// probability. The next best server is one of the alternatives.
func (s *State) pickCheapest(candidates, alternatives []candidate) choice {
	if len(candidates) == 0 {
		return choice{}
	}

	var (
		chosen   = choice{candidates: len(alternatives)}
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

	for _, c := range alternatives {
		if c.server != chosen.server && (!chosen.hasNext || c.cost.total < chosen.nextCost) {
			chosen.nextCost, chosen.hasNext = c.cost.total, true
		}
	}

	return chosen
}
