package concurrency_test

import (
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/concurrency"
	"github.com/tarragonmill/tarragonmill/internal/load"
)

// job is a request at the simulated server. It ends once no work remains.
type job struct {
	route     string
	remaining time.Duration
	start     concurrency.RequestStart
}

// server simulates a backend server. It works overloadFactor times slower while more than fullSpeedJobs run, and also
// slower by the slowness of its instance.
type server struct {
	slots, fullSpeedJobs int
	overloadFactor       float64
	jobRandom            *rand.Rand
	slownessRandom       *rand.Rand
	state                *concurrency.State
	// obeysLimit is set if the server runs no more jobs than state.Limit returns; otherwise it uses all slots.
	obeysLimit bool
	now        time.Time
	slowness   float64
	jobs       []job
	completed  int
}

func newServer(slots, fullSpeedJobs int, overloadFactor float64, seed uint64) *server {
	return &server{
		slots: slots, fullSpeedJobs: fullSpeedJobs, overloadFactor: overloadFactor,
		jobRandom:      rand.New(rand.NewPCG(seed, 0)),
		slownessRandom: rand.New(rand.NewPCG(seed, 1)), state: concurrency.New(), obeysLimit: true,
		now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC), slowness: 1,
	}
}

// step is the resolution of the simulation.
const step = time.Millisecond

// run simulates a period in which there are always requests to start, while no more than demand run at once.
func (s *server) run(period time.Duration, demand int) {
	for end := s.now.Add(period); s.now.Before(end); s.now = s.now.Add(step) {
		s.changeSlowness()

		limit := s.state.Limit(s.now, s.slots)
		if !s.obeysLimit {
			limit = s.slots
		}

		for len(s.jobs) < min(demand, limit) {
			s.jobs = append(s.jobs, s.newJob())
		}

		s.state.SetLoad(s.now, len(s.jobs), s.slowness)

		speed := 1 / s.slowness
		if len(s.jobs) > s.fullSpeedJobs {
			speed /= s.overloadFactor
		}

		s.jobs = slices.DeleteFunc(s.jobs, func(j job) bool {
			if j.remaining > 0 {
				return false
			}

			s.state.RequestEnded(s.now, j.route, j.start)
			s.completed++

			return true
		})

		for n := range s.jobs {
			s.jobs[n].remaining -= time.Duration(float64(step) * speed)
		}
	}
}

func (s *server) newJob() job {
	j := job{route: "lookup", start: s.state.RequestStarted(s.now)}
	work := 160 * time.Millisecond

	if s.jobRandom.IntN(3) == 0 {
		j.route, work = "order", 210*time.Millisecond
	}

	j.remaining = time.Duration(float64(work) * (0.7 + 0.6*s.jobRandom.Float64()))

	return j
}

// changeSlowness makes the instance seven times slower during a third of the time, in phases of about 500 ms.
func (s *server) changeSlowness() {
	if s.slownessRandom.IntN(500) == 0 {
		s.slowness = 1
		if s.slownessRandom.IntN(3) == 0 {
			s.slowness = 7
		}
	}
}

// TestServerSlowWhenFull guards against using all slots of a server that completes fewer requests with all of them
// than with some.
func TestServerSlowWhenFull(t *testing.T) {
	const slots, fullSpeedJobs, overloadFactor = 9, 7, 1.7

	for seed := range uint64(10) {
		s := newServer(slots, fullSpeedJobs, overloadFactor, seed)
		s.run(20*time.Second, slots)

		all := newServer(slots, fullSpeedJobs, overloadFactor, seed)
		all.obeysLimit = false
		all.run(20*time.Second, slots)
		require.Greater(t, s.completed, all.completed*115/100, "seed %d", seed)
	}
}

// TestServerFastWhenFull guards against leaving slots unused at a server that works at full speed with all of them.
func TestServerFastWhenFull(t *testing.T) {
	for _, slots := range []int{1, 2, 6, 9, 40} {
		limits := 0

		for seed := range uint64(20) {
			s := newServer(slots, slots, 1, seed)
			s.run(20*time.Second, slots)
			limits += s.state.Limit(s.now, slots)
		}

		require.GreaterOrEqual(t, limits, 20*slots*9/10, "%d slots", slots)
	}
}

// TestLowDemand guards against a limit that is measured while far fewer requests run.
func TestLowDemand(t *testing.T) {
	s := newServer(9, 7, 1.7, 1)
	s.run(20*time.Second, 3)
	require.GreaterOrEqual(t, s.state.Limit(s.now, 9), 7)
}

// TestNumberOfSlotsChanged guards against a limit that was measured for another number of slots.
func TestNumberOfSlotsChanged(t *testing.T) {
	s := newServer(9, 7, 1.7, 1)
	s.run(20*time.Second, 9)

	require.Equal(t, 3, s.state.Limit(s.now, 4))
	require.Equal(t, 1, s.state.Limit(s.now, 1))
	require.Equal(t, 7, s.state.Limit(s.now, 9))
}

// TestAdoptFinding guards against a new trial, with fewer slots until it ends, after each restart of a daemon.
func TestAdoptFinding(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	state := concurrency.New()
	require.Equal(t, 5, state.Limit(now, 6))

	state.Adopt(now, load.Finding{Slots: 6, Limit: 6})
	require.Equal(t, 6, state.Limit(now, 6))
	require.Equal(t, load.Finding{Slots: 6, Limit: 6}, state.Finding(now))

	// The finding does not apply to another number of slots, and it expires.
	require.Equal(t, 7, state.Limit(now, 9))
	require.Equal(t, 6, state.Limit(now, 6))
	require.Equal(t, 5, state.Limit(now.Add(2*time.Minute), 6))
}

// TestTrialsDisabled guards against trials on all daemons of a service at the same time, and against a daemon that
// waits forever for the finding of another.
func TestTrialsDisabled(t *testing.T) {
	s := newServer(9, 9, 1, 1)
	s.state.SetTrialsEnabled(false)
	s.run(10*time.Second, 9)
	require.Equal(t, 7, s.state.Limit(s.now, 9))

	s.run(20*time.Second, 9)
	require.Equal(t, 9, s.state.Limit(s.now, 9))
}
