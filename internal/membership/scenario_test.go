package membership

import (
	"math/rand/v2"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// draw returns a number below a limit.
type draw func(limit int, label string) int

// history is the latest announcement of each member at each node, by which a step back shows.
type history map[*State]map[instance.ID]instance.Member

func (h history) check(s *simulation) error {
	for _, n := range s.nodes {
		if h[n.state] == nil {
			h[n.state] = map[instance.ID]instance.Member{}
		}

		for _, e := range n.state.table.entries {
			if before, ok := h[n.state][e.member.ID]; ok && compare(e.member, before) < 0 {
				return errors.Newf("%s went from %v to %v", n.id, before, e.member)
			}

			h[n.state][e.member.ID] = e.member
		}
	}

	return nil
}

// scenario runs a fleet through faults, heals them, and returns an error if an announcement was
// overridden by an older one, or if the tables don't agree with the truth at the end.
func scenario(draw draw, options ...Option) error {
	const hold = 40 * time.Second

	options = append([]Option{WithHold(hold)}, options...)
	s := newSimulation(uint64(draw(1<<30, "seed")), 3+draw(12, "size"), places()[:1+draw(5, "places")], options...)
	pick := func() *node { return s.nodes[draw(len(s.nodes), "node")] }
	seen := history{}

	for _, n := range s.nodes {
		n.skew = time.Duration(draw(7200, "skew")-3600) * time.Second
	}

	s.startAll(5 * time.Second)

	for range draw(30, "steps") {
		switch draw(10, "action") {
		case 0:
			pick().up = false
		case 1:
			s.start(pick())
		case 2:
			pick().paused = true
		case 3:
			s.resume(pick())
		case 4:
			if n := pick(); n.up && !n.paused {
				s.apply(n, DrainStarted{})
			}
		case 5:
			if n := pick(); n.up && !n.paused {
				s.apply(n, LeaveStarted{})
				s.run(time.Second)
				n.up = false
			}
		case 6:
			place := pick().place
			s.blocked = func(a, b *node) bool { return (a.place == place) != (b.place == place) }
		case 7:
			one := pick()
			s.blocked = func(a, b *node) bool { return a == one || b == one }
		case 8:
			s.loss, s.repeat = float64(draw(40, "loss"))/100, float64(draw(40, "repeat"))/100
			s.delay = time.Duration(1+draw(600, "delay")) * time.Millisecond
		case 9:
			// A message from long ago arrives again.
			if n := pick(); n.up && !n.paused && len(s.captured) > 0 {
				s.serve(n, s.captured[draw(len(s.captured), "message")], func(Effect) {})
			}

			if err := seen.check(s); err != nil {
				return err
			}
		}

		s.run(time.Duration(draw(6000, "wait")) * time.Millisecond)

		if err := seen.check(s); err != nil {
			return err
		}
	}

	s.heal()
	// Members that were held as accused are declared dead after the hold time.
	s.run(hold + 40*time.Second)

	if found := s.differences(); len(found) > 0 {
		return errors.Newf("tables are wrong: %v", found)
	}

	return seen.check(s)
}

// heal ends all faults but crashes. The first seed runs, so that nobody is out of reach.
func (s *simulation) heal() {
	s.loss, s.repeat, s.delay = 0, 0, 2*time.Millisecond
	s.blocked = func(_, _ *node) bool { return false }

	for _, n := range s.nodes {
		if n.paused {
			s.resume(n)
		}
	}

	if !s.nodes[0].up {
		s.start(s.nodes[0])
	}
}

// Guards against tables that never agree after faults, and against old announcements that win.
func TestFaults(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		err := scenario(func(limit int, label string) int { return rapid.IntRange(0, limit-1).Draw(t, label) })
		if err != nil {
			t.Fatal(err)
		}
	})
}

// Guards against a scenario that can't tell: without the check of incarnations, or with dead members
// forgotten at once, it has to fail.
func TestFaultsWithoutGuard(t *testing.T) {
	for name, option := range map[string]Option{
		"incarnation": func(o *options) { o.unguarded = true },
		"retention":   WithRetention(time.Second),
	} {
		t.Run(name, func(t *testing.T) {
			for seed := range uint64(50) {
				random := rand.New(rand.NewPCG(seed, 0))
				if scenario(func(limit int, _ string) int { return random.IntN(limit) }, option) != nil {
					return
				}
			}

			t.Error("no scenario fails without the guard")
		})
	}
}

