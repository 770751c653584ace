// Package concurrency measures how many requests the backend server beside a daemon should run at once. It does no
// I/O and reads no clock.
//
// Some servers work more slowly when nearly all of their slots are in use, and then complete fewer requests than with
// some slots left free. The package compares how long requests take with up to 80% of the slots in use and with
// nearly all of them in use; a trial is the period in which all slots may be used for this. The result is a finding:
// the number of slots worth using. Times are corrected by the slowness of the instance, which the server itself
// reports, so that a phase in which the whole instance is slow does not count against the number of slots.
package concurrency

import (
	"math"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/load"
)

const (
	// defaultSlotShare is the share of the slots up to which a server is expected to work at full speed. More slots
	// are used only during a trial, or after one has shown that all slots complete more requests.
	defaultSlotShare = 0.8
	// minGain is the factor by which the throughput with all slots has to exceed that with the default share.
	minGain = 1.05
	// averageSamples is the number of requests that the moving averages cover, and the least number for the result of
	// a trial. Requests of one route differ by about a third.
	averageSamples = 20
	// warmUpRequests is the number of requests that are left out after the start, because they open connections, as
	// do their nested calls.
	warmUpRequests = 10
	// slownessChangeFactor is the relative change of the slowness that excludes the requests running at the time from
	// the averages. The time of the change is known only roughly, so their durations cannot be corrected.
	slownessChangeFactor = 1.15
	// maxSlowness is the slowness above which requests are left out. Those that end before the slowness changes again
	// are mostly short ones and would bias the averages.
	maxSlowness = 1.5
	// baselineSamples is the number of requests after which the baseline of a route is valid.
	baselineSamples = 10
	// findingValidity is how long a finding holds. Then a new trial starts, because the server may have changed.
	findingValidity = time.Minute
	// peerFindingTimeout is how long a daemon with trials disabled waits for the finding of another daemon before it
	// runs a trial of its own.
	peerFindingTimeout = 20 * time.Second
)

// State measures one server. It is not safe for concurrent use.
type State struct {
	// updatedAt is the time up to which scaledTime and requestSeconds are counted.
	updatedAt time.Time
	running   int
	slowness  float64
	// slownessChanges counts changes by more than slownessChangeFactor.
	slownessChanges int
	// scaledTime is the elapsed time divided by the slowness: the time that the same work takes at usual speed.
	scaledTime time.Duration
	// requestSeconds is the time integral of the number of running requests.
	requestSeconds float64
	// baselines holds, by route, the average scaled duration in seconds of requests that ran while no more than the
	// default share of the slots was in use.
	baselines map[string]*average
	// endedRequests counts all requests, routesWithBaseline the routes with a valid baseline.
	endedRequests, routesWithBaseline int
	// highLoadSlowdown is the average scaled duration of requests during a trial, relative to the baseline of their
	// routes. highLoadRunning is the average number of requests that ran at the same time.
	highLoadSlowdown, highLoadRunning average

	slots int
	// finding is the last finding, measured or adopted at foundAt. foundHere is set if a trial of this daemon led to
	// it.
	finding   load.Finding
	foundAt   time.Time
	foundHere bool
	// trialsEnabled is set if the daemon runs trials without waiting for findings of others.
	trialsEnabled bool
	// waitingSince is since when a finding has been missing; zero if there is one or no route has a baseline yet.
	waitingSince time.Time
}

// RequestStart is the state of the counters when a request started.
type RequestStart struct {
	at              time.Time
	slownessChanges int
	scaledTime      time.Duration
	requestSeconds  float64
}

// New returns a state without measurements. Trials are enabled.
func New() *State {
	return &State{slowness: 1, baselines: make(map[string]*average), trialsEnabled: true}
}

// SetLoad sets the number of requests that the server runs from now on, and the slowness of its instance: how long
// work takes relative to the usual time. 1 is usual, and lower values count as 1.
func (s *State) SetLoad(now time.Time, running int, slowness float64) {
	s.advance(now)

	slowness = max(1, slowness)
	if slowness > s.slowness*slownessChangeFactor || s.slowness > slowness*slownessChangeFactor {
		s.slownessChanges++
	}

	s.running, s.slowness = running, slowness
}

