package routing

import (
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// waitRoundTime is the time in which a waiting request is offered to all candidates one after the other. The
	// load of servers changes faster than a request runs, so the more candidates there are, the sooner another one
	// has a free slot and the shorter the request waits at each.
	waitRoundTime = 600 * time.Millisecond
	// minWait and maxWait bound the time that an attempt waits for a slot before a server is chosen again.
	minWait = 30 * time.Millisecond
	maxWait = 120 * time.Millisecond
	// refusalBackoff is the time for which a request is not sent again to a server that refused it.
	refusalBackoff = 60 * time.Millisecond
	// retryPause is the pause before a request that no server takes is tried again.
	retryPause = 20 * time.Millisecond
	// maxPauses is the number of pauses after which the request is given up. A nested call is tried for longer,
	// because giving it up would waste the work of its parent.
	maxPauses       = 5
	maxNestedPauses = 50
	// deadlineGrace is the time after the deadline at which a request is given up. The server itself answers at the
	// deadline, and its response needs time to arrive.
	deadlineGrace = 30 * time.Millisecond
	// minRetryAfter is the shortest time after which a refused caller is told to retry, so that it does not return
	// before the load can have changed.
	minRetryAfter = 100 * time.Millisecond
)

// flight is an in-flight request. It lasts until the caller has a result and all attempts have ended.
type flight struct {
	request  request.Request
	service  *service
	estimate *estimate
	// hedges limits the hedged attempts; nil if no limits were set when the request arrived.
	hedges   *hedgeBudget
	arrived  time.Time
	attempts []*attempt
	// possibleRuns is the number of servers that run the request or may have run it.
	possibleRuns int
	// serversReached is the number of backend servers that the request has reached, including those that refused to
	// run it. Refusals by the daemon beside a server don't count.
	serversReached int
	// refusedAt is when a server last refused the request, could not be reached, or broke off before running it.
	refusedAt map[*server]time.Time
	// pausedUntil is when a server is chosen again after none took the request; zero if the request does not pause.
	// pauses counts the pauses so far.
	pausedUntil time.Time
	pauses      int
	// fallback is the number of an attempt with a failure response, which is delivered if no better response
	// follows; -1 if there is none.
	fallback int
	// responseLost is set if an attempt may have run and brought no usable response.
	responseLost bool
	done         bool
	// giveUpReason is set once the request is given up; GiveUp follows when its attempts have ended.
	giveUpReason Reason
}

// attempt is one try to have a server run a request.
type attempt struct {
	flight *flight
	number int
	server *server
	sent   time.Time
	// accepted is set once the daemon beside the server has acknowledged the attempt, running once the server runs it.
	accepted bool
	running  bool
	// runningSince is when the attempt was reported as running.
	runningSince time.Time
	// hedged is set if the attempt was sent beside a running one that was too slow. expectedRun is the run time that
	// was expected when it was sent.
	hedged      bool
	expectedRun time.Duration
	// workDone is the work that a running attempt has completed by workDoneAt, as time at a server of usual speed.
	workDone   time.Duration
	workDoneAt time.Time
	ended      bool
	// cancelled is set once CancelAttempt was returned for the attempt.
	cancelled bool
	// late is set if no response was expected in time when the attempt was sent.
	late bool
	// dropped is set if the connection to the server was probably dropped before the request.
	dropped bool
	// silent is set once the daemon beside the server has failed to acknowledge the attempt in time.
	silent bool
	// charged is set once the attempt was counted as a repeat in the budgets.
	charged bool
}

// updateWorkDone adds the work done since the last call, at the slowness that the server had then.
func (a *attempt) updateWorkDone(now time.Time, srv *server) {
	if a.running {
		a.workDone += time.Duration(float64(now.Sub(a.workDoneAt)) / srv.slowness(a.workDoneAt))
	}

	a.workDoneAt = now
}

// countAttempts returns the number of attempts that meet a condition.
func (f *flight) countAttempts(condition func(a *attempt) bool) int {
	count := 0

	for _, a := range f.attempts {
		if condition(a) {
			count++
		}
	}

	return count
}

