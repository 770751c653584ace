// Package concurrency finds out how many requests at once the backend server beside a daemon handles best. It does no
// I/O and reads no clock.
//
// Some servers work slower when nearly all of their slots are taken, and then complete less with all slots than with
// some of them. The package compares how long requests take with different numbers of them at the server. What slows
// the whole instance down for a while, which the server itself reports, is taken out of the comparison.
package concurrency

import (
	"math"
	"time"
)

const (
	// usualShare is the share of the slots up to which a server is expected to work at full speed. Beyond it, slots
	// are used only if that was found to pay.
	usualShare = 0.8
	// steps is the largest number of steps in which slots beyond the usual share are tried. Fewer slots at a time make no
	// difference that could be told from chance.
	steps = 2
	// gain is the factor by which a step has to increase what is completed. It tells a server that works as fast with
	// more requests from one that works a little slower.
	gain = 1.06
	// enoughSamples is the number of requests after which an average says something. Requests of one route differ by
	// about a third, and reports of the slowness are late.
	enoughSamples = 30
	// paceChange is the relative change of the slowness after which a request no longer says how it depends on the others:
	// when the change happened is known only roughly.
	paceChange = 1.15
	// validity is how long a decision holds. Then the step is tried once more, because the server may have changed.
	validity = time.Minute
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
	// few is the relative time of requests while no more than the usual share of the slots was taken, more that by the
	// steps above it.
	few  average
	more []trial
	// slots is the number of slots to which few and more belong.
	slots   int
	assumed Finding
}

// Mark is when a request began.
type Mark struct {
	at    time.Time
	paces int
	work  time.Duration
	taken float64
}

// New returns a state that knows nothing of the server.
func New() *State { return &State{slowness: 1, routes: make(map[string]*average)} }

// Changed says how many requests the server runs from now on and how slow its instance is; 1 is as usual.
func (s *State) Changed(now time.Time, running int, slowness float64) {
	s.advance(now)

	slowness = max(1, slowness)
	if slowness > s.slowness*paceChange || s.slowness > slowness*paceChange {
		s.paces++
	}

	s.running, s.slowness = running, slowness
}

// Begin returns the mark of a request that begins now.
func (s *State) Begin(now time.Time) Mark {
	s.advance(now)

	return Mark{at: now, paces: s.paces, work: s.work, taken: s.taken}
}

// Ended adds a request that the server has responded to.
func (s *State) Ended(now time.Time, route string, begun Mark) {
	s.advance(now)

	elapsed := now.Sub(begun.at)
	if elapsed <= 0 || s.slots == 0 || s.paces != begun.paces {
		return
	}

	usual := s.routes[route]
	if usual == nil {
		usual = &average{}
		s.routes[route] = usual
	}

	work := (s.work - begun.work).Seconds()
	taken := int(math.Round((s.taken - begun.taken) / elapsed.Seconds()))
	if taken <= usualSlots(s.slots) {
		usual.add(work)
	}

	if usual.value > 0 {
		s.add(now, taken, work/usual.value)
	}
}

// Limit is the number of requests that the server should run at once, of those that it has slots for. While it is not
// known whether a step pays, it is tried.
func (s *State) Limit(now time.Time, slots int) int {
	s.use(now, slots)

	for n := range s.more {
		step := &s.more[n]
		step.expire(now)

		switch {
		case !step.decided && !s.few.known(), step.decided && !step.pays:
			return s.slotsOf(n)
		case !step.decided:
			return s.slotsOf(n + 1)
		}
	}

	return slots
}

// Found is the limit once it is known of each step whether it pays, or zero.
func (s *State) Found() int {
	for n := range s.more {
		step := &s.more[n]

		switch {
		case !step.decided:
			return 0
		case !step.pays:
			return s.slotsOf(n)
		}
	}

	return s.slots
}

// Assume takes what was found for such a server elsewhere or earlier. It is tried anew after some time.
func (s *State) Assume(found Finding) { s.assumed, s.slots = found, 0 }

// Finding is a limit that was found for a server with a number of slots.
type Finding struct{ Slots, Limit int }

// use begins anew for a server with another number of slots.
func (s *State) use(now time.Time, slots int) {
	if s.slots == slots {
		return
	}

	s.slots, s.few, s.more = slots, average{}, make([]trial, stepsOf(slots))
	if s.assumed.Slots != slots || s.assumed.Limit <= 0 {
		return
	}

	for n := range s.more {
		s.more[n] = trial{decided: true, at: now, pays: s.slotsOf(n+1) <= s.assumed.Limit}
	}
}

// slotsOf is the number of slots up to and with a step; step 0 is the usual share.
func (s *State) slotsOf(step int) int {
	return min(usualSlots(s.slots)+step*width(s.slots), s.slots)
}

func usualSlots(slots int) int { return max(1, int(usualShare*float64(slots))) }

// width is the number of slots in a step.
func width(slots int) int { return max(1, divideUp(slots-usualSlots(slots), steps)) }

func stepsOf(slots int) int { return divideUp(slots-usualSlots(slots), width(slots)) }

func divideUp(a, b int) int { return (a + b - 1) / b }

// add adds the relative time of a request during which a number of slots was taken.
func (s *State) add(now time.Time, taken int, relative float64) {
	step := min(divideUp(taken-usualSlots(s.slots), width(s.slots)), len(s.more))
	if step <= 0 {
		s.few.add(relative)

		return
	}

	before := s.few
	if step > 1 {
		before = s.more[step-2].average
	}

	if !before.known() {
		return
	}

	tried := &s.more[step-1]
	tried.add(relative)

	if !tried.decided && tried.known() {
		tried.decided, tried.at = true, now
		tried.pays = float64(s.slotsOf(step))/tried.value >= gain*float64(s.slotsOf(step-1))/before.value
	}
}

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

func (a *average) known() bool { return a.samples >= enoughSamples }

// trial finds out whether a step pays.
type trial struct {
	average
	decided, pays bool
	at            time.Time
}

func (t *trial) expire(now time.Time) {
	if t.decided && now.Sub(t.at) > validity {
		*t = trial{}
	}
}
