package routing

import (
	"cmp"
	"slices"
	"time"
)

// due is when something has to be decided for the flight without another event.
func (f *flight) due() time.Time {
	at := f.request.Deadline.Add(deadlineGrace)
	if !f.parked.IsZero() {
		at = earlier(at, f.parked)
	}

	for _, a := range f.attempts {
		if a.ended || a.withdrawn || a.accepted {
			continue
		}

		at = earlier(at, a.sent.Add(acceptTimeout+a.server.distance.trip()))
	}

	return at
}

func earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}

	return a
}

// Next is when Tick is due; the zero time if nothing waits.
func (s *State) Next() time.Time {
	var next time.Time

	for _, f := range s.flights {
		if f.done {
			continue
		}

		if at := f.due(); next.IsZero() || at.Before(next) {
			next = at
		}
	}

	return next
}

// tick decides what has become due, in a fixed order.
func (s *State) tick(now time.Time) []Effect {
	var pending []*flight

	for _, f := range s.flights {
		if !f.done && !now.Before(f.due()) {
			pending = append(pending, f)
		}
	}

	slices.SortFunc(pending, func(a, b *flight) int { return cmp.Compare(a.request.ID, b.request.ID) })

	effects := make([]Effect, 0, len(pending))

	for _, f := range pending {
		effects = append(effects, s.expire(now, f)...)
		s.forget(f)
	}

	return effects
}

func (s *State) expire(now time.Time, f *flight) []Effect {
	if !now.Before(f.request.Deadline.Add(deadlineGrace)) {
		return s.giveUp(now, f, Deadline)
	}

	var effects []Effect

	for _, a := range f.attempts {
		if a.ended || a.withdrawn || a.accepted || now.Before(a.sent.Add(acceptTimeout+a.server.distance.trip())) {
			continue
		}

		effects = append(effects, s.silent(now, a)...)
	}

	if !f.parked.IsZero() && !now.Before(f.parked) {
		f.parked = time.Time{}
		effects = append(effects, s.send(now, f, Retry)...)
	}

	return effects
}

// silent treats an attempt that the daemon beside the server has not acknowledged. It is withdrawn; if it
// turns out not to have been sent whole, the request goes elsewhere.
func (s *State) silent(now time.Time, a *attempt) []Effect {
	a.server.missed(now)
	a.withdrawn = true

	return []Effect{CancelAttempt{ID: a.flight.request.ID, Number: a.number, Why: Silent}}
}
