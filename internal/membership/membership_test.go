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

// Guards against changes that are sent to a neighbour more than once.
func TestQuiet(t *testing.T) {
	s := newSimulation(3, 40, places())
	s.startAll(30 * time.Second)

	before := s.told
	s.run(10 * time.Second)
	require.Equal(t, before, s.told)
}

// Guards against a difference that no delta repairs: one table lost a member, another one an update.
func TestRepair(t *testing.T) {
	s := newSimulation(4, 20, places())
	s.startAll(20 * time.Second)

	table := &s.nodes[5].state.table
	table.put(s.now, table.index[s.nodes[6].id].member.WithStatus(instance.Dead, 0), "")
	table.remove(s.now.Add(time.Second))
	s.nodes[7].state.table.put(s.now, instance.Member{ID: s.nodes[8].id, Place: s.nodes[8].place}, "")
	require.NotEmpty(t, s.differences())

	s.run(20 * time.Second)
	require.Empty(t, s.differences())
}

// Guards against fleets that stay apart after a partition that outlasted the time for which members
// are held.
func TestLongPartition(t *testing.T) {
	s := newSimulation(5, 30, places(), WithHold(30*time.Second))
	s.startAll(20 * time.Second)

	s.blocked = func(a, b *node) bool { return a.place.Region != b.place.Region }
	s.run(5 * time.Minute)
	require.NotEmpty(t, s.differences())

	s.heal()
	s.run(time.Minute)
	require.Empty(t, s.differences())
}

// Guards against a seed that many starting daemons overload.
func TestBusy(t *testing.T) {
	s := newSimulation(6, 200, places())
	s.startAll(20 * time.Second)

	page := func(from string) ReplyPage {
		for _, effect := range s.nodes[0].state.Apply(s.now, PageRequested{From: instance.ID(from), Limit: pageSize}) {
			if reply, ok := effect.(ReplyPage); ok {
				return reply
			}
		}

		return ReplyPage{}
	}
	for at := range pullLimit {
		reply := page(string(rune('a' + at)))
		require.False(t, reply.Busy)
		require.Len(t, reply.Members, pageSize)
		require.True(t, reply.More)
	}

	refused := page("z")
	require.True(t, refused.Busy)
	require.Len(t, refused.Members, contactLimit)

	s.now = s.now.Add(pullTimeout)
	require.False(t, page("z").Busy)
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

// Guards against a reducer that depends on anything but its events: a recording could not be replayed.
func TestDeterminism(t *testing.T) {
	run := func() []Dump {
		s := newSimulation(7, 30, places())
		s.startAll(10 * time.Second)
		s.loss, s.repeat = 0.2, 0.2
		s.nodes[4].up = false
		s.run(20 * time.Second)

		dumps := make([]Dump, 0, len(s.nodes))
		for _, n := range s.nodes {
			dumps = append(dumps, n.state.Dump())
		}

		return dumps
	}
	require.Equal(t, run(), run())
}

// Guards against a daemon that passes on the whole table that it has just pulled.
func TestJoinCost(t *testing.T) {
	s := newSimulation(8, 100, places())
	for _, n := range s.nodes[1:] {
		s.start(n)
	}

	s.run(20 * time.Second)

	before := s.told
	s.start(s.nodes[0])
	s.run(10 * time.Second)
	require.Empty(t, s.differences())
	// Members contact between three and four neighbours, and are told of one entry once over each link.
	require.Less(t, s.told-before, 4*len(s.nodes))
}
