// Package admission decides, at the daemon beside a backend server, which attempts are started, queued or refused. It
// does no I/O and reads no clock.
//
// A daemon has one State. Each Arrived is followed by Start or Refuse unless Cancelled comes first, and each Start
// is followed by Done, even if the attempt was cancelled or the server crashed. A second Arrived for an attempt
// that waits or runs has no effect: Refuse would wrongly report that the attempt was not run.
package admission

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

// State holds the running and waiting attempts of one backend server. It is not safe for concurrent use.
type State struct {
	slots      int
	queueLimit int
	// closedReason is why all attempts are refused; empty while the server is open.
	closedReason Reason
	slowness     float64
	running      map[Attempt]*runningAttempt
	queue        queue
	// waitingAlone is the attempt that waits to run alone, once the server is idle; nil if there is none.
	waitingAlone *waitingAttempt
	// runningAlone is set while an attempt runs that has to run alone.
	runningAlone bool
	// limiter is nil while the server states no limit.
	limiter *limiter
	// starts holds the starts of the last second. While the server is cold, until coldUntil, at most coldRate attempts
	// start in any second; zero for no limit.
	starts    startLog
	coldRate  float64
	coldUntil time.Time
	// coldFrom is the time from which starts count for the rate; zero if all do. coldUnknown is set if the server only
	// may be cold.
	coldFrom    time.Time
	coldUnknown bool
	// tokenAt is when the limit allows a waiting attempt to start; zero if it already does or none waits.
	tokenAt time.Time
	counts  Counts
}

type runningAttempt struct {
	tenant    string
	aborted   bool
	alone     bool
	startedAt time.Time
}

// New returns a State that refuses all attempts with ServerUnknown until the first ServerChanged.
func New() *State {
	return &State{slots: 1, closedReason: ServerUnknown, running: make(map[Attempt]*runningAttempt)}
}

// Apply handles one event and returns its effects, which the daemon performs in order. It also refuses attempts
// that have waited too long and starts waiting ones.
func (s *State) Apply(now time.Time, event Event) []Effect {
	var effects []Effect

	s.starts.advance(now)

	switch e := event.(type) {
	case Arrived:
		effects = s.handleArrived(now, e)
	case Done:
		s.handleDone(e)
	case Cancelled:
		effects = s.handleCancelled(e)
	case ServerChanged:
		s.closedReason, s.slowness = e.Closed, e.Slowness
		s.slots, s.queueLimit = max(1, e.Slots), max(0, e.Queue)
		s.coldRate, s.coldUntil = e.ColdRate, e.ColdUntil
		s.coldFrom, s.coldUnknown = e.ColdFrom, e.ColdUnknown
		s.setLimit(now, e)

		if s.closedReason != "" {
			effects = s.refuseAll(now)
		}
	case Tick:
	}

	effects = append(effects, s.refuseExpired(now)...)
	effects = append(effects, s.startWaiting(now)...)
	s.updateTokenAt(now)

	return effects
}

// updateTokenAt sets when the limits allow the next waiting attempt to start.
func (s *State) updateTokenAt(now time.Time) {
	s.tokenAt = time.Time{}

	if wait := s.startWait(now, 0); wait > 0 && (s.queue.size() > 0 || s.waitingAlone != nil) {
		s.tokenAt = now.Add(wait)
	}
}

// setLimit sets the limit of the server. A limit that stays the same keeps its tokens.
func (s *State) setLimit(now time.Time, e ServerChanged) {
	switch {
	case !e.Limited:
		s.limiter = nil
	case s.limiter == nil:
		s.limiter = newLimiter(now, e.PerSecond)
	case s.limiter.perSecond != max(e.PerSecond, minLimit):
		s.limiter = s.limiter.withLimit(now, e.PerSecond)
	}
}

// LimitWait returns the time until the limits of the server allow a new request after those that wait; zero if they do.
func (s *State) LimitWait(now time.Time) time.Duration { return s.startWait(now, s.queue.size()) }

// Running returns the number of attempts that run at the server, those that are being aborted included.
func (s *State) Running() int { return len(s.running) }

// Waiting returns the number of waiting attempts of each rank, the one that waits to run alone included.
func (s *State) Waiting() load.Waiting {
	var counts load.Waiting

	for _, w := range s.queue.attempts {
		counts[w.Rank]++
	}

	if s.waitingAlone != nil {
		counts[s.waitingAlone.Rank]++
	}

	return counts
}

