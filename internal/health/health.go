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
	downAfterLostProbes = 2
)

// noProbes is the pace of a server that must not be probed, which is also the case until the pace is set.
const probesDisabled = -1

// Option configures New.
type Option func(*State)

// WithProbeInterval sets the age of the load at which a watched server is probed; zero for never.
func WithProbeInterval(interval time.Duration) Option {
	return func(s *State) { s.probeInterval = interval }
}

// WithFixedServer is for a server that does not announce itself and has the given number of slots.
func WithFixedServer(slots int) Option {
	return func(s *State) { s.identified, s.fixed, s.slots = true, true, slots }
}

// State is what is known of one address's server. It is not safe for concurrent use.
type State struct {
	probeInterval time.Duration
	// pace is the least time between two probes; negative if there may be none.
	minProbeGap time.Duration

	identified bool
	// fixed is set for a server that does not announce itself; its probes say whether it drains.
	fixed     bool
	id        backend.ID
	startTime time.Time
	sequence  int64
	slots     int
	draining  bool
	// last is the server of an earlier run of the daemon; it may be used before it announces itself again.
	previous      backend.ID
	previousStart time.Time
	// left is the last server that has withdrawn; what it still says is not believed.
	withdrawn      backend.ID
	withdrawnStart time.Time
	// leftAssumed is set while leftBorn is the time of the withdrawal, because the start of the server is not known.
	withdrawnStartAssumed bool

	down           bool
	lostProbes     int
	slowness       float64
	loadObservedAt time.Time
	coldUntil      time.Time
	failureShare   float64
	breaker        breaker
	failureShareAt time.Time
	watched        bool
	probeStarted   time.Time
	lastProbe      time.Time
	counts         Counts
}

// Counts are totals since the start.
type Counts struct{ Probes, Failures, Announcements, Stale uint64 }

// New returns a state that knows nothing of the server.
func New(options ...Option) *State {
	s := &State{slowness: 1, minProbeGap: probesDisabled}
	for _, option := range options {
		option(s)
	}

	return s
}

// Apply handles one event.
func (s *State) Apply(now time.Time, event Event) []Effect {
	before := s.availability()

	switch e := event.(type) {
	case Started:
		s.handleStarted(e)
	case Announced:
		s.handleAnnounced(now, e.Announcement)
	case Withdrawn:
		s.handleWithdrawn(now, e)
	case Observed:
		s.recordLoad(now, e.Load)
	case Ran:
		s.recordOutcome(now, e.Failed)
		s.breaker.record(now, e.Unserved)
	case Refused:
		s.down = true
	case Misdirected:
		s.handleMisdirected(e.ID)
	case Probed:
		s.handleProbed(now, e)
	case Busy:
		s.watched = e.Watched
	case PaceChanged:
		s.minProbeGap = e.Interval

		if s.lastProbe.IsZero() && s.minProbeGap > 0 {
			// An earlier run of the daemon may have probed just now.
			s.lastProbe = now
		}
	case Tick:
	}

	s.breaker.tick(now)

	var effects []Effect

	if s.availability() != before {
		effects = append(effects, Changed{})
	}

	if at := s.nextProbe(); !at.IsZero() && !now.Before(at) {
		s.probeStarted, s.lastProbe = now, now
		s.counts.Probes++

		effects = append(effects, Probe{})
	}

	return effects
}

// standing is what others are told at once if it changes.
type availability struct {
	id            backend.ID
	refusalReason admission.Reason
	slots         int
}

func (s *State) availability() availability {
	return availability{id: s.id, refusalReason: s.RefusalReason(), slots: s.Slots()}
}