// pendingAttempts returns the number of attempts that have not ended, cancelled ones included.
func (f *flight) pendingAttempts() int {
	return f.countAttempts(func(a *attempt) bool { return !a.ended })
}

// liveAttempts returns the number of attempts that have neither ended nor been cancelled.
func (f *flight) liveAttempts() int {
	return f.countAttempts(func(a *attempt) bool { return !a.ended && !a.cancelled })
}

// potentialRuns returns the number of servers that run the request, may have run it, or may still start it.
func (f *flight) potentialRuns() int {
	return f.possibleRuns + f.countAttempts(func(a *attempt) bool { return !a.ended && !a.running })
}

// runLimit returns the largest number of servers that may run the request.
func (f *flight) runLimit() int {
	if f.request.Attempts > 0 {
		return f.request.Attempts
	}

	return f.service.maxAttempts
}

// excludes reports whether the request must not be sent to the server now: it refused the request recently, or an
// attempt there runs, has run or is in progress. An attempt on a dropped connection does not exclude its server.
func (f *flight) excludes(now time.Time, srv *server) bool {
	if at, refused := f.refusedAt[srv]; refused && now.Sub(at) < refusalBackoff {
		return true
	}

	return slices.ContainsFunc(f.attempts, func(a *attempt) bool {
		return a.server == srv && (a.running && !a.dropped || !a.ended)
	})
}

// handleArrived adds a request and sends its first attempt.
func (s *State) handleArrived(now time.Time, e Arrived) []Effect {
	svc := s.service(e.Request.Service)
	f := &flight{
		request: e.Request, service: svc, estimate: s.routeEstimate(e.Request.Route),
		hedges:  s.hedgeBudgetOf(e.Request.Service, e.Request.Route),
		arrived: now, refusedAt: make(map[*server]time.Time), fallback: -1,
	}
	s.flights[e.Request.ID] = f
	s.counts.Requests++
	svc.hedgeBudget.addRequests(now, s.repeats, 1)
	s.countRequest(now, svc)

	if f.hedges != nil {
		f.hedges.counts.addRequests(now, hedgeWindow, 1)
	}

	effects := s.send(now, f, First)
	s.removeIfDone(f)

	return effects
}

// handleAccepted records the acknowledgement of an attempt, and that the server runs it.
func (s *State) handleAccepted(now time.Time, e Accepted) {
	a := s.findAttempt(e.ID, e.Number)
	if a == nil || a.ended {
		return
	}

	a.server.recordAnswer()

	if !a.accepted && a.server.distance != sameInstance {
		s.acceptLatency.addSample(now.Sub(a.sent))
		a.server.acceptLatency.addSample(now.Sub(a.sent))
	}

	a.accepted = true

	if e.Running && !a.running {
		s.markRunning(now, a)
		s.armHedge(now, a)
	}
}

// markRunning records that a server has started an attempt. If the request has reached a server before, the attempt is
// charged as a repeat.
func (s *State) markRunning(now time.Time, a *attempt) {
	a.running, a.workDoneAt, a.runningSince = true, now, now
	a.flight.possibleRuns++
	a.flight.serversReached++

	if a.flight.serversReached > 1 {
		s.charge(now, a)
	}
}

// findAttempt returns an attempt, or nil if it is unknown.
func (s *State) findAttempt(id request.ID, number int) *attempt {
	f := s.flights[id]
	if f == nil || number >= len(f.attempts) {
		return nil
	}

	return f.attempts[number]
}

// handleEnded records the end of an attempt and decides what happens to its request.
func (s *State) handleEnded(now time.Time, e Ended) []Effect {
	a := s.findAttempt(e.ID, e.Number)
	if a == nil || a.ended {
		return nil
	}

	f := a.flight
	s.recordEnd(now, a, e)

	if e.Outcome == Answered && !e.Failure {
		if a.running {
			f.estimate.addSample(a.workDone, e.Bytes)
			f.service.work.addSample(a.workDone, e.Bytes)
		}
	}

	if f.done {
		s.removeIfDone(f)

		return nil
	}

	var effects []Effect
	if f.giveUpReason != "" {
		effects = s.finishGivenUp(now, f)
	} else {
		effects = s.nextStep(now, a, e)
	}

	s.removeIfDone(f)

	return effects
}

