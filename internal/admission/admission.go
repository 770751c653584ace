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
)

const (
	// sojournLimit bounds the time in the queue. An attempt that has waited this long is better off
	// at another server, which it reaches within two milliseconds in its region.
	sojournLimit = 50 * time.Millisecond
	// latencyWeight is the weight of one sample in the moving average of the service time.
	latencyWeight = 0.1
	// fastestWeight is the weight of a slower sample in the lower bound of the service time.
	fastestWeight = 0.01
)

// Option configures New.
type Option func(*State)

// WithLimits sets the number of slots and the length of the queue.
func WithLimits(slots, queue int) Option {
	return func(s *State) { s.slots, s.queueLimit = slots, queue }
}

// Mechanism is a part of the admission that can be turned off to measure what it brings.
type Mechanism uint8

const (
	// Shedding refuses attempts that waited too long or would miss their deadline.
	Shedding Mechanism = iota
)

// Without turns mechanisms off.
func Without(mechanisms ...Mechanism) Option {
	return func(s *State) {
		for _, m := range mechanisms {
			s.off |= 1 << m
		}
	}
}

func (s *State) uses(m Mechanism) bool { return s.off&(1<<m) == 0 }

// State is the admission of one backend server. It is not safe for concurrent use.
type State struct {
	// off has a bit for each mechanism that is turned off.
	off        uint
	slots      int
	queueLimit int
	running    map[Attempt]*run
	nested     fifo
	fresh      fifo
	// alone is the attempt that waits for the server to become idle, if any.
	alone    *waiting
	draining bool
	drained  bool
	down     bool
	// exclusive is set while an attempt that asked to be alone runs.
	exclusive bool
	latency   time.Duration
	// fastest follows the shortest service times. Deadlines are compared with it and not with the mean,
	// because requests of one service differ.
	fastest time.Duration
	counts  Counts
}

type run struct {
	aborted bool
	alone   bool
}

// New returns the admission of a server that is up.
func New(options ...Option) *State {
	s := &State{slots: 1, running: make(map[Attempt]*run)}
	for _, option := range options {
		option(s)
	}

	return s
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
	case DrainStarted:
		s.draining = true
		effects = s.refuseAll(now, IsDraining)
	case LimitsChanged:
		s.slots, s.queueLimit = max(1, e.Slots), max(0, e.Queue)
	case ServerChanged:
		s.down = !e.Up
		if s.down {
			effects = s.refuseAll(now, ServerDown)
		}
	case Tick:
	}

	effects = append(effects, s.startWaiting(now)...)
	effects = append(effects, s.expire(now)...)

	if s.draining && !s.drained && len(s.running) == 0 {
		s.drained = true
		effects = append(effects, Drained{})
	}

	return effects
}

// Hint returns the present load.
func (s *State) Hint(_ time.Time) load.Hint {
	return load.Hint{
		InFlight: len(s.running),
		Queue:    s.waitingCount(),
		Limit:    s.limit(),
		Latency:  s.latency,
		Draining: s.draining || s.down,
	}
}

func (s *State) limit() int { return s.slots }

func (s *State) arrived(now time.Time, e Arrived) []Effect {
	if _, runs := s.running[e.Attempt]; runs || s.find(e.Attempt) != nil {
		return nil
	}

	w := &waiting{attempt: e.Attempt, deadline: e.Deadline, since: now, alone: e.Alone, nested: e.Nested}

	if reason, refused := s.refusal(now, e); refused {
		return []Effect{s.refuse(now, e.Attempt, reason)}
	}

	switch {
	case e.Alone:
		s.alone = w
	case e.Nested:
		s.nested.push(w)
	default:
		s.fresh.push(w)
	}

	return nil
}