// Next returns when the next Tick is due; the zero time if no attempt waits.
func (s *State) Next() time.Time {
	next := s.tokenAt

	for _, w := range s.queue.attempts {
		next = times.Next(next, w.expiresAt())
	}

	if s.waitingAlone != nil {
		next = times.Next(next, s.waitingAlone.expiresAt())
	}

	return next
}

// handleArrived starts, queues or refuses an attempt.
func (s *State) handleArrived(now time.Time, e Arrived) []Effect {
	if _, running := s.running[e.Attempt]; running || s.queue.contains(e.Attempt) ||
		s.waitingAlone != nil && s.waitingAlone.Attempt == e.Attempt {
		return nil
	}

	s.queue.tenants.arrive(e.Tenant)

	w := &waitingAttempt{Arrived: e, arrivedAt: now}

	if reason, refused := s.refusalReason(now, w); refused {
		return []Effect{s.refuse(now, w, reason)}
	}

	var effects []Effect

	if e.Alone {
		s.waitingAlone = w
	} else {
		effects = s.displace(now, w)
		s.queue.insert(w)
	}

	if s.canStart(now) {
		return append(effects, s.startWaiting(now)...)
	}

	return append(effects, Queued{Attempt: e.Attempt})
}

// displace refuses an attempt of a full queue to make room for w, which refusalReason lets in.
func (s *State) displace(now time.Time, w *waitingAttempt) []Effect {
	if s.queue.size() < max(1, s.queueLimit) || len(s.running) < s.slots && s.mayStart(now) {
		return nil
	}

	victim := s.queue.victim(w)
	if victim == nil {
		return nil
	}

	s.queue.remove(victim.Attempt)
	s.counts.Displaced++

	return []Effect{s.refuse(now, victim, QueueFull)}
}

// canStart reports whether all waiting attempts can start or, if one waits to run alone, whether that one can.
func (s *State) canStart(now time.Time) bool {
	if s.waitingAlone != nil {
		return len(s.running) == 0 && s.mayStart(now)
	}

	return !s.runningAlone && len(s.running)+s.queue.size() <= s.slots && s.startWait(now, s.queue.size()-1) == 0
}

// refusalReason reports whether an arriving attempt is refused at once, and why.
func (s *State) refusalReason(now time.Time, w *waitingAttempt) (Reason, bool) {
	e := w.Arrived
	before := s.queue.countBefore(w)
	mustWait := s.runningAlone || s.waitingAlone != nil || len(s.running)+s.queue.size() >= s.slots ||
		s.startWait(now, before) > 0

	switch {
	case s.closedReason != "":
		return s.closedReason, true
	case !now.Before(e.Deadline):
		return DeadlinePassed, true
	case e.Slowest > 0 && s.slowness > e.Slowest:
		return TooSlow, true
	case s.refusalWait(now, before) > e.Wait:
		return OverLimit, true
	case e.Alone:
		return Busy, s.waitingAlone != nil || s.runningAlone
	case !mustWait:
		return "", false
	case e.Wait <= 0:
		return Busy, true
	default:
		return QueueFull, s.queue.size() >= s.queueLimit && e.Rank != request.NestedRank && s.queue.victim(w) == nil
	}
}

// handleDone frees the slot of an attempt.
func (s *State) handleDone(e Done) {
	r, ok := s.running[e.Attempt]
	if !ok {
		return
	}

	delete(s.running, e.Attempt)
	s.queue.tenants.end(r.tenant)

	if e.Misdirected {
		s.starts.remove(r.startedAt)
	}

	if r.alone {
		s.runningAlone = false
	}
}

// handleCancelled aborts a running attempt and removes a waiting one.
func (s *State) handleCancelled(e Cancelled) []Effect {
	if r, ok := s.running[e.Attempt]; ok {
		if r.aborted {
			return nil
		}

		r.aborted = true
		s.counts.Aborted++

		return []Effect{Abort(e)}
	}

	if s.waitingAlone != nil && s.waitingAlone.Attempt == e.Attempt {
		s.waitingAlone = nil
	}

	s.queue.remove(e.Attempt)

	return nil
}

// refuseExpired refuses attempts that have waited too long.
func (s *State) refuseExpired(now time.Time) []Effect {
	var effects []Effect

	for _, w := range s.queue.removeExpired(now) {
		effects = append(effects, s.refuse(now, w, expiryReason(now, w)))
	}

	if w := s.waitingAlone; w != nil && !now.Before(w.expiresAt()) {
		s.waitingAlone = nil
		effects = append(effects, s.refuse(now, w, expiryReason(now, w)))
	}

	return effects
}

func expiryReason(now time.Time, w *waitingAttempt) Reason {
	if now.Before(w.Deadline) {
		return WaitedTooLong
	}

	return DeadlinePassed
}