// recordEnd updates the attempt, its request and its server after the attempt has ended.
func (s *State) recordEnd(now time.Time, a *attempt, e Ended) {
	srv := a.server
	a.updateWorkDone(now, srv)
	a.ended, a.dropped = true, e.Dropped
	srv.attempts = slices.DeleteFunc(srv.attempts, func(other *attempt) bool { return other == a })

	// The last report may count an accepted attempt, so its end may make the change negative.
	if srv.unreportedChange > 0 || a.accepted {
		srv.unreportedChange--
	}

	ran := e.Verdict != verdict.NotRun
	s.recordRunTime(now, a, ran)

	if a.hedged && (a.flight.done || e.Outcome != Answered || e.Failure) {
		s.counts.HedgesLost++
	}

	if ran && !a.running && (e.Outcome == Answered || e.Outcome == Broken) {
		s.markRunning(now, a)
		a.runningSince = a.sent
	}

	if !ran {
		if a.running {
			// The server refused the request after it got a slot. It has not run and made no calls.
			a.flight.possibleRuns--
		}

		s.refund(now, a)

		a.running = false
	}

	if ran && (e.Outcome == Broken || e.Outcome == Aborted) {
		a.flight.responseLost = true
	}

	switch e.Outcome {
	case Unreachable:
		srv.recordMiss(now)
	case Answered, Refused:
		srv.recordAnswer()
	case Broken, Aborted:
	}
}

// nextStep delivers, retries or gives up a request after one of its attempts has ended.
func (s *State) nextStep(now time.Time, a *attempt, e Ended) []Effect {
	f := a.flight

	if e.isEvacuation() {
		return s.handleEvacuated(now, a)
	}

	switch e.Outcome {
	case Answered:
		if e.Failure && s.mayRepeat(now, f) {
			f.fallback = a.number

			return s.resend(now, f, Retry)
		}

		if !e.Failure {
			s.recordAnswered(now, a)
		}

		return s.deliver(f, a.number)
	case Refused, Unreachable:
		f.refusedAt[a.server] = now

		if a.late && f.liveAttempts() == 0 {
			return s.giveUp(now, f, Overloaded)
		}

		return s.resend(now, f, Retry)
	case Broken:
		return s.afterBroken(now, a, e.Verdict)
	default:
		// Aborted: the attempt was cancelled because it was silent.
		if f.liveAttempts() > 0 {
			return nil
		}

		if e.Verdict == verdict.NotRun || s.mayRepeat(now, f) {
			return s.resend(now, f, Moved)
		}

		return s.giveUp(now, f, ConnectionLost)
	}
}

// afterBroken retries or gives up a request after an attempt that brought no usable response.
func (s *State) afterBroken(now time.Time, a *attempt, result verdict.Verdict) []Effect {
	f := a.flight

	if result.MayRepeat(f.request.Idempotent()) && (result == verdict.NotRun || s.mayRepeat(now, f)) {
		if !a.dropped {
			f.refusedAt[a.server] = now
		}

		return s.resend(now, f, Retry)
	}

	switch {
	case f.liveAttempts() > 0:
		return nil
	case !now.Before(f.request.Deadline):
		return s.giveUp(now, f, DeadlinePassed)
	default:
		return s.giveUp(now, f, ConnectionLost)
	}
}

// resend starts another attempt unless one is still live or the deadline has passed.
func (s *State) resend(now time.Time, f *flight, why Reason) []Effect {
	if f.liveAttempts() > 0 {
		return nil
	}

	if now.After(f.request.Deadline) {
		return s.giveUp(now, f, DeadlinePassed)
	}

	return s.send(now, f, why)
}

// mayRepeat reports whether one more server may run the request.
func (s *State) mayRepeat(now time.Time, f *flight) bool {
	return f.request.Idempotent() && f.potentialRuns() < f.runLimit() && s.hasRepeatsLeft(now, f.service, 1)
}
