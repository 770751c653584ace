// Package health keeps what the daemon knows of the backend server beside it: which server it is, whether it
// takes work, how slow it works and how often it fails. It does no I/O and reads no clock.
//
// A server announces itself, says how it is loaded with each response, and can be probed. What was seen goes
// before what the server says: a health answer does not make up for failed requests.
package health

import (
	"math"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

const (
	// downProbeInterval is the pause between probes of a server that does not accept connections.
	downProbeInterval = 200 * time.Millisecond
	// failureWeight is the weight of one request in the share of failures.
	failureWeight = 0.15
	// failureMemory is the time in which the share of failures decays if nothing is sent to the server.
	failureMemory = 3 * time.Second
	// downAfterLost is the number of probes in a row without an answer after which a server counts as down.
	downAfterLost = 2
)

// noProbes is the pace of a server that must not be probed, which is also the case until the pace is set.
const noProbes = -1

// Option configures New.
type Option func(*State)

// WithProbeInterval sets the age of the load at which a watched server is probed; zero for never.
func WithProbeInterval(interval time.Duration) Option {
	return func(s *State) { s.probeInterval = interval }
}

// WithFixedServer is for a server that does not announce itself and has the given number of slots.
func WithFixedServer(slots int) Option {
	return func(s *State) { s.known, s.fixed, s.slots = true, true, slots }
}

// State is what is known of one address's server. It is not safe for concurrent use.
type State struct {
	probeInterval time.Duration
	// pace is the least time between two probes; negative if there may be none.
	pace time.Duration

	known bool
	// fixed is set for a server that does not announce itself; its probes say whether it drains.
	fixed    bool
	id       backend.ID
	born     time.Time
	sequence int64
	slots    int
	draining bool
	// last is the server of an earlier run of the daemon; it may be used before it announces itself again.
	last     backend.ID
	lastBorn time.Time
	// left is the last server that has withdrawn; what it still says is not believed.
	left     backend.ID
	leftBorn time.Time
	// leftAssumed is set while leftBorn is the time of the withdrawal, because the start of the server is not known.
	leftAssumed bool

	down      bool
	lost      int
	slowness  float64
	observed  time.Time
	coldUntil time.Time
	failing   float64
	breaker   breaker
	failedAt  time.Time
	watched   bool
	probing   time.Time
	probed    time.Time
	counts    Counts
}

// Counts are totals since the start.
type Counts struct{ Probes, Failures, Announcements, Stale uint64 }

// New returns a state that knows nothing of the server.
func New(options ...Option) *State {
	s := &State{slowness: 1, pace: noProbes}
	for _, option := range options {
		option(s)
	}

	return s
}

// Apply handles one event.
func (s *State) Apply(now time.Time, event Event) []Effect {
	before := s.standing()

	switch e := event.(type) {
	case Started:
		s.started(e)
	case Announced:
		s.announced(now, e.Announcement)
	case Withdrawn:
		s.withdrawn(now, e)
	case Observed:
		s.observe(now, e.Load)
	case Ran:
		s.ran(now, e.Failed)
		s.breaker.ran(now, e.Unserved)
	case Refused:
		s.down = true
	case Misdirected:
		s.misdirected(e.ID)
	case Probed:
		s.probedNow(now, e)
	case Busy:
		s.watched = e.Watched
	case PaceChanged:
		s.pace = e.Interval

		if s.probed.IsZero() && s.pace > 0 {
			// An earlier run of the daemon may have probed just now.
			s.probed = now
		}
	case Tick:
	}

	s.breaker.tick(now)

	var effects []Effect

	if s.standing() != before {
		effects = append(effects, Changed{})
	}

	if at := s.nextProbe(); !at.IsZero() && !now.Before(at) {
		s.probing, s.probed = now, now
		s.counts.Probes++

		effects = append(effects, Probe{})
	}

	return effects
}

// standing is what others are told at once if it changes.
type standing struct {
	id     backend.ID
	closed admission.Reason
	slots  int
}

func (s *State) standing() standing {
	return standing{id: s.id, closed: s.RefusalReason(), slots: s.Slots()}
}

// Closed is the reason for refusing all attempts, or empty.
func (s *State) RefusalReason() admission.Reason {
	switch {
	case !s.known:
		return admission.ServerUnknown
	case s.draining:
		return admission.IsDraining
	case s.down:
		return admission.ServerDown
	case s.breaker.open:
		return admission.ServerFailing
	default:
		return ""
	}
}

// Server is the server at the address; empty if it has no name or is not known.
func (s *State) Server() backend.ID { return s.id }

// Born is the start of the server, by its own clock; zero if unknown.
func (s *State) StartTime() time.Time { return s.born }

// Last returns the server beside the daemon, or the last one that was there, with its start, and whether it has left or
// is about to. The next run of the daemon has to know it.
func (s *State) LastServer() (id backend.ID, born time.Time, left bool) {
	switch {
	case s.id != "":
		return s.id, s.born, s.RefusalReason() == admission.IsDraining || s.id == s.left && !s.born.After(s.leftBorn)
	case s.last != "":
		return s.last, s.lastBorn, false
	default:
		return s.left, s.leftBorn, s.left != ""
	}
}

// Draining reports whether the server is about to leave.
func (s *State) Draining() bool { return s.draining }

// Slots is the number of requests that the server may run at once.
func (s *State) Slots() int {
	if s.breaker.trial {
		return 1
	}

	return max(1, s.slots)
}

// Slowness is how long work takes relative to the usual time.
func (s *State) Slowness() float64 { return s.slowness }

// Failing is the share of recent requests that got no usable response.
func (s *State) FailureShare(now time.Time) float64 {
	if s.failing == 0 {
		return 0
	}

	return s.failing * math.Exp(-float64(now.Sub(s.failedAt))/float64(failureMemory))
}

// ColdFor is how much longer the server is slow after its start.
func (s *State) ColdFor(now time.Time) time.Duration { return max(0, s.coldUntil.Sub(now)) }

// Next is when Tick is due; the zero time if nothing waits.
func (s *State) Next() time.Time {
	return times.Next(s.nextProbe(), s.breaker.next())
}

// nextProbe is when a probe is due; the zero time if none is.
func (s *State) nextProbe() time.Time {
	if !s.probing.IsZero() || s.pace < 0 {
		return time.Time{}
	}

	allowed := s.probed.Add(s.pace)

	switch {
	case !s.known && s.last == "":
		return time.Time{}
	case !s.known || s.down:
		return times.Later(allowed, s.probed.Add(downProbeInterval))
	case s.fixed && s.probeInterval > 0, s.watched && s.probeInterval > 0 && !s.draining:
		return times.Later(allowed, times.Later(s.observed, s.probed).Add(s.probeInterval))
	default:
		return time.Time{}
	}
}

func (s *State) started(e Started) {
	switch {
	case s.known:
	case e.Last == s.left:
		// It has withdrawn before the entry was read.
		if s.leftAssumed && !e.Born.IsZero() {
			s.leftBorn, s.leftAssumed = e.Born, false
		}
	case e.Left:
		s.left, s.leftBorn = e.Last, e.Born
	default:
		s.last, s.lastBorn = e.Last, e.Born
	}
}

// announced takes an announcement unless it is older than what is known.
func (s *State) announced(now time.Time, a backend.Announcement) {
	s.counts.Announcements++

	if s.stale(a) {
		s.counts.Stale++

		return
	}

	if a.ID != s.id || !a.Born.Equal(s.born) {
		s.reset()
	}

	s.known, s.last = true, ""
	s.id, s.born, s.sequence = a.ID, a.Born, a.Sequence
	s.slots, s.draining = a.Slots, a.Draining
	s.down = false
	s.coldUntil = now.Add(a.ColdFor)
}

// stale reports whether an announcement is of an earlier run, of a server that has left, or out of order.
func (s *State) stale(a backend.Announcement) bool {
	if a.ID == s.left && !a.Born.After(s.leftBorn) {
		return true
	}

	if !a.Born.IsZero() && !s.born.IsZero() && !a.Born.Equal(s.born) {
		return a.Born.Before(s.born)
	}

	return a.ID == s.id && s.known && a.Born.Equal(s.born) && a.Sequence <= s.sequence
}

// reset forgets what was seen of an earlier run.
func (s *State) reset() {
	s.failing, s.lost, s.slowness = 0, 0, 1
	s.breaker = breaker{}
	s.observed = time.Time{}
	s.draining, s.down = false, false
}

func (s *State) withdrawn(now time.Time, e Withdrawn) {
	if s.known && e.ID == s.id && !e.Born.IsZero() && e.Born.Before(s.born) {
		return
	}

	s.left, s.leftBorn = e.ID, times.Later(e.Born, s.bornOf(e.ID))

	if s.leftAssumed = s.leftBorn.IsZero(); s.leftAssumed {
		// The server is on the same instance: a later run of it begins after this.
		s.leftBorn = now
	}

	if e.ID == s.id || !s.known {
		s.known, s.last = false, ""
	}
}

func (s *State) bornOf(id backend.ID) time.Time {
	switch id {
	case s.id:
		return s.born
	case s.last:
		return s.lastBorn
	default:
		return time.Time{}
	}
}

// misdirected treats the answer of another server: the known one is gone.
func (s *State) misdirected(id backend.ID) {
	if id != "" && id != s.id {
		s.known = false
	}
}

func (s *State) observe(now time.Time, l dialect.Load) {
	if l.Slowness > 0 {
		s.slowness = l.Slowness
	}

	if l.Slots > 0 {
		s.slots = l.Slots
	}

	s.observed = now
	s.down, s.lost = false, 0
}

func (s *State) ran(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
		s.counts.Failures++
	}

	s.failing = s.FailureShare(now)*(1-failureWeight) + sample*failureWeight
	s.failedAt = now
}

