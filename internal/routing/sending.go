package routing

import "time"

// send starts an attempt at the best server, parks the request or gives it up.
func (s *State) send(now time.Time, f *flight, why Reason) []Effect {
	if f.reached > 0 && (f.reached > f.limit() || !s.affords(now, f.service, 1)) {
		if f.live() > 0 {
			return nil
		}

		return s.giveUp(now, f, AttemptsExhausted)
	}

	chosen := s.choose(now, f)
	left := f.request.Deadline.Sub(now)

	if chosen.server == nil || chosen.cost.time > left.Seconds() {
		return s.park(now, f, chosen)
	}

	a := &attempt{
		flight: f, number: len(f.attempts), server: chosen.server, sent: now, advanced: now, late: chosen.late,
	}
	if f.reached > 0 || f.live() > 0 {
		s.charge(now, a)
	}

	f.attempts = append(f.attempts, a)
	f.parked = time.Time{}
	chosen.server.live = append(chosen.server.live, a)
	chosen.server.unreported++

	if chosen.server.distance == otherRegion {
		f.service.spill.use(now, f.bytes())
	}

	s.counts.Attempts++

	return []Effect{Attempt{
		Request: f.request, Number: a.number, Target: chosen.server.member,
		Wait: a.longestWait(now, chosen), Slowest: s.slowest(now, f, chosen),
		Why: why, Basis: s.basis(now, f, chosen),
	}}
}

// longestWait is how long an attempt may wait for a slot: while it can still respond in time.
func (a *attempt) longestWait(now time.Time, chosen choice) time.Duration {
	if a.late {
		return 0
	}

	until := a.flight.until()

	wait := min(max(roundTime/time.Duration(max(1, chosen.candidates)), waitMin), waitMax)

	return max(0, min(wait, until.Sub(now)-seconds(chosen.cost.run)))
}

func (s *State) basis(now time.Time, f *flight, chosen choice) Basis {
	srv := chosen.server
	b := Basis{
		Expected: seconds(chosen.cost.time), Next: seconds(chosen.next), Ahead: srv.ahead(now, f.request.Rank()) - 1, Slots: srv.slots(),
		Slowness: srv.slowness(now), Failing: srv.report.Failing, Age: -1, Candidates: chosen.candidates,
		Budget: s.repeatsLeft(now, f.service),
	}

	if !srv.heard.IsZero() {
		b.Age = now.Sub(srv.heard)
	}

	return b
}

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

const (
	// slowestMin is the slowness that is never a reason to refuse.
	slowestMin = 1.6
	// slowestRefusals is the number of refusals after which a request takes any server that can respond in time.
	slowestRefusals = 2
	// lateMargin is how much slower than believed a server may be for a request that is late.
	lateMargin = 1.25
	// leastWork keeps the bound finite for routes that need hardly any time.
	leastWork = time.Millisecond
)

// slowest is the slowness above which a server is to refuse the request: the next best one is the better choice then, or
// the response would come too late and only keep a slot from others. A request that is late anyway takes the slot of a
// server only that is about as quick as the choice rests on.
func (s *State) slowest(now time.Time, f *flight, chosen choice) float64 {
	work := max(leastWork, f.estimate.workOrDefault()).Seconds()
	bound := f.until().Sub(now).Seconds() / work

	switch {
	case chosen.late:
		bound = min(f.request.Deadline.Sub(now).Seconds()/work, lateMargin*chosen.server.slowness(now))
	case chosen.others && len(f.refusals) < slowestRefusals:
		bound = min(bound, chosen.next/work)
	}

	return max(slowestMin, bound)
}

func (f *flight) parkLimit() int {
	if f.request.Nested() {
		return nestedParkLimit
	}

	return parkLimit
}

// park keeps a request that no server can take for a moment, or gives it up.
func (s *State) park(now time.Time, f *flight, chosen choice) []Effect {
	if f.live() > 0 {
		return nil
	}

	f.parks++

	switch {
	case f.fallback >= 0 && f.parks > 1:
		return s.giveUp(now, f, AttemptsExhausted)
	case len(f.service.servers) == 0:
		return s.giveUp(now, f, NoServers)
	case chosen.server != nil, chosen.late, f.parks > f.parkLimit():
		return s.giveUp(now, f, Overloaded)
	}

	f.parked = now.Add(parkPeriod)

	return nil
}
