// Package concurrency finds out how many requests at once the backend server beside a daemon handles best. It does no
// I/O and reads no clock.
//
// Some servers work slower when nearly all of their slots are taken, and then complete less with all slots than with
// some of them. The package compares how long requests take with eight tenths of the slots and with more. What slows the
// whole instance down for a while, which the server itself reports, is taken out of the comparison.
package concurrency

import (
	"math"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/load"
)

const (
	// usualShare is the share of the slots up to which a server is expected to work at full speed. All slots are used
	// only if that was found to pay.
	usualShare = 0.8
	// gain is the factor by which all slots have to increase what is completed.
	gain = 1.05
	// enoughSamples is the number of requests after which an average says something. Requests of one route differ by
	// about a third.
	enoughSamples = 20
	// warmUp is the number of requests that are left out at first: they open connections, their nested calls, too.
	warmUp = 10
	// paceChange is the relative change of the slowness after which a request no longer says how it depends on the others:
	// when the change happened is known only roughly.
	paceChange = 1.15
	// usualPace is the slowness above which requests are left out: those that end before it changes are the short ones.
	usualPace = 1.5
	// routeSamples is the number of requests after which the usual work of a route is known.
	routeSamples = 10
	// validity is how long a finding holds. Then all slots are tried once more, because the server may have changed.
	validity = time.Minute
	// patience is how long a daemon that makes no trials of its own waits for the finding of another one.
	patience = 20 * time.Second
)

// State is what is known of one server. It is not safe for concurrent use.
type State struct {
	now      time.Time
	running  int
	slowness float64
	// paces counts the changes of the slowness.
	paces int
	// work is the time that has passed at usual speed, taken the time integral of the number of requests.
	work  time.Duration
	taken float64
	// routes holds the work of each route's requests while no more than the usual share of the slots was taken.
	routes map[string]*average
	// ended counts the requests, known the routes whose usual work is known.
	ended, known int
	// many is the relative time of requests while nearly all slots were taken, and manyTaken how many were.
	many, manyTaken average

	slots int
	// found is in force since at; own is set if it was found here.
	found load.Finding
	at    time.Time
	own   bool
	// tries is set if the daemon finds out by itself, waiting is since when one that does not has had to do without a
	// finding.
	tries   bool
	waiting time.Time
}

// Mark is when a request began.
type RequestStart struct {
	at    time.Time
	paces int
	work  time.Duration
	taken float64
}

// New returns a state that knows nothing of the server.
func New() *State { return &State{slowness: 1, routes: make(map[string]*average), tries: true} }

// Changed says how many requests the server runs from now on and how slow its instance is; 1 is as usual.
func (s *State) SetLoad(now time.Time, running int, slowness float64) {
	s.advance(now)

	slowness = max(1, slowness)
	if slowness > s.slowness*paceChange || s.slowness > slowness*paceChange {
		s.paces++
	}

	s.running, s.slowness = running, slowness
}

// Begin returns the mark of a request that begins now.
func (s *State) RequestStarted(now time.Time) RequestStart {
	s.advance(now)

	return RequestStart{at: now, paces: s.paces, work: s.work, taken: s.taken}
}

// Ended adds a request that the server has responded to.
func (s *State) RequestEnded(now time.Time, route string, begun RequestStart) {
	s.advance(now)

	s.ended++

	elapsed := now.Sub(begun.at)
	if s.ended <= warmUp || elapsed <= 0 || s.slots == 0 || s.paces != begun.paces || s.slowness > usualPace {
		return
	}

	usual := s.routes[route]
	if usual == nil {
		usual = &average{}
		s.routes[route] = usual
	}

	work := (s.work - begun.work).Seconds()
	taken := (s.taken - begun.taken) / elapsed.Seconds()

	switch limit := usualSlots(s.slots); {
	case taken < float64(limit)+0.5:
		if usual.add(work); usual.samples == routeSamples {
			s.known++
		}
	case taken >= float64(limit+s.slots)/2 && usual.samples >= routeSamples && s.trying(now):
		s.many.add(work / usual.value)
		s.manyTaken.add(taken)
		s.conclude(now)
	}
}

// conclude compares what the server completes once enough requests have ended.
func (s *State) conclude(now time.Time) {
	if s.many.samples < enoughSamples {
		return
	}

	s.found = load.Finding{Slots: s.slots, Limit: usualSlots(s.slots)}
	if s.manyTaken.value/s.many.value >= gain*float64(usualSlots(s.slots)) {
		s.found.Limit = s.slots
	}

	s.at, s.own, s.waiting = now, true, time.Time{}
	s.many, s.manyTaken = average{}, average{}
}

// Limit is the number of requests that the server should run at once, of those that it has slots for.
func (s *State) Limit(now time.Time, slots int) int {
	if s.slots != slots {
		s.slots, s.known = slots, 0
		clear(s.routes)

		s.many, s.manyTaken = average{}, average{}
	}

	switch {
	case s.holds(now):
		return s.found.Limit
	case s.trying(now):
		return slots
	default:
		return usualSlots(slots)
	}
}

// holds reports whether there is a finding for the present number of slots.
func (s *State) holds(now time.Time) bool {
	return s.found.Limit > 0 && s.found.Slots == s.slots && now.Sub(s.at) <= validity
}

// trying reports whether all slots are used to find out what they complete.
func (s *State) trying(now time.Time) bool {
	if s.holds(now) || s.known == 0 {
		return false
	}

	if s.waiting.IsZero() {
		s.waiting = now
	}

	return s.tries || now.Sub(s.waiting) >= patience
}

// Found returns the finding in force; its limit is zero if there is none.
func (s *State) Finding(now time.Time) load.Finding {
	if !s.holds(now) {
		return load.Finding{}
	}

	return s.found
}

// FoundHere is Found without what was taken from others.
func (s *State) OwnFinding(now time.Time) load.Finding {
	if !s.own {
		return load.Finding{}
	}

	return s.Finding(now)
}

// SetTries says whether the daemon finds out by itself, or takes what others find.
func (s *State) SetTrialsEnabled(tries bool) { s.tries = tries }

// Tries reports whether the daemon finds out by itself.
func (s *State) TrialsEnabled() bool { return s.tries }

// Take takes what an earlier run or other daemons have found, unless something was found here.
func (s *State) Adopt(now time.Time, found load.Finding) {
	if found.Limit > 0 && (!s.own || !s.holds(now)) {
		s.found, s.at, s.own, s.waiting = found, now, false, time.Time{}
	}
}

func usualSlots(slots int) int { return max(1, int(math.Round(usualShare*float64(slots)))) }

func (s *State) advance(now time.Time) {
	if !s.now.IsZero() && now.After(s.now) {
		elapsed := now.Sub(s.now)
		s.work += time.Duration(float64(elapsed) / s.slowness)
		s.taken += float64(s.running) * elapsed.Seconds()
	}

	s.now = now
}

// average is a moving average.
type average struct {
	value   float64
	samples int
}

func (a *average) add(sample float64) {
	a.samples = min(a.samples+1, enoughSamples)
	a.value += (sample - a.value) / float64(a.samples)
}
