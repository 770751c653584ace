// Package admission decides at the daemon beside a backend server which attempts run, wait or are
// refused. It does no I/O and reads no clock.
//
// A daemon has one State. Each Arrived is followed by Start or Refuse unless Cancelled comes first, and
// each Start by Done, also if the attempt was cancelled or the server crashed. A repeated Arrived for an
// attempt that waits or runs has no effect: refusing it as not run would be untrue.
package admission

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

// State is the admission of one backend server. It is not safe for concurrent use.
type State struct {
	slots      int
	queueLimit int
	closed     Reason
	slowness   float64
	running    map[Attempt]*run
	queue      queue
	// alone is the attempt that waits for the server to become idle, if any.
	alone *waiting
	// exclusive is set while an attempt that asked to be alone runs.
	exclusive bool
	counts    Counts
}

type run struct {
	aborted bool
	alone   bool
}

// New returns the admission of a server of which nothing is known.
func New() *State {
	return &State{slots: 1, closed: ServerUnknown, running: make(map[Attempt]*run)}
}

// Apply handles one event.
func (s *State) Apply(now time.Time, event Event) []Effect {
	var effects []Effect

	switch e := event.(type) {
	case Arrived:
		effects = s.arrived(now, e)
	case Done:
		s.done(e)
	case Cancelled:
		effects = s.cancelled(e)
	case ServerChanged:
		s.closed, s.slowness = e.Closed, e.Slowness
		s.slots, s.queueLimit = max(1, e.Slots), max(0, e.Queue)

		if s.closed != "" {
			effects = s.refuseAll(now)
		}
	case Tick:
	}

	effects = append(effects, s.expire(now)...)

	return append(effects, s.startWaiting()...)
}

// Running is the number of attempts at the server.
func (s *State) Running() int { return len(s.running) }

// Waiting is the number of attempts in the queue.
func (s *State) Waiting() load.Waiting {
	var counts load.Waiting

	for _, w := range s.queue {
		counts[w.Rank]++
	}

	if s.alone != nil {
		counts[s.alone.Rank]++
	}

	return counts
}

// Next is when Tick is due; the zero time if nothing waits.
func (s *State) Next() time.Time {
	var next time.Time

	for _, w := range s.queue {
		next = times.Next(next, w.expires())
	}

	if s.alone != nil {
		next = times.Next(next, s.alone.expires())
	}

	return next
}

func (s *State) arrived(now time.Time, e Arrived) []Effect {
	if _, runs := s.running[e.Attempt]; runs || s.queue.has(e.Attempt) ||
		s.alone != nil && s.alone.Attempt == e.Attempt {
		return nil
	}

	w := &waiting{Arrived: e, since: now}

	if reason, refused := s.refusal(now, w); refused {
		return []Effect{s.refuse(now, w, reason)}
	}

	var effects []Effect

	if e.Alone {
		s.alone = w
	} else {
		effects = s.displace(now)
		s.queue.push(w)
	}

	if s.free() {
		return append(effects, s.startWaiting()...)
	}

	return append(effects, Queued{Attempt: e.Attempt})
}

// displace refuses the last attempt of a full queue, to make room for one that goes before it. Calls are not displaced.
func (s *State) displace(now time.Time) []Effect {
	if len(s.queue) < max(1, s.queueLimit) || len(s.running) < s.slots {
		return nil
	}

	last := s.queue[len(s.queue)-1]
	if last.Rank == request.NestedRank {
		return nil
	}

	s.queue.remove(last.Attempt)

	return []Effect{s.refuse(now, last, QueueFull)}
}

// free reports whether what waits is about to start.
func (s *State) free() bool {
	if s.alone != nil {
		return len(s.running) == 0
	}

	return !s.exclusive && len(s.running)+len(s.queue) <= s.slots
}