// RequestStarted returns the state of the counters for a request that starts now.
func (s *State) RequestStarted(now time.Time) RequestStart {
	s.advance(now)

	return RequestStart{
		at: now, slownessChanges: s.slownessChanges, scaledTime: s.scaledTime, requestSeconds: s.requestSeconds,
	}
}

// RequestEnded adds the duration of a request, from start until now, to the averages.
func (s *State) RequestEnded(now time.Time, route string, start RequestStart) {
	s.advance(now)

	s.endedRequests++

	elapsed := now.Sub(start.at)
	if s.endedRequests <= warmUpRequests || elapsed <= 0 || s.slots == 0 ||
		s.slownessChanges != start.slownessChanges || s.slowness > maxSlowness {
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

// evaluateTrial ends a trial once it has averageSamples requests. Throughput is the number of running requests
// divided by the time that each takes, so it is proportional to highLoadRunning / highLoadSlowdown.
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

// Limit returns the number of requests that a server with this number of slots should run at once.
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

// findingValid reports whether there is a finding for the present number of slots that is not too old.
func (s *State) findingValid(now time.Time) bool {
	return s.finding.Limit > 0 && s.finding.Slots == s.slots && now.Sub(s.foundAt) <= findingValidity
}

// inTrial reports whether all slots are used to measure what the server completes with them. There is no trial until
// the baseline of at least one route is valid. inTrial also sets waitingSince.
func (s *State) inTrial(now time.Time) bool {
	if s.findingValid(now) || s.routesWithBaseline == 0 {
		return false
	}

	if s.waitingSince.IsZero() {
		s.waitingSince = now
	}

	return s.trialsEnabled || now.Sub(s.waitingSince) >= peerFindingTimeout
}

// Finding returns the valid finding; its Limit is zero if there is none.
func (s *State) Finding(now time.Time) load.Finding {
	if !s.findingValid(now) {
		return load.Finding{}
	}

	return s.finding
}

// OwnFinding is like Finding, but returns no findings that were adopted.
func (s *State) OwnFinding(now time.Time) load.Finding {
	if !s.foundHere {
		return load.Finding{}
	}

	return s.Finding(now)
}

// SetTrialsEnabled sets whether the daemon runs trials at once. If not, it waits for findings of other daemons, and
// runs a trial only if there is none for peerFindingTimeout.
func (s *State) SetTrialsEnabled(enabled bool) { s.trialsEnabled = enabled }

// TrialsEnabled reports whether the daemon runs trials without waiting for findings of others.
func (s *State) TrialsEnabled() bool { return s.trialsEnabled }

// Adopt uses a finding of an earlier run or of other daemons, unless a trial of this daemon led to a valid one.
func (s *State) Adopt(now time.Time, finding load.Finding) {
	if finding.Limit > 0 && (!s.foundHere || !s.findingValid(now)) {
		s.finding, s.foundAt, s.foundHere, s.waitingSince = finding, now, false, time.Time{}
	}
}

// defaultSlots returns the number of slots in the default share, at least one.
func defaultSlots(slots int) int { return max(1, int(math.Round(defaultSlotShare*float64(slots)))) }

// advance counts the time until now with the load that SetLoad has set.
func (s *State) advance(now time.Time) {
	if !s.updatedAt.IsZero() && now.After(s.updatedAt) {
		elapsed := now.Sub(s.updatedAt)
		s.scaledTime += time.Duration(float64(elapsed) / s.slowness)
		s.requestSeconds += float64(s.running) * elapsed.Seconds()
	}

	s.updatedAt = now
}

// average is a moving average over averageSamples samples.
type average struct {
	value   float64
	samples int
}

func (a *average) add(sample float64) {
	a.samples = min(a.samples+1, averageSamples)
	a.value += (sample - a.value) / float64(a.samples)
}
