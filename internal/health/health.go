// Package health tracks the state of the backend server beside the daemon: which server it is, whether it accepts
// requests, how slow it is and how many requests fail. It does no I/O and reads no clock.
//
// A server announces itself, reports its load with each response, and answers probes. The outcome of requests has
// priority over what the server reports: a healthy answer to a probe does not cancel failed requests.
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
	// downProbeInterval is the least time between probes of a server that does not accept connections or has not been
	// identified yet.
	downProbeInterval = 200 * time.Millisecond
	// failureWeight is the weight of one request in the failure share, which is a moving average.
	failureWeight = 0.15
	// failureMemory is the time constant with which the failure share decays while no requests end.
	failureMemory = 3 * time.Second
	// downAfterLostProbes is the number of consecutive probes without an answer after which a server counts as down.
	downAfterLostProbes = 2
)

// probesDisabled is the value of minProbeGap that forbids probes. It applies until PaceChanged sets another one.
const probesDisabled = -1

// Option configures New.
type Option func(*State)

// WithProbeInterval sets the age of the last known load after which the server is probed while the load is needed;
// zero disables such probes.
func WithProbeInterval(interval time.Duration) Option {
	return func(s *State) { s.probeInterval = interval }
}

// WithFixedServer sets the number of slots of a server that does not announce itself.
func WithFixedServer(slots int) Option {
	return func(s *State) { s.identified, s.fixed, s.slots = true, true, slots }
}

// State is the known state of the backend server at one address. It is not safe for concurrent use.
type State struct {
	probeInterval time.Duration
	// minProbeGap is the least time between two probes; negative if probes are forbidden.
	minProbeGap time.Duration

	// identified is set while the server at the address is known to belong to the daemon's service: it has announced
	// itself, it is the one of an earlier run of the daemon, or it is fixed. Otherwise it gets no requests.
	identified bool
	// fixed is set for a server that does not announce itself. Its answers to probes say whether it drains.
	fixed bool
	// id, startTime and sequence describe the server that was identified last, also when it no longer is.
	id        backend.ID
	startTime time.Time
	sequence  int64
	slots     int
	draining  bool
	// previous is the server of an earlier run of the daemon. It is used again as soon as a probe finds it healthy,
	// even before it announces itself.
	previous      backend.ID
	previousStart time.Time
	// withdrawn is the last server that has withdrawn. Announcements of this run of it, or of earlier ones, are
	// ignored.
	withdrawn      backend.ID
	withdrawnStart time.Time
	// withdrawnStartAssumed is set if the start of the withdrawn server is unknown and withdrawnStart is the time of
	// the withdrawal instead.
	withdrawnStartAssumed bool

	// leaving is set once the server has said in a response that it leaves.
	leaving bool
	// limit is the number of requests that the server allows. limitKnown is set once a response has said so or said that
	// there is none.
	limit      backend.Limit
	limitKnown bool

	// down is set while the server accepts no connections or answers no probes.
	down bool
	// lostProbes is the number of consecutive probes without an answer.
	lostProbes     int
	slowness       float64
	loadObservedAt time.Time
	cold           coldness
	// failureShare is the moving average of failures as of failureShareAt.
	failureShare   float64
	breaker        breaker
	failureShareAt time.Time
	// watched is set while the load is needed.
	watched bool
	// probeStarted is the start of the probe in progress; zero if there is none.
	probeStarted time.Time
	lastProbe    time.Time
	counts       Counts
}

// Counts are totals since the start of the daemon. Stale counts the announcements that were ignored.
type Counts struct{ Probes, Failures, Announcements, Stale uint64 }

// New returns the state of a server that has not been identified, unless an option says otherwise.
func New(options ...Option) *State {
	s := &State{slowness: 1, minProbeGap: probesDisabled}
	for _, option := range options {
		option(s)
	}

	return s
}

// Apply handles an event and returns the effects that the daemon performs.
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
	case LimitStated:
		s.limit, s.limitKnown = e.Limit, true
	case Leaving:
		s.handleLeaving(now, e)
	case Noticed:
		s.handleNotice(now, e.Notice)
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
		s.cold.handleBusy(now, e.Running)
	case ColdPolicyChanged:
		s.cold.policy = e.Cold
	case PaceChanged:
		s.minProbeGap = e.Interval

		if s.lastProbe.IsZero() && s.minProbeGap > 0 {
			// An earlier run of the daemon may have sent a probe just before.
			s.lastProbe = now
		}
	case Tick:
	}

	s.breaker.tick(now)

	var effects []Effect

	if s.availability() != before {
		effects = append(effects, Changed{})
	}

	effects = append(effects, s.coldChange(now)...)

	if at := s.nextProbe(); !at.IsZero() && !now.Before(at) {
		s.probeStarted, s.lastProbe = now, now
		s.counts.Probes++

		effects = append(effects, Probe{})
	}

	return effects
}

// availability is the part of the state whose changes are reported at once with Changed.
type availability struct {
	id            backend.ID
	refusalReason admission.Reason
	slots         int
}

func (s *State) availability() availability {
	return availability{id: s.id, refusalReason: s.RefusalReason(), slots: s.Slots()}
}