// refusal decides whether an arriving attempt is turned away at once.
func (s *State) refusal(now time.Time, w *waiting) (Reason, bool) {
	e := w.Arrived
	full := s.exclusive || s.alone != nil || len(s.running)+len(s.queue) >= s.slots

	switch {
	case s.closed != "":
		return s.closed, true
	case !now.Before(e.Deadline):
		return DeadlinePassed, true
	case e.Slowest > 0 && s.slowness > e.Slowest:
		return TooSlow, true
	case e.Alone:
		return Busy, s.alone != nil || s.exclusive
	case !full:
		return "", false
	case e.Wait <= 0:
		return Busy, true
	default:
		return QueueFull, len(s.queue) >= s.queueLimit && e.Rank != request.NestedRank && !s.queue.endsBehind(w)
	}
}

func (s *State) done(e Done) {
	r, ok := s.running[e.Attempt]
	if !ok {
		return
	}

	delete(s.running, e.Attempt)

	if r.alone {
		s.exclusive = false
	}
}

func (s *State) cancelled(e Cancelled) []Effect {
	if r, ok := s.running[e.Attempt]; ok {
		if r.aborted {
			return nil
		}

		r.aborted = true
		s.counts.Aborted++

		return []Effect{Abort(e)}
	}

	if s.alone != nil && s.alone.Attempt == e.Attempt {
		s.alone = nil
	}

	s.queue.remove(e.Attempt)

	return nil
}

// expire refuses attempts that have waited too long.
func (s *State) expire(now time.Time) []Effect {
	var effects []Effect

	kept := s.queue[:0]

	for _, w := range s.queue {
		if now.Before(w.expires()) {
			kept = append(kept, w)

			continue
		}

		effects = append(effects, s.refuse(now, w, expiryReason(now, w)))
	}

	clear(s.queue[len(kept):])
	s.queue = kept

	if w := s.alone; w != nil && !now.Before(w.expires()) {
		s.alone = nil
		effects = append(effects, s.refuse(now, w, expiryReason(now, w)))
	}

	return effects
}

func expiryReason(now time.Time, w *waiting) Reason {
	if now.Before(w.Deadline) {
		return WaitedTooLong
	}

	return DeadlinePassed
}

func (s *State) startWaiting() []Effect {
	if s.closed != "" || s.exclusive {
		return nil
	}

	if s.alone != nil {
		// The others wait until the server is idle and the attempt has run; otherwise it would
		// never get the server for itself.
		if len(s.running) > 0 {
			return nil
		}

		w := s.alone
		s.alone = nil
		s.exclusive = true

		return []Effect{s.start(w)}
	}

	var effects []Effect

	for len(s.running) < s.slots {
		next := s.queue.next(s.slowness)
		if next == nil {
			break
		}

		effects = append(effects, s.start(next))
	}

	return effects
}

func (s *State) start(w *waiting) Effect {
	s.running[w.Attempt] = &run{alone: w.Alone}
	s.counts.Started++

	return Start{Attempt: w.Attempt}
}

func (s *State) refuse(now time.Time, w *waiting, reason Reason) Effect {
	s.counts.Refused++

	return Refuse{Attempt: w.Attempt, Reason: reason, Waited: now.Sub(w.since)}
}

func (s *State) refuseAll(now time.Time) []Effect {
	var effects []Effect

	for _, w := range s.queue {
		effects = append(effects, s.refuse(now, w, s.closed))
	}

	s.queue = nil

	if s.alone != nil {
		effects = append(effects, s.refuse(now, s.alone, s.closed))
		s.alone = nil
	}

	return effects
}

// Counts are totals since the start.
type Counts struct{ Started, Refused, Aborted uint64 }

// Dump holds the state for the state dump.
type Dump struct {
	Running, Waiting, Slots int
	Closed                  Reason
	Slowness                float64
	Counts                  Counts
}

// Dump returns plain values.
func (s *State) Dump() Dump {
	return Dump{
		Running: len(s.running), Waiting: s.Waiting().Total(), Slots: s.slots, Closed: s.closed,
		Slowness: s.slowness, Counts: s.counts,
	}
}
