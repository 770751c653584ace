package routing

import "time"

const (
	// hedgeReserve is the number of repeats that have to be left in the budget for a hedged attempt, so that retries
	// after failures remain possible.
	hedgeReserve = 2
	// minHedgeGain is the shortest time that a hedged attempt has to save.
	minHedgeGain = 60 * time.Millisecond
)

// hedgeSlowAttempts hedges the requests that a server runs and has become too slow for.
func (s *State) hedgeSlowAttempts(now time.Time, srv *server) []Effect {
	var effects []Effect

	for _, a := range srv.attempts {
		if a.running && !a.cancelled && !a.flight.done && a.flight.giveUpReason == "" {
			effects = append(effects, s.hedgeAttempt(now, a)...)
		}
	}

	return effects
}

// hedgeAttempt sends a second attempt if the first one is expected to miss the target of the request. The second one
// has to be expected to respond at least minHedgeGain earlier, and by the target; after the target but by the deadline
// is enough if the first one is expected to miss the deadline, too. A request without a target has its deadline as
// target.
func (s *State) hedgeAttempt(now time.Time, a *attempt) []Effect {
	f := a.flight
	if f.liveAttempts() > 1 || !s.mayRepeat(now, f) ||
		!s.hasRepeatsLeft(now, f.service, hedgeReserve) || !s.mayHedge(now, f.service) {
		return nil
	}

	remaining := a.remainingTime(now)
	target := f.request.Target

	if target.IsZero() {
		target = f.request.Deadline
	}

	if !now.Add(remaining).After(target) {
		return nil
	}

	chosen := s.chooseServer(now, f)
	if chosen.server == nil {
		return nil
	}

	expected := time.Duration(chosen.cost.responseTime * float64(time.Second))
	avoidsMiss := !now.Add(expected).After(target) ||
		now.Add(remaining).After(f.request.Deadline) && !now.Add(expected).After(f.request.Deadline)

	if !avoidsMiss || expected+minHedgeGain > remaining ||
		!f.hedges.allowsWork(now, chosen.cost.runTime) {
		return nil
	}

	s.counts.Hedges++
	f.service.hedgeBudget.addRepeats(now, s.repeats, 1)

	return s.send(now, f, Hedge)
}

// mayHedge reports whether the service's limit on hedged attempts allows one more.
func (s *State) mayHedge(now time.Time, svc *service) bool {
	requests, hedges := svc.hedgeBudget.totals(now, s.repeats)

	return hedges+1 <= svc.hedgeShare*requests
}

// remainingTime returns the time that a running attempt is still expected to take. For an attempt that has run for
// longer than usual, this is at least the excess, because the attempt may be lost. It is never less than a fifth of
// the usual work.
func (a *attempt) remainingTime(now time.Time) time.Duration {
	slowness := a.server.slowness(now)
	workDone := a.workDone + time.Duration(float64(now.Sub(a.workDoneAt))/slowness)
	usualWork := a.flight.estimate.workOrDefault()
	remainingWork := max(usualWork-workDone, workDone-usualWork, usualWork/5)

	return min(time.Duration(float64(remainingWork)*slowness), remainingWork+slowPeriod)
}
