package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/times"
)

// due is when something has to be decided for the flight without another event.
func (s *State) due(f *flight) time.Time {
	at := f.request.Deadline.Add(deadlineGrace)
	if !f.parked.IsZero() {
		at = times.Earlier(at, f.parked)
	}

	for _, a := range f.attempts {
		if a.awaitsAcceptance() {
			at = times.Earlier(at, s.silentAt(a))
		}
	}

	return at
}

// awaitsAcceptance reports whether the daemon beside the server still has to say that it has read the attempt.
// An attempt at the own instance crosses no network.
func (a *attempt) awaitsAcceptance() bool {
	return !a.ended && !a.withdrawn && !a.accepted && !a.silent && a.server.distance != sameInstance
}

// acceptTimeout is the time after which an attempt at a server counts as silent, beyond the round trip.
func (s *State) acceptTimeout(srv *server) time.Duration {
	return max(s.acceptance.timeout(), srv.acceptance.timeout())
}

// silentAt is when an attempt without a sign of life counts as silent. A new connection takes a round trip more.
func (s *State) silentAt(a *attempt) time.Time {
	return a.sent.Add(s.acceptTimeout(a.server) + 2*a.server.distance.trip())
}

// Next is when Tick is due; the zero time if nothing waits.
func (s *State) Next() time.Time {
	var next time.Time

	for _, f := range s.flights {
		if f.done || f.ending != "" {
			continue
		}

		next = times.Next(next, s.due(f))
	}

	return next
}

// tick decides what has become due, in a fixed order.
func (s *State) tick(now time.Time) []Effect {
	pending := s.sorted(func(f *flight) bool { return !f.done && f.ending == "" && !now.Before(s.due(f)) })
	effects := make([]Effect, 0, len(pending))

	for _, f := range pending {
		effects = append(effects, s.expire(now, f)...)
		s.forget(f)
	}

	return effects
}

// sorted lists the requests for which a condition holds, by their identifiers.
func (s *State) sorted(holds func(f *flight) bool) []*flight {
	var all []*flight

	for _, f := range s.flights {
		if holds(f) {
			all = append(all, f)
		}
	}

	slices.SortFunc(all, func(a, b *flight) int { return cmp.Compare(a.request.ID, b.request.ID) })

	return all
}

func (s *State) expire(now time.Time, f *flight) []Effect {
	if !now.Before(f.request.Deadline.Add(deadlineGrace)) {
		return s.giveUp(now, f, DeadlinePassed)
	}

	var effects []Effect

	for _, a := range f.attempts {
		if a.awaitsAcceptance() && !now.Before(s.silentAt(a)) {
			effects = append(effects, s.silent(now, a)...)
		}
	}

	if !f.parked.IsZero() && !now.Before(f.parked) {
		f.parked = time.Time{}
		effects = append(effects, s.send(now, f, Retry)...)
	}

	return effects
}

// silent treats an attempt that the daemon beside the server has not acknowledged. One that must not run twice
// is withdrawn; if it was not committed, the request goes elsewhere. Any other goes elsewhere at once, and the
// first response counts.
func (s *State) silent(now time.Time, a *attempt) []Effect {
	a.server.missed(now)
	a.silent = true
	f := a.flight

	if !f.request.Idempotent() {
		a.withdrawn = true

		return []Effect{CancelAttempt{ID: f.request.ID, Number: a.number, Why: Silent}}
	}

	if f.live() > 1 || !s.mayRepeat(now, f) {
		return nil
	}

	return s.send(now, f, Silent)
}
