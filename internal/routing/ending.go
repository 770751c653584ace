package routing

import (
	"time"

	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// deliver ends a request with the response of an attempt.
func (s *State) deliver(f *flight, number int) []Effect {
	effects := s.withdraw(f, number, Superseded)
	f.done = true
	s.counts.Delivered++

	return append(effects, Deliver{ID: f.request.ID, Number: number})
}

// giveUp ends a request without a response, or with one that a server gave for its own failure.
func (s *State) giveUp(now time.Time, f *flight, reason Reason) []Effect {
	if f.ending != "" {
		return nil
	}

	if f.fallback >= 0 {
		return s.deliver(f, f.fallback)
	}

	f.ending = reason

	return append(s.withdraw(f, -1, reason), s.conclude(now, f)...)
}

// closing gives all requests up, in a fixed order.
func (s *State) closing(now time.Time) []Effect {
	flights := s.sorted(func(f *flight) bool { return !f.done })
	effects := make([]Effect, 0, len(flights))

	for _, f := range flights {
		effects = append(effects, s.giveUp(now, f, ShuttingDown)...)
		s.forget(f)
	}

	return effects
}

// conclude ends a request that is given up when the last of its attempts has ended: only then it is known
// whether it may have run.
func (s *State) conclude(now time.Time, f *flight) []Effect {
	if f.pending() > 0 {
		return nil
	}

	judged := verdict.NotRun
	if f.runs > 0 || f.lost {
		judged = verdict.MayHaveRun
	}

	f.done = true
	s.counts.GivenUp++

	return []Effect{GiveUp{
		ID: f.request.ID, Verdict: judged, Reason: f.ending, RetryAfter: s.retryAfter(now, f),
	}}
}

// retryAfter is when a server of the service is expected to have room.
func (s *State) retryAfter(now time.Time, f *flight) time.Duration {
	shortest := time.Duration(0)

	for _, srv := range f.service.servers {
		excess := srv.ahead(now, f.request.Rank()) - srv.slots() + 1
		work := f.service.work.workOrDefault().Seconds() * srv.slowness(now)
		wait := time.Duration(work * float64(max(0, excess)) / float64(srv.slots()) * float64(time.Second))

		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}

	// Callers that were refused together come back spread over as long again.
	base := max(minRetryAfter, shortest)

	return base + time.Duration(s.random.Int64N(int64(base)))
}

// withdraw cancels the live attempts of a request but one.
func (s *State) withdraw(f *flight, keep int, why Reason) []Effect {
	var effects []Effect

	for _, a := range f.attempts {
		if !a.ended && !a.withdrawn && a.number != keep {
			a.withdrawn = true

			effects = append(effects, CancelAttempt{ID: f.request.ID, Number: a.number, Why: why})
		}
	}

	return effects
}

func (s *State) cancelled(e Cancelled) []Effect {
	f := s.flights[e.ID]
	if f == nil || f.done {
		return nil
	}

	f.ending = ""
	effects := s.withdraw(f, -1, CallerLeft)
	f.done = true
	s.forget(f)

	return effects
}

// forget drops a request that is done and has no attempt in progress.
func (s *State) forget(f *flight) {
	if f.done && f.pending() == 0 {
		delete(s.flights, f.request.ID)
	}
}
