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
	defaultSlotShare = 0.8
	// gain is the factor by which all slots have to increase what is completed.
	minGain = 1.05
	// enoughSamples is the number of requests after which an average says something. Requests of one route differ by
	// about a third.
	averageSamples = 20
	// warmUp is the number of requests that are left out at first: they open connections, their nested calls, too.
	warmUpRequests = 10
	// paceChange is the relative change of the slowness after which a request no longer says how it depends on the others:
	// when the change happened is known only roughly.
	slownessChangeFactor = 1.15
	// usualPace is the slowness above which requests are left out: those that end before it changes are the short ones.
	maxSlowness = 1.5
	// routeSamples is the number of requests after which the usual work of a route is known.
	baselineSamples = 10
	// validity is how long a finding holds. Then all slots are tried once more, because the server may have changed.
	findingValidity = time.Minute
	// patience is how long a daemon that makes no trials of its own waits for the finding of another one.
	peerFindingTimeout = 20 * time.Second
)

// State is what is known of one server. It is not safe for concurrent use.
type State struct {
	updatedAt time.Time
	running   int
	slowness  float64
	// paces counts the changes of the slowness.
	slownessChanges int
	// work is the time that has passed at usual speed, taken the time integral of the number of requests.
	scaledTime     time.Duration
	requestSeconds float64
	// routes holds the work of each route's requests while no more than the usual share of the slots was taken.
	baselines map[string]*average
	// ended counts the requests, known the routes whose usual work is known.
	endedRequests, routesWithBaseline int
	// many is the relative time of requests while nearly all slots were taken, and manyTaken how many were.
	highLoadSlowdown, highLoadRunning average

	slots int
	// found is in force since at; own is set if it was found here.
	finding   load.Finding
	foundAt   time.Time
	foundHere bool
	// tries is set if the daemon finds out by itself, waiting is since when one that does not has had to do without a
	// finding.
	trialsEnabled bool
	waitingSince  time.Time
}

// Mark is when a request began.
type RequestStart struct {
	at              time.Time
	slownessChanges int
	scaledTime      time.Duration
	requestSeconds  float64
}

// New returns a state that knows nothing of the server.
func New() *State {
	return &State{slowness: 1, baselines: make(map[string]*average), trialsEnabled: true}
}

// Changed says how many requests the server runs from now on and how slow its instance is; 1 is as usual.
func (s *State) SetLoad(now time.Time, running int, slowness float64) {
	s.advance(now)

	slowness = max(1, slowness)
	if slowness > s.slowness*slownessChangeFactor || s.slowness > slowness*slownessChangeFactor {
		s.slownessChanges++
	}

	s.running, s.slowness = running, slowness
}

// Begin returns the mark of a request that begins now.
func (s *State) RequestStarted(now time.Time) RequestStart {
	s.advance(now)

	return RequestStart{at: now, slownessChanges: s.slownessChanges, scaledTime: s.scaledTime, requestSeconds: s.requestSeconds}
}

// Ended adds a request that the server has responded to.
func (s *State) RequestEnded(now time.Time, route string, start RequestStart) {
	s.advance(now)

	s.endedRequests++

	elapsed := now.Sub(start.at)
	if s.endedRequests <= warmUpRequests || elapsed <= 0 || s.slots == 0 || s.slownessChanges != start.slownessChanges || s.slowness > maxSlowness {
		return
	}

	baseline := s.baselines[route]
	if baseline == nil {
		baseline = &average{}
		s.baselines[route] = baseline
	}

	scaledTime := (s.scaledTime - start.scaledTime).Seconds()
	running := (s.requestSeconds - start.requestSeconds) / elapsed.Seconds()

	switch defaultLimit := defaultSlots(s.slots); {
	case running < float64(defaultLimit)+0.5:
		if baseline.add(scaledTime); baseline.samples == baselineSamples {
			s.routesWithBaseline++
		}
	case running >= float64(defaultLimit+s.slots)/2 && baseline.samples >= baselineSamples && s.inTrial(now):
		s.highLoadSlowdown.add(scaledTime / baseline.value)
		s.highLoadRunning.add(running)
		s.evaluateTrial(now)
	}
}

// conclude compares what the server completes once enough requests have ended.
func (s *State) evaluateTrial(now time.Time) {
	if s.highLoadSlowdown.samples < averageSamples {
		return
	}

	s.finding = load.Finding{Slots: s.slots, Limit: defaultSlots(s.slots)}
	if s.highLoadRunning.value/s.highLoadSlowdown.value >= minGain*float64(defaultSlots(s.slots)) {
		s.finding.Limit = s.slots
	}

	s.foundAt, s.foundHere, s.waitingSince = now, true, time.Time{}
	s.highLoadSlowdown, s.highLoadRunning = average{}, average{}
}

// Limit is the number of requests that the server should run at once, of those that it has slots for.
func (s *State) Limit(now time.Time, slots int) int {
	if s.slots != slots {
		s.slots, s.routesWithBaseline = slots, 0
		clear(s.baselines)

		s.highLoadSlowdown, s.highLoadRunning = average{}, average{}
	}

	switch {
	case s.findingValid(now):
		return s.finding.Limit
	case s.inTrial(now):
		return slots
	default:
		return defaultSlots(slots)
	}
}

// holds reports whether there is a finding for the present number of slots.
func (s *State) findingValid(now time.Time) bool {
	return s.finding.Limit > 0 && s.finding.Slots == s.slots && now.Sub(s.foundAt) <= findingValidity
}

// trying reports whether all slots are used to find out what they complete.
func (s *State) inTrial(now time.Time) bool {
	if s.findingValid(now) || s.routesWithBaseline == 0 {
		return false
	}

	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}

	return s.trialsEnabled || now.Sub(s.waitingSince) >= peerFindingTimeout
}

// Found returns the finding in force; its limit is zero if there is none.
func (s *State) Finding(now time.Time) load.Finding {
	if !s.findingValid(now) {
		return load.Finding{}
	}

	return s.finding
}

// FoundHere is Found without what was taken from others.
func (s *State) OwnFinding(now time.Time) load.Finding {
	if !s.foundHere {
		return load.Finding{}
	}

	return s.Finding(now)
}

// SetTries says whether the daemon finds out by itself, or takes what others find.
func (s *State) SetTrialsEnabled(enabled bool) { s.trialsEnabled = enabled }

// Tries reports whether the daemon finds out by itself.
func (s *State) TrialsEnabled() bool { return s.trialsEnabled }

// Take takes what an earlier run or other daemons have found, unless something was found here.
func (s *State) Adopt(now time.Time, finding load.Finding) {
	if finding.Limit > 0 && (!s.foundHere || !s.findingValid(now)) {
		s.finding, s.foundAt, s.foundHere, s.waitingSince = finding, now, false, time.Time{}
	}
}

func defaultSlots(slots int) int { return max(1, int(math.Round(defaultSlotShare*float64(slots)))) }

func (s *State) advance(now time.Time) {
	if !s.updatedAt.IsZero() && now.After(s.updatedAt) {
		elapsed := now.Sub(s.updatedAt)
		s.scaledTime += time.Duration(float64(elapsed) / s.slowness)
		s.requestSeconds += float64(s.running) * elapsed.Seconds()
	}

	s.updatedAt = now
}

// average is a moving average.
type average struct {
	value   float64
	samples int
}

func (a *average) add(sample float64) {
	a.samples = min(a.samples+1, averageSamples)
	a.value += (sample - a.value) / float64(a.samples)
}
