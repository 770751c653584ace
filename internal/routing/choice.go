package routing

import "time"

const (
	// samples is the number of servers that are compared for one choice.
	samples = 3
	// ownWeight is the weight of one sample in the mean of this entry's requests at a server.
	ownWeight = 0.01
	// tries bounds the draws for one choice, so that its cost does not depend on the number of
	// servers.
	tries = 12
	// domainCost is the round trip between failure domains, which is 1 to 2 ms today.
	domainCost = time.Millisecond
	// distanceDefault is the round trip between regions, used until it was observed.
	distanceDefault = 40 * time.Millisecond
	// spillPressure is the share of refusals beyond the link above which nothing is sent there.
	spillPressure = 0.1
	// refusalsToSpill is the number of full servers after which the region counts as exhausted. Looking
	// at more of them would take longer than the wait in a queue.
	refusalsToSpill = 2
	// pressureCost is added for a region that refuses every attempt; it is the longest wait there.
	pressureCost = 50 * time.Millisecond
)

// choose returns the best of a few random servers that the flight has not tried, or nil. It leaves the
// region only if the region is exhausted for this request, or has no server that can be reached, and a
// server beyond the link is expected to answer sooner in spite of the distance.
func (s *State) choose(now time.Time, f *flight, hedge bool) *server {
	svc := f.service
	local, localCost := s.sample(now, &svc.local, f)

	leave := local == nil || f.exhausted(svc) && svc.maySpill(now, f)

	if hedge || !leave {
		return local
	}

	paid := svc.spill.has(now, svc.transfer(f))
	if paid {
		remote, remoteCost := s.sample(now, &svc.remote, f)
		if remote != nil && (local == nil || remoteCost+svc.distance() < localCost) {
			return remote
		}
	}

	if local == nil {
		// If no server seems reachable, the fault may be here: one that is due for a trial later is
		// better than none.
		last, _ := s.sample(now, &svc.unreachable, f)
		if last != nil && (last.local || paid) {
			return last
		}
	}

	return local
}

// maySpill reports whether a request may cross the region link although its region has servers: within
// the byte rate, and not while the servers beyond the link refuse, too.
func (svc *service) maySpill(now time.Time, f *flight) bool {
	return svc.remote.pressure.share(now, returnTime) < spillPressure && svc.spill.has(now, svc.transfer(f))
}

// distance is the additional time, in seconds, that answers from beyond the region link take.
func (svc *service) distance() float64 {
	if svc.remote.latency.at.IsZero() {
		return distanceDefault.Seconds()
	}

	return max(0, svc.remote.latency.value-svc.local.latency.value)
}

// exhausted reports whether the region's servers refused the request: one that could have queued it, or
// several that were full.
func (f *flight) exhausted(svc *service) bool {
	return f.queueFull || f.refusals >= min(refusalsToSpill, len(svc.local.items))
}

// transfer estimates the bytes of an attempt and its answer.
func (svc *service) transfer(f *flight) float64 {
	return float64(f.request.Size) + headerBytes + svc.answers.value
}

func (s *State) sample(now time.Time, from *tier, f *flight) (*server, float64) {
	var (
		best      *server
		bestScore float64
		drawn     [samples]*server
		count     int
	)

	n := len(from.items)
	if n == 0 {
		return nil, 0
	}

draws:
	for range tries {
		srv := from.items[s.random.IntN(n)]
		for _, other := range drawn[:count] {
			if srv == other {
				continue draws
			}
		}

		if f.tried(srv) {
			continue
		}

		drawn[count] = srv
		from.own.add(now, float64(srv.inFlight), ownWeight)
		count++

		if score := s.score(now, srv); best == nil || score < bestScore {
			best, bestScore = srv, score
		}

		if count == min(samples, n) {
			break
		}
	}

	if best == nil {
		best = firstUntried(from, f, s.random.IntN(n))
	}

	return best, bestScore
}

// firstUntried looks at a bounded number of neighbours, for the case that draws only hit tried servers.
func firstUntried(from *tier, f *flight, start int) *server {
	n := len(from.items)
	for i := range min(n, tries) {
		if srv := from.items[(start+i)%n]; !f.tried(srv) {
			return srv
		}
	}

	return nil
}

// score is the expected time, in seconds, until the server would answer another request. If most servers
// fail, failures say nothing about a single server and do not count.
func (s *State) score(now time.Time, srv *server) float64 {
	svc, t := srv.service, srv.tier()
	limit := float64(srv.slots())
	ahead := s.load(now, srv) + 1
	slowness := 1.0

	if s.uses(StragglerWeight) {
		slowness = srv.slowness(now)
	}

	if age := now.Sub(srv.since); s.uses(ColdRamp) && age < rampTime {
		slowness += (rampFactor - 1) * float64(rampTime-age) / float64(rampTime)
	}

	queue := max(0, ahead-limit) / limit
	cost := svc.local.latency.value * (ahead/limit + slowness*(1+queue))

	if s.uses(FailureWeight) && srv.failing && 2*t.failing <= len(t.items) {
		excess := srv.failures.share(now, failureReturn) - failureIgnored
		cost += max(0, excess) * failurePenalty.Seconds()
	}

	cost += t.pressure.share(now, returnTime) * pressureCost.Seconds()

	if s.uses(NearDomain) && !srv.near {
		cost += domainCost.Seconds()
	}

	return cost
}