// Closed is the reason for refusing all attempts, or empty.
func (s *State) RefusalReason() admission.Reason {
	switch {
	case !s.identified:
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
func (s *State) StartTime() time.Time { return s.startTime }

// Last returns the server beside the daemon, or the last one that was there, with its start, and whether it has left or
// is about to. The next run of the daemon has to know it.
func (s *State) LastServer() (id backend.ID, startTime time.Time, left bool) {
	switch {
	case s.id != "":
		return s.id, s.startTime, s.RefusalReason() == admission.IsDraining || s.id == s.withdrawn && !s.startTime.After(s.withdrawnStart)
	case s.previous != "":
		return s.previous, s.previousStart, false
	default:
		return s.withdrawn, s.withdrawnStart, s.withdrawn != ""
	}
}

// Draining reports whether the server is about to leave.
func (s *State) Draining() bool { return s.draining }

// Slots is the number of requests that the server may run at once.
func (s *State) Slots() int {
	if s.breaker.halfOpen {
		return 1
	}

	return max(1, s.slots)
}

// Slowness is how long work takes relative to the usual time.
func (s *State) Slowness() float64 { return s.slowness }

// Failing is the share of recent requests that got no usable response.
func (s *State) FailureShare(now time.Time) float64 {
	if s.failureShare == 0 {
		return 0
	}

	return s.failureShare * math.Exp(-float64(now.Sub(s.failureShareAt))/float64(failureMemory))
}

// ColdFor is how much longer the server is slow after its start.
func (s *State) ColdFor(now time.Time) time.Duration { return max(0, s.coldUntil.Sub(now)) }

// Next is when Tick is due; the zero time if nothing waits.
func (s *State) Next() time.Time {
	return times.Next(s.nextProbe(), s.breaker.next())
}

// nextProbe is when a probe is due; the zero time if none is.
func (s *State) nextProbe() time.Time {
	if !s.probeStarted.IsZero() || s.minProbeGap < 0 {
		return time.Time{}
	}

	allowed := s.lastProbe.Add(s.minProbeGap)

	switch {
	case !s.identified && s.previous == "":
		return time.Time{}
	case !s.identified || s.down:
		return times.Later(allowed, s.lastProbe.Add(downProbeInterval))
	case s.fixed && s.probeInterval > 0, s.watched && s.probeInterval > 0 && !s.draining:
		return times.Later(allowed, times.Later(s.loadObservedAt, s.lastProbe).Add(s.probeInterval))
	default:
		return time.Time{}
	}
}

func (s *State) handleStarted(e Started) {
	switch {
	case s.identified:
	case e.Last == s.withdrawn:
		// It has withdrawn before the entry was read.
		if s.withdrawnStartAssumed && !e.Born.IsZero() {
			s.withdrawnStart, s.withdrawnStartAssumed = e.Born, false
		}
	case e.Left:
		s.withdrawn, s.withdrawnStart = e.Last, e.Born
	default:
		s.previous, s.previousStart = e.Last, e.Born
	}
}

// announced takes an announcement unless it is older than what is known.
func (s *State) handleAnnounced(now time.Time, a backend.Announcement) {
	s.counts.Announcements++

	if s.isStale(a) {
		s.counts.Stale++

		return
	}

	if a.ID != s.id || !a.Born.Equal(s.startTime) {
		s.resetObservations()
	}

	s.identified, s.previous = true, ""
	s.id, s.startTime, s.sequence = a.ID, a.Born, a.Sequence
	s.slots, s.draining = a.Slots, a.Draining
	s.down = false
	s.coldUntil = now.Add(a.ColdFor)
}

// stale reports whether an announcement is of an earlier run, of a server that has left, or out of order.
func (s *State) isStale(a backend.Announcement) bool {
	if a.ID == s.withdrawn && !a.Born.After(s.withdrawnStart) {
		return true
	}

	if !a.Born.IsZero() && !s.startTime.IsZero() && !a.Born.Equal(s.startTime) {
		return a.Born.Before(s.startTime)
	}

	return a.ID == s.id && s.identified && a.Born.Equal(s.startTime) && a.Sequence <= s.sequence
}

// reset forgets what was seen of an earlier run.
func (s *State) resetObservations() {
	s.failureShare, s.lostProbes, s.slowness = 0, 0, 1
	s.breaker = breaker{}
	s.loadObservedAt = time.Time{}
	s.draining, s.down = false, false
}

func (s *State) handleWithdrawn(now time.Time, e Withdrawn) {
	if s.identified && e.ID == s.id && !e.Born.IsZero() && e.Born.Before(s.startTime) {
		return
	}

	s.withdrawn, s.withdrawnStart = e.ID, times.Later(e.Born, s.startTimeOf(e.ID))

	if s.withdrawnStartAssumed = s.withdrawnStart.IsZero(); s.withdrawnStartAssumed {
		// The server is on the same instance: a later run of it begins after this.
		s.withdrawnStart = now
	}

	if e.ID == s.id || !s.identified {
		s.identified, s.previous = false, ""
	}
}

func (s *State) startTimeOf(id backend.ID) time.Time {
	switch id {
	case s.id:
		return s.startTime
	case s.previous:
		return s.previousStart
	default:
		return time.Time{}
	}
}

// misdirected treats the answer of another server: the known one is gone.
func (s *State) handleMisdirected(id backend.ID) {
	if id != "" && id != s.id {
		s.identified = false
	}
}

func (s *State) recordLoad(now time.Time, l dialect.Load) {
	if l.Slowness > 0 {
		s.slowness = l.Slowness
	}

	if l.Slots > 0 {
		s.slots = l.Slots
	}

	s.loadObservedAt = now
	s.down, s.lostProbes = false, 0
}

func (s *State) recordOutcome(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
		s.counts.Failures++
	}

	s.failureShare = s.FailureShare(now)*(1-failureWeight) + sample*failureWeight
	s.failureShareAt = now
}

// probedNow takes the outcome of a probe. After a restart of the daemon, the server that announced itself to
// the earlier run is used as soon as it says that it is healthy. Any other server at the address may belong
// to another service, and is not used before it announces itself.
func (s *State) handleProbed(now time.Time, e Probed) {
	s.probeStarted = time.Time{}

	if !e.Answered {
		s.lostProbes++
		s.down = s.down || s.lostProbes >= downAfterLostProbes

		return
	}

	s.lostProbes = 0

	if e.Loaded {
		s.recordLoad(now, e.Load)
	}

	if e.Healthy {
		s.down = false
	}

	if s.fixed {
		s.draining = e.Draining
	}

	if !s.identified && e.Healthy && e.ID != "" && e.ID == s.previous && e.Load.Slots > 0 {
		s.resetObservations()
		s.identified, s.id, s.startTime, s.sequence = true, e.ID, time.Time{}, 0
		s.slots, s.previous = e.Load.Slots, ""
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
