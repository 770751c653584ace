package routing

import (
	"slices"
	"time"
)

// send starts an attempt at a server of about the lowest cost. If none can respond by the deadline, the request pauses
// or is given up. It is also given up if it has used up its attempts or the service its repeats.
func (s *State) send(now time.Time, f *flight, why Reason) []Effect {
	if f.serversReached > 0 && (f.serversReached > f.runLimit() || !s.hasRepeatsLeft(now, f.service, 1)) {
		if f.liveAttempts() > 0 {
			return nil
		}

		return s.giveUp(now, f, AttemptsExhausted)
	}

	chosen := s.chooseServer(now, f)
	remaining := f.request.Deadline.Sub(now)

	if chosen.server == nil || chosen.cost.responseTime > remaining.Seconds() {
		return s.pauseOrGiveUp(now, f, chosen)
	}

	return s.start(now, f, chosen, why)
}

// start starts an attempt at a chosen server.
func (s *State) start(now time.Time, f *flight, chosen choice, why Reason) []Effect {
	a := &attempt{
		flight: f, number: len(f.attempts), server: chosen.server, sent: now, workDoneAt: now, late: chosen.late,
		hedged: why == Hedge, expectedRun: toDuration(chosen.cost.runTime),
	}
	if a.hedged {
		f.hedges.track(a)
	}

	if f.serversReached > 0 || f.liveAttempts() > 0 {
		s.charge(now, a)
	}

	f.attempts = append(f.attempts, a)
	f.pausedUntil = time.Time{}
	chosen.server.attempts = append(chosen.server.attempts, a)
	chosen.server.unreportedChange++

	if chosen.server.distance == otherRegion {
		f.service.spillBudget.spend(now, f.expectedBytes())
	}

	s.counts.Attempts++

	return []Effect{Attempt{
		Request: f.request, Number: a.number, Target: chosen.server.member,
		Wait: a.slotWait(now, chosen), Slowest: s.slownessLimit(now, f, chosen),
		Why: why, Basis: s.choiceBasis(now, f, chosen),
	}}
}

// slotWait returns how long an attempt may wait for a slot and still respond in time. A late attempt does not wait, nor
// does one that was hedged after a delay, because it must not add to the load of a full server.
func (a *attempt) slotWait(now time.Time, chosen choice) time.Duration {
	if a.late || chosen.hedgeLimit > 0 {
		return 0
	}

	due := a.flight.responseDue()

	wait := min(max(waitRoundTime/time.Duration(max(1, chosen.candidates)), minWait), maxWait)
	if chosen.server.distance > sameDomain {
		// A refusal there costs another attempt, whose traffic is billed and takes time on the way.
		wait = maxWait
	}

	return max(0, min(wait, due.Sub(now)-toDuration(chosen.cost.runTime)))
}

// choiceBasis returns the figures behind a choice. It is called after the attempt was added to the server's
// requests, so it subtracts the attempt again.
func (s *State) choiceBasis(now time.Time, f *flight, chosen choice) Basis {
	srv := chosen.server
	b := Basis{
		Expected: toDuration(chosen.cost.responseTime), Next: toDuration(chosen.nextCost),
		Ahead: srv.requestsAhead(now, f.request.Rank()) - 1, Slots: srv.slots(),
		Slowness: srv.slowness(now), Failing: srv.report.Failing, Age: -1, Candidates: chosen.candidates,
		Budget: s.repeatsLeft(now, f.service),
	}

	if !srv.reportedAt.IsZero() {
		b.Age = now.Sub(srv.reportedAt)
	}

	return b
}

func toDuration(seconds float64) time.Duration { return time.Duration(seconds * float64(time.Second)) }

const (
	// minSlownessLimit is the lowest limit on slowness that an attempt may carry: a slowness up to it is never a
	// reason to refuse the attempt.
	minSlownessLimit = 1.6
	// refusalsBeforeAnyServer is the number of servers that have to refuse a request before it accepts any server that
	// can respond in time, even if another one may be better.
	refusalsBeforeAnyServer = 2
	// lateSlownessMargin is the factor by which a server may be slower than known and still run a late request.
	lateSlownessMargin = 1.25
	// minWork keeps the limit finite for routes with hardly any work.
	minWork = time.Millisecond
)

// slownessLimit returns the slowness above which the server's daemon refuses the attempt. Above it, the next best
// server is the better choice, or the response would come too late and the attempt would only occupy a slot. A late
// request may use a slot only if the server is about as fast as it was when it was chosen.
func (s *State) slownessLimit(now time.Time, f *flight, chosen choice) float64 {
	work := max(minWork, f.estimate.workOrDefault()).Seconds()
	limit := f.responseDue().Sub(now).Seconds() / work

	switch {
	case chosen.hedgeLimit > 0:
		limit = chosen.hedgeLimit / work
	case chosen.late:
		limit = min(f.request.Deadline.Sub(now).Seconds()/work, lateSlownessMargin*chosen.server.slowness(now))
	case chosen.hasNext && len(f.refusedAt) < refusalsBeforeAnyServer:
		limit = min(limit, chosen.nextCost/work)
	}

	return max(minSlownessLimit, limit)
}

// pauseLimit returns the number of pauses after which the request is given up.
func (f *flight) pauseLimit() int {
	if f.request.Nested() {
		return maxNestedPauses
	}

	return maxPauses
}

// pauseOrGiveUp schedules the next choice of a server for a request that no server takes, or gives the request up. It
// gives up at once if the service has no servers in an allowed region or only evacuated ones, the request is late, or no
// server can respond by the deadline.
func (s *State) pauseOrGiveUp(now time.Time, f *flight, chosen choice) []Effect {
	if f.liveAttempts() > 0 {
		return nil
	}

	f.pauses++

	switch {
	case f.fallback >= 0 && f.pauses > 1:
		return s.giveUp(now, f, AttemptsExhausted)
	case !slices.ContainsFunc(f.service.servers, f.allows):
		return s.giveUp(now, f, NoServers)
	case s.onlyEvacuated(f):
		return s.giveUp(now, f, Evacuated)
	case chosen.server != nil, chosen.late, f.pauses > f.pauseLimit():
		return s.giveUp(now, f, Overloaded)
	}

	f.pausedUntil = now.Add(retryPause)

	return nil
}
