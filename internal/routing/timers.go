package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/times"
)

// nextTimer returns when the next timer of a request expires: its deadline, a missing acknowledgement or a pause.
func (s *State) nextTimer(f *flight) time.Time {
	next := f.request.Deadline.Add(deadlineGrace)
	if !f.pausedUntil.IsZero() {
		next = times.Earlier(next, f.pausedUntil)
	}

	for _, a := range f.attempts {
		if a.awaitsAcceptance() {
			next = times.Earlier(next, s.silentAt(a))
		}
	}

	return next
}

// awaitsAcceptance reports whether the daemon beside the server still has to acknowledge the attempt. An attempt at
// the daemon's own instance needs no acknowledgement, because it crosses no network.
func (a *attempt) awaitsAcceptance() bool {
	return !a.ended && !a.cancelled && !a.accepted && !a.silent && a.server.distance != sameInstance
}

// acceptTimeout returns the time, in addition to the round trip, after which an attempt at a server counts as silent.
func (s *State) acceptTimeout(srv *server) time.Duration {
	return max(s.acceptLatency.timeout(), srv.acceptLatency.timeout())
}

// silentAt returns when an attempt counts as silent if it is not acknowledged. It allows for two round trips,
// because a new connection takes one of its own.
func (s *State) silentAt(a *attempt) time.Time {
	return a.sent.Add(s.acceptTimeout(a.server) + 2*a.server.distance.roundTrip())
}

// Next returns when the next Tick is due; the zero time if no timer is set.
func (s *State) Next() time.Time {
	next := s.hedgeTimers.next()

	for _, f := range s.flights {
		if f.done || f.giveUpReason != "" {
			continue
		}

		next = times.Next(next, s.nextTimer(f))
	}

	return next
}

// handleTick handles the timers that have expired. The order is fixed so that equal events have equal effects.
func (s *State) handleTick(now time.Time) []Effect {
	pending := s.sortedFlights(func(f *flight) bool {
		return !f.done && f.giveUpReason == "" && !now.Before(s.nextTimer(f))
	})
	effects := make([]Effect, 0, len(pending))

	for _, f := range pending {
		effects = append(effects, s.handleTimers(now, f)...)
		s.removeIfDone(f)
	}

	return append(effects, s.handleHedgeTimers(now)...)
}

// sortedFlights lists the requests that meet a condition, sorted by ID.
func (s *State) sortedFlights(condition func(f *flight) bool) []*flight {
	var all []*flight

	for _, f := range s.flights {
		if condition(f) {
			all = append(all, f)
		}
	}

	slices.SortFunc(all, func(a, b *flight) int { return cmp.Compare(a.request.ID, b.request.ID) })

	return all
}

// handleTimers handles the expired timers of a request: its deadline, missing acknowledgements and the end of a pause.
func (s *State) handleTimers(now time.Time, f *flight) []Effect {
	if !now.Before(f.request.Deadline.Add(deadlineGrace)) {
		return s.giveUp(now, f, DeadlinePassed)
	}

	var effects []Effect

	for _, a := range f.attempts {
		if a.awaitsAcceptance() && !now.Before(s.silentAt(a)) {
			effects = append(effects, s.handleSilent(now, a)...)
		}
	}

	if !f.pausedUntil.IsZero() && !now.Before(f.pausedUntil) {
		f.pausedUntil = time.Time{}
		effects = append(effects, s.send(now, f, Retry)...)
	}

	return effects
}

// handleSilent handles an attempt that the daemon beside the server has not acknowledged in time. If the request must
// not run twice, the attempt is cancelled, and the request is sent elsewhere if the attempt ends as not run. An
// idempotent request is sent to another server at once, and the first response counts.
func (s *State) handleSilent(now time.Time, a *attempt) []Effect {
	a.server.recordMiss(now)
	a.silent = true
	f := a.flight

	if !f.request.Idempotent() {
		a.cancelled = true

		return []Effect{CancelAttempt{ID: f.request.ID, Number: a.number, Why: Silent}}
	}

	if f.liveAttempts() > 1 || !s.mayRepeat(now, f) {
		return nil
	}

	return s.send(now, f, Silent)
}
