package routing

import (
	"time"

	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// deliver ends a request with the response of an attempt and cancels its other attempts.
func (s *State) deliver(f *flight, number int) []Effect {
	effects := s.cancelAttempts(f, number, Superseded)
	f.done = true
	s.counts.Delivered++

	return append(effects, Deliver{ID: f.request.ID, Number: number})
}

// giveUp ends a request without a usable response. If a server responded with a failure earlier, the caller gets that
// response. Otherwise the effect GiveUp follows when all attempts have ended.
func (s *State) giveUp(now time.Time, f *flight, reason Reason) []Effect {
	if f.giveUpReason != "" {
		return nil
	}

	if f.fallback >= 0 {
		return s.deliver(f, f.fallback)
	}

	f.giveUpReason = reason

	return append(s.cancelAttempts(f, -1, reason), s.finishGivenUp(now, f)...)
}

// handleClosing gives up all requests. The order is fixed so that equal events have equal effects.
func (s *State) handleClosing(now time.Time) []Effect {
	flights := s.sortedFlights(func(f *flight) bool { return !f.done })
	effects := make([]Effect, 0, len(flights))

	for _, f := range flights {
		effects = append(effects, s.giveUp(now, f, ShuttingDown)...)
		s.removeIfDone(f)
	}

	return effects
}

// finishGivenUp reports the end of a request that was given up, once its last attempt has ended. Only then is it known
// whether the request may have run.
func (s *State) finishGivenUp(now time.Time, f *flight) []Effect {
	if f.pendingAttempts() > 0 {
		return nil
	}

	result := verdict.NotRun
	if f.possibleRuns > 0 || f.responseLost {
		result = verdict.MayHaveRun
	}

	f.done = true
	s.counts.GivenUp++

	return []Effect{GiveUp{
		ID: f.request.ID, Verdict: result, Reason: f.giveUpReason, RetryAfter: s.retryAfter(now, f),
	}}
}

// retryAfter returns the time until a server of the service is expected to have a free slot, with random jitter.
func (s *State) retryAfter(now time.Time, f *flight) time.Duration {
	shortest := time.Duration(0)

	for _, srv := range f.service.servers {
		excess := srv.requestsAhead(now, f.request.Rank()) - srv.slots() + 1
		work := f.service.work.workOrDefault().Seconds() * srv.slowness(now)
		wait := time.Duration(work * float64(max(0, excess)) / float64(srv.slots()) * float64(time.Second))

		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}

	// The jitter is as long as the wait: callers that were refused at the same time return spread over that period.
	base := max(minRetryAfter, shortest)
	if f.giveUpReason == Evacuated {
		base = max(evacuatedRetryAfter, base)
	}

	return base + time.Duration(s.random.Int64N(int64(base)))
}

// cancelAttempts cancels the live attempts of a request except the one with the number to keep; -1 cancels all.
func (s *State) cancelAttempts(f *flight, keep int, why Reason) []Effect {
	var effects []Effect

	for _, a := range f.attempts {
		if !a.ended && !a.cancelled && a.number != keep {
			a.cancelled = true

			effects = append(effects, CancelAttempt{ID: f.request.ID, Number: a.number, Why: why})
		}
	}

	return effects
}

// handleCancelled ends a request whose caller has left and cancels its attempts.
func (s *State) handleCancelled(e Cancelled) []Effect {
	f := s.flights[e.ID]
	if f == nil || f.done {
		return nil
	}

	f.giveUpReason = ""
	effects := s.cancelAttempts(f, -1, CallerLeft)
	f.done = true
	s.removeIfDone(f)

	return effects
}

// removeIfDone removes a request that is done and has no attempt in progress.
func (s *State) removeIfDone(f *flight) {
	if f.done && f.pendingAttempts() == 0 {
		delete(s.flights, f.request.ID)
	}
}