// probedNow takes the outcome of a probe. After a restart of the daemon, the server that announced itself to
// the earlier run is used as soon as it says that it is healthy. Any other server at the address may belong
// to another service, and is not used before it announces itself.
func (s *State) probedNow(now time.Time, e Probed) {
	s.probing = time.Time{}

	if !e.Answered {
		s.lost++
		s.down = s.down || s.lost >= downAfterLost

		return
	}

	s.lost = 0

	if e.Loaded {
		s.observe(now, e.Load)
	}

	if e.Healthy {
		s.down = false
	}

	if s.fixed {
		s.draining = e.Draining
	}

	if !s.known && e.Healthy && e.ID != "" && e.ID == s.last && e.Load.Slots > 0 {
		s.reset()
		s.known, s.id, s.born, s.sequence = true, e.ID, time.Time{}, 0
		s.slots, s.last = e.Load.Slots, ""
	}
}

// Dump holds the state for the state dump.
type Dump struct {
	Server   backend.ID
	Closed   admission.Reason
	Slots    int
	Slowness float64
	Failing  float64
	Counts   Counts
}

// Dump returns plain values.
func (s *State) Dump(now time.Time) Dump {
	return Dump{
		Server: s.id, Closed: s.RefusalReason(), Slots: s.slots, Slowness: s.slowness, Failing: s.FailureShare(now), Counts: s.counts,
	}
}

// Watched reports whether somebody wants to know the load soon.
func (s *State) Watched() bool { return s.watched }