// cut separates a failure domain or a region for 30 s and returns the members that were declared
// dead, and what is wrong after the partition has healed.
func cut(draw draw, options ...Option) (dead, wrong []string) {
	s := newSimulation(uint64(draw(1<<30, "seed")), 10+draw(20, "size"), places(), options...)
	s.startAll(8 * time.Second)

	place, region := places()[draw(5, "place")], draw(2, "region") == 1
	inside := func(n *node) bool { return n.place == place || region && n.place.Region == place.Region }
	s.blocked = func(a, b *node) bool { return inside(a) != inside(b) }
	s.run(30 * time.Second)
	s.heal()

	// Contact returns to some members before others, which must not pass for deaths either.
	for range 150 {
		for _, n := range s.nodes {
			for _, e := range n.state.table.entries {
				if !e.live() {
					dead = append(dead, string(n.id)+" lost "+string(e.member.ID))
				}
			}
		}

		s.run(100 * time.Millisecond)
	}

	return dead, s.differences()
}

// Guards against a partition of a whole failure domain or region that passes for many deaths.
func TestPartition(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		dead, wrong := cut(func(limit int, label string) int { return rapid.IntRange(0, limit-1).Draw(t, label) })
		if len(dead)+len(wrong) > 0 {
			t.Fatal(dead[:min(5, len(dead))], wrong)
		}
	})
}

// Guards against a partition test that can't tell.
func TestPartitionWithoutGuard(t *testing.T) {
	random := rand.New(rand.NewPCG(1, 0))
	dead, _ := cut(func(limit int, _ string) int { return random.IntN(limit) }, func(o *options) { o.hasty = true })
	require.NotEmpty(t, dead)
}

// Guards against a graph that falls apart for some member set, or a member with many neighbours.
func TestGraph(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		size := rapid.IntRange(1, 200).Draw(t, "size")
		accused := rapid.IntRange(0, 100).Draw(t, "accused")
		s := newSimulation(rapid.Uint64().Draw(t, "seed"), size, places()[:rapid.IntRange(1, 5).Draw(t, "places")])
		table := table{index: map[instance.ID]*entry{}}

		for _, n := range s.nodes {
			member := instance.Member{ID: n.id, Place: n.place}
			if s.random.IntN(100) < accused {
				member.Status = instance.Accused
			}

			table.put(s.now, member, "")
		}

		edges := map[instance.ID][]instance.ID{}

		for _, e := range table.entries {
			chosen := neighbours(table.entries, e)
			if len(chosen) > 12 {
				t.Fatalf("%d neighbours", len(chosen))
			}

			for _, id := range chosen {
				edges[e.member.ID] = append(edges[e.member.ID], id)
				edges[id] = append(edges[id], e.member.ID)
			}
		}

		reached := map[instance.ID]bool{}
		visit := []instance.ID{table.entries[0].member.ID}

		for len(visit) > 0 {
			id := visit[0]
			visit = visit[1:]

			if !reached[id] {
				reached[id] = true
				visit = append(visit, edges[id]...)
			}
		}

		if len(reached) != size {
			t.Fatalf("%d of %d members are connected", len(reached), size)
		}
	})
}

// Guards against a change that takes more than 2 s, or a start that takes more than 1 s, at the target
// size while daemons are replaced.
func TestTargetSize(t *testing.T) {
	const size, drained = 610, 300

	s := newSimulation(1, size, places())
	s.far = 20 * time.Millisecond
	s.preload()
	s.run(3 * time.Second)
	require.Empty(t, s.differences())

	for at := range 10 {
		n := s.nodes[10+at]
		s.apply(n, LeaveStarted{})
		s.run(100 * time.Millisecond)
		n.up = false
		s.start(n)
		s.run(200 * time.Millisecond)
	}

	s.run(800 * time.Millisecond)

	for _, n := range s.nodes {
		require.True(t, n.ready, n.id)
	}

	s.apply(s.nodes[drained], DrainStarted{})
	s.run(2 * time.Second)

	for _, n := range s.nodes {
		require.Equal(t, instance.Draining, n.state.table.index[s.nodes[drained].id].member.Status, n.id)
	}
}
