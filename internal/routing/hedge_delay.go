package routing

import (
	"container/heap"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

const (
	// clearGain is the factor by which the remaining time of an attempt has to exceed the cost of a hedged one. With a
	// smaller factor, requests that are about to end use up the limits before those that need them.
	clearGain = 1.5
	// minClearGain is the shortest time that an attempt hedged after a delay has to save. Below it, the round trips of
	// the cancellation cost as much as the attempt saves.
	minClearGain = 5 * time.Millisecond
	// minHedgePause is the shortest time between two checks of one attempt. The pause doubles with each check.
	minHedgePause = 10 * time.Millisecond
	// hedgeReserveShare is the share of the allowed repeats that attempts hedged after a delay leave for retries.
	hedgeReserveShare = 0.25
)

// armHedge sets the timer after which a running attempt may be hedged. There is none if the request must not run twice,
// if it has to run alone, or if the route has too few recent response times.
func (s *State) armHedge(now time.Time, a *attempt) {
	f := a.flight
	if f.hedges == nil || a.hedged || !f.request.Idempotent() || f.request.Alone {
		return
	}

	times := s.responseTimes[f.request.Route]
	if times == nil {
		return
	}

	if delay := times.delayAt(now, f.hedges.limits.Quantile); delay > 0 {
		heap.Push(&s.hedgeTimers, hedgeTimer{
			at: a.runningSince.Add(delay), attempt: a, pause: max(minHedgePause, delay/2),
		})
	}
}

// handleHedgeTimers handles the expired timers of attempts, in the order of their times.
func (s *State) handleHedgeTimers(now time.Time) []Effect {
	var effects []Effect

	for {
		timer, due := s.hedgeTimers.takeExpired(now)
		if !due {
			return effects
		}

		effects = append(effects, s.hedgeAfterDelay(now, timer)...)
	}
}

// hedgeAfterDelay hedges an attempt that has run for longer than the delay if another server is expected to respond
// clearly earlier. The attempt is checked again later.
func (s *State) hedgeAfterDelay(now time.Time, timer hedgeTimer) []Effect {
	a := timer.attempt
	f := a.flight

	if f.possibleRuns >= f.runLimit() {
		return nil
	}

	var effects []Effect

	wait := timer.pause

	if f.liveAttempts() == 1 && f.potentialRuns() < f.runLimit() && s.allowsDelayedHedge(now, f) {
		chosen, gainIn := s.chooseHedgeServer(now, a)
		if chosen.server != nil && f.hedges.allowsWork(now, chosen.cost.runTime) {
			s.counts.Hedges++
			s.counts.DelayedHedges++
			f.hedges.counts.addRepeats(now, hedgeWindow, 1)

			effects = s.start(now, f, chosen, Hedge)
		} else if gainIn > 0 {
			wait = min(wait, max(minHedgePause, gainIn))
		}
	}

	// The timer stays after an attempt was sent, because its server may refuse it.
	timer.at, timer.pause = now.Add(wait), 2*timer.pause
	if timer.at.Before(f.request.Deadline) {
		heap.Push(&s.hedgeTimers, timer)
	}

	return effects
}

// allowsDelayedHedge reports whether the limits of the service or rule and the budget of repeats allow one more attempt
// hedged after a delay. A part of the repeats is left for retries after failures.
func (s *State) allowsDelayedHedge(now time.Time, f *flight) bool {
	if !f.hedges.limits.LimitsDelayed() || !f.hedges.allowsOne(now) {
		return false
	}

	requests, _ := f.service.repeatBudget.totals(now, s.repeats)
	allowed := directShare * (s.repeats.Share*requests + s.slackShare(now))

	return s.hasRepeatsLeft(now, f.service, 1+max(hedgeReserve, hedgeReserveShare*allowed))
}

// expectedRemaining returns the time that an attempt which has run for longer than the delay is expected to take. Few
// requests run that long, and most of these run for much longer, so it is expected to run as long again.
func (a *attempt) expectedRemaining(now time.Time) time.Duration {
	return max(a.runTime(now), a.remainingTime(now))
}

// chooseHedgeServer returns a server that is expected to respond clearly earlier than an attempt, or a choice without a
// server. In the latter case, the second result is the time after which the cheapest server would be chosen if the
// attempt still runs then; zero if no server has room. The cost of a server contains that of moving the whole response,
// so another failure domain or region is chosen only if the response saves that time, too; another region only if no
// server of the own one qualifies.
func (s *State) chooseHedgeServer(now time.Time, a *attempt) (choice, time.Duration) {
	remaining := a.expectedRemaining(now)
	limit := min(remaining.Seconds()/clearGain, (remaining - minClearGain).Seconds())
	left := a.flight.request.Deadline.Sub(now).Seconds()

	qualified := slices.DeleteFunc(s.candidates(now, a.flight), func(c candidate) bool {
		return !c.server.hasRoomForHedge(now) || c.cost.responseTime > left
	})
	if len(qualified) == 0 {
		return choice{}, 0
	}

	lowest := toDuration(cheapest(qualified).cost.total)
	needed := max(toDuration(lowest.Seconds()*clearGain), lowest+minClearGain)

	qualified = slices.DeleteFunc(qualified, func(c candidate) bool { return c.cost.total > limit })

	qualified = regionFirst(qualified)
	chosen := s.pickCheapest(qualified, qualified)
	chosen.hedgeLimit = limit

	return chosen, needed - a.runTime(now)
}

// hasRoomForHedge reports whether a report that was sent or repeated recently says that the server is open and neither
// cold nor nearly full.
func (srv *server) hasRoomForHedge(now time.Time) bool {
	// The report of the server beside this daemon is always the present one: each change is reported at once.
	recent := srv.distance == sameInstance || now.Sub(srv.confirmedAt) <= staleAfter
	if srv.reportedAt.IsZero() || !recent || !srv.report.Open || srv.member.Status == instance.Accused {
		return false
	}

	busy := max(0, srv.report.Ahead(lowestRank)+srv.unreportedChange) + 1

	return srv.report.ColdFor <= max(0, now.Sub(srv.reportedAt)) &&
		float64(busy) <= max(1, nearFullShare*float64(srv.slots()))
}

// recordAnswered counts the answer of an attempt, and its response time.
func (s *State) recordAnswered(now time.Time, a *attempt) {
	if a.hedged {
		s.counts.HedgesWon++
	}

	s.recordResponseTime(now, a)
}

// recordResponseTime records how long a request took from the start of its first attempt that was still in progress
// when its response came. Hedging does not change how many responses take longer than the delay: a hedged one always
// does.
func (s *State) recordResponseTime(now time.Time, answered *attempt) {
	f := answered.flight
	if f.hedges == nil || !f.request.Idempotent() {
		return
	}

	times := s.responseTimes[f.request.Route]
	if times == nil {
		if len(s.responseTimes) >= maxTimedRoutes {
			return
		}

		times = newResponseTimes(now)
		s.responseTimes[f.request.Route] = times
	}

	since := answered.runningSince

	for _, a := range f.attempts {
		if a.running && !a.ended && a.runningSince.Before(since) {
			since = a.runningSince
		}
	}

	times.add(now, now.Sub(since))
}