// RefusalReason returns the reason for refusing all attempts; empty if the server accepts them.
func (s *State) RefusalReason() admission.Reason {
	switch {
	case !s.identified:
		return admission.ServerUnknown
	case s.draining:
		return admission.Draining
	case s.down:
		return admission.ServerDown
	case s.breaker.open:
		return admission.ServerFailing
	default:
		return ""
	}
}

// Server returns the ID of the last known server at the address; empty if there was none or it has no ID.
func (s *State) Server() backend.ID { return s.id }

// StartTime returns the start of the server, by its own clock; zero if unknown.
func (s *State) StartTime() time.Time { return s.startTime }

// LastServer returns the server beside the daemon, or the last one that was there, with its start time. It reports
// whether that server has left or is about to. The next run of the daemon starts with this information; see Started.
func (s *State) LastServer() (id backend.ID, startTime time.Time, left bool) {
	switch {
	case s.id != "":
		return s.id, s.startTime, s.RefusalReason() == admission.Draining ||
			s.id == s.withdrawn && !s.startTime.After(s.withdrawnStart)
	case s.previous != "":
		return s.previous, s.previousStart, false
	default:
		return s.withdrawn, s.withdrawnStart, s.withdrawn != ""
	}
}

// Draining reports whether the server is about to leave.
func (s *State) Draining() bool { return s.draining }

// Slots returns the number of requests that the server may run at once. It is one while the breaker is half open.
func (s *State) Slots() int {
	if s.breaker.halfOpen {
		return 1
	}

	return max(1, s.slots)
}

// Slowness returns how long work takes at the server relative to the usual time; 1 is usual.
func (s *State) Slowness() float64 { return s.slowness }

// FailureShare returns the share of recent requests that got no usable response.
func (s *State) FailureShare(now time.Time) float64 {
	if s.failureShare == 0 {
		return 0
	}

	return s.failureShare * math.Exp(-float64(now.Sub(s.failureShareAt))/float64(failureMemory))
}

// Next returns when Tick is due; the zero time if no Tick is needed.
func (s *State) Next() time.Time {
	return times.Next(s.nextProbe(), s.breaker.next(), s.nextColdChange())
}

// handleStarted restores the server of an earlier run of the daemon, unless it has announced itself or withdrawn
// before the entry of that run was read.
func (s *State) handleStarted(e Started) {
	switch {
	case s.identified:
	case e.Last == s.withdrawn:
		// The server withdrew before the entry was read.
		if s.withdrawnStartAssumed && !e.Born.IsZero() {
			s.withdrawnStart, s.withdrawnStartAssumed = e.Born, false
		}
	case e.Left:
		s.withdrawn, s.withdrawnStart = e.Last, e.Born
	default:
		s.previous, s.previousStart = e.Last, e.Born
	}
}

// handleAnnounced updates the server, unless the announcement is stale.
func (s *State) handleAnnounced(now time.Time, a backend.Announcement) {
	s.counts.Announcements++

	if s.isStale(a) {
		s.counts.Stale++

		return
	}

	// The start of a server that was identified by a probe is not known.
	replaced := a.ID != s.id || !a.Born.Equal(s.startTime) && !s.startTime.IsZero()
	known := s.id != "" || s.previous != ""

	if a.ID != s.id || !a.Born.Equal(s.startTime) {
		s.resetObservations()
	}

	s.cold.handleAnnounced(now, a, replaced, known)

	s.identified, s.previous = true, ""
	s.id, s.startTime, s.sequence = a.ID, a.Born, a.Sequence
	s.slots, s.draining = a.Slots, a.Draining
	s.down = false
}

// isStale reports whether an announcement comes from an earlier run of the server or from one that has withdrawn, or
// is older than the last one.
func (s *State) isStale(a backend.Announcement) bool {
	if a.ID == s.withdrawn && !a.Born.After(s.withdrawnStart) {
		return true
	}

	if !a.Born.IsZero() && !s.startTime.IsZero() && !a.Born.Equal(s.startTime) {
		return a.Born.Before(s.startTime)
	}

	return a.ID == s.id && s.identified && a.Born.Equal(s.startTime) && a.Sequence <= s.sequence
}

// resetObservations drops what was observed of the server before, since another one or a new run has taken its place.
func (s *State) resetObservations() {
	s.failureShare, s.lostProbes, s.slowness = 0, 0, 1
	s.breaker = breaker{}
	s.loadObservedAt = time.Time{}
	s.draining, s.down = false, false
	s.leaving, s.limit, s.limitKnown = false, backend.Limit{}, false
}

// recordLoad stores the load that the server has reported. A server that reports it is not down.
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

// recordOutcome adds the outcome of a request to the failure share.
func (s *State) recordOutcome(now time.Time, failed bool) {
	sample := 0.0
	if failed {
		sample = 1
		s.counts.Failures++
	}

	s.failureShare = s.FailureShare(now)*(1-failureWeight) + sample*failureWeight
	s.failureShareAt = now
}

// Watched reports whether the load is needed; see Busy.
func (s *State) Watched() bool { return s.watched }
