package membership

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

func places() []instance.Place {
	return []instance.Place{
		{Region: "west", Domain: "milwaukee"},
		{Region: "west", Domain: "rapids"},
		{Region: "west", Domain: "lansing"},
		{Region: "east", Domain: "cleveland"},
		{Region: "east", Domain: "toronto"},
	}
}

// Guards against a table that does not spread, and a crash that is not noticed.
func TestConvergence(t *testing.T) {
	s := newSimulation(1, 40, places())
	s.startAll(10 * time.Second)
	require.Empty(t, s.differences())

	s.nodes[7].up = false
	s.run(15 * time.Second)
	require.Empty(t, s.differences())

	s.start(s.nodes[7])
	s.run(5 * time.Second)
	require.Empty(t, s.differences())
}

// Guards against a pause that leads to a death although the daemon is back, or to a daemon that blames
// its own silence on others.
func TestPause(t *testing.T) {
	for _, pause := range []time.Duration{2 * time.Second, 6 * time.Second, time.Minute} {
		s := newSimulation(2, 20, places())
		s.startAll(10 * time.Second)

		s.nodes[3].paused = true
		s.run(pause)
		s.resume(s.nodes[3])
		s.run(10 * time.Second)
		require.Empty(t, s.differences())
	}
}

// Guards against a second daemon with the same ID going unnoticed.
func TestSuperseded(t *testing.T) {
	s := New()
	now := time.Unix(100, 0)
	self := instance.Member{ID: "a", Incarnation: 5}
	s.Apply(now, Started{Self: self})

	heard := func(incarnation instance.Incarnation) []Effect {
		other := instance.Member{ID: "a", Incarnation: incarnation}

		return s.Apply(now, ExchangeReceived{Message: Message{From: "b", Members: []instance.Member{other}}})
	}
	// The clock went back since the last run, and this run is not ready.
	heard(8)
	require.Equal(t, instance.Incarnation(9), s.Self().Incarnation)

	now = now.Add(time.Minute)
	require.Contains(t, s.Apply(now, Tick{}), Ready{Alone: true})
	require.Contains(t, heard(10), Superseded{By: instance.Member{ID: "a", Incarnation: 10}})
}