// refusal decides whether an arriving attempt is turned away at once.
func (s *State) refusal(now time.Time, e Arrived) (Reason, bool) {
	switch {
	case s.down:
		return ServerDown, true
	case s.draining:
		return IsDraining, true
	case s.uses(Shedding) && s.late(now.Add(s.expectedWait(e.Nested)), e.Deadline):
		return DeadlinePassed, true
	case e.Alone:
		return Busy, s.alone != nil || s.exclusive
	case s.free():
		return "", false
	case e.NoWait:
		return Busy, true
	default:
		return QueueFull, s.waitingCount() >= s.queueLimit
	}
}

// expectedWait is the time in the queue of an attempt that arrives now.
func (s *State) expectedWait(nested bool) time.Duration {
	if s.free() {
		return 0
	}

	ahead := s.nested.len()
	if !nested {
		ahead += s.fresh.len()
	}

	return s.latency * time.Duration(ahead+1) / time.Duration(max(1, s.limit()))
}

// late reports whether an attempt that starts then misses its deadline. Only an attempt that has to wait
// is judged by the service time: an idle server runs every attempt whose deadline lies ahead, because
// otherwise one period of slowness could make it refuse short deadlines for ever.
func (s *State) late(start, deadline time.Time) bool {
	if s.free() {
		return !start.Before(deadline)
	}

	return s.hopeless(start, deadline)
}

func (s *State) hopeless(start, deadline time.Time) bool {
	return s.uses(Shedding) && start.Add(s.fastest).After(deadline)
}

// free reports whether an attempt that arrives now would start at once.
func (s *State) free() bool {
	return !s.exclusive && s.alone == nil && s.waitingCount() == 0 && len(s.running) < s.limit()
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

	if e.Failed || r.aborted {
		return
	}

	if s.latency == 0 {
		s.latency, s.fastest = e.Elapsed, e.Elapsed
	}

	s.fastest = min(e.Elapsed, s.fastest+time.Duration(fastestWeight*float64(e.Elapsed-s.fastest)))
	s.latency += time.Duration(latencyWeight * float64(e.Elapsed-s.latency))
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

	if w := s.find(e.Attempt); w != nil {
		w.gone = true
		s.drop(w)
	}

	return nil
}

// expire refuses attempts that have waited too long or can no longer meet their deadline.
func (s *State) expire(now time.Time) []Effect {
	if !s.uses(Shedding) {
		return nil
	}

	var effects []Effect

	check := func(w *waiting) bool {
		switch {
		case s.late(now, w.deadline):
			effects = append(effects, s.refuse(now, w.attempt, DeadlinePassed))
		case now.Sub(w.since) > sojournLimit:
			effects = append(effects, s.refuse(now, w.attempt, Sojourn))
		default:
			return false
		}

		return true
	}

	s.nested.popWhile(check)
	s.fresh.popWhile(check)

	if s.alone != nil && check(s.alone) {
		s.alone = nil
	}

	return effects
}

func (s *State) startWaiting(now time.Time) []Effect {
	if s.down || s.draining || s.exclusive {
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

	for len(s.running) < s.limit() {
		w := s.nested.pop()
		if w == nil {
			w = s.fresh.pop()
		}

		if w == nil {
			break
		}

		if !now.Before(w.deadline) || w.since.Before(now) && s.hopeless(now, w.deadline) {
			effects = append(effects, s.refuse(now, w.attempt, DeadlinePassed))

			continue
		}

		effects = append(effects, s.start(w))
	}

	return effects
}

func (s *State) start(w *waiting) Effect {
	s.running[w.attempt] = &run{alone: w.alone}
	s.counts.Started++

	return Start{Attempt: w.attempt}
}

func (s *State) refuse(now time.Time, attempt Attempt, reason Reason) Effect {
	s.counts.Refused++

	return Refuse{Attempt: attempt, Reason: reason, Hint: s.Hint(now)}
}

func (s *State) refuseAll(now time.Time, reason Reason) []Effect {
	var effects []Effect

	refuse := func(w *waiting) bool {
		effects = append(effects, s.refuse(now, w.attempt, reason))

		return true
	}

	s.nested.popWhile(refuse)
	s.fresh.popWhile(refuse)

	if s.alone != nil {
		refuse(s.alone)
		s.alone = nil
	}

	return effects
}
