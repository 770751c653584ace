package keys

import (
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// runFactor multiplies the number of runs of the model, for example with -keys.long=100.
var runFactor = flag.Int("keys.long", 1, "factor for the number of model runs")

// modelSeed makes the runs in CI reproducible; -rapid.seed overrides it.
const modelSeed = "20260301"

// TestMain sets defaults for the flags of rapid that the command line does not set.
func TestMain(m *testing.M) {
	flag.Parse()

	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })

	defaults := map[string]string{
		"rapid.seed": modelSeed, "rapid.steps": "300", "rapid.checks": fmt.Sprint(300 * *runFactor),
		"rapid.nofailfile": "true",
	}
	for name, value := range defaults {
		if !given[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}

	os.Exit(m.Run())
}

// requiredTransitions are the transitions that TestModel has to reach, so that it does not pass without testing them.
var requiredTransitions = []string{
	"admit", "wait", "replay", "replay from a handover", "admit at the start of a grant",
	"admit at the end of a grant", "admit during an outage", "admit after a successor's claim",
	"admit after a pause", "claim accepted", "claim rejected", "extension accepted",
	"extension without effect", "sign-off accepted", "sign-off for another owner", "base written",
	"records expired before they were read", "recovered by a base", "handover received",
	"old data read", "gap read", "append during an outage", "restart with a running key", "peer base offered",
	"refuse key-reused may-have-run", "refuse key-too-old not-run", "refuse key-too-new not-run",
	"refuse table-full not-run", "refuse draining not-run", "refuse draining may-have-run",
	"refuse key-superseded not-run", "refuse not-owner may-have-run", "refuse owner-lost may-have-run",
	"refuse key-in-doubt may-have-run", "refuse key-running may-have-run",
	"refuse response-not-stored answered", "refuse not-run not-run",
}

// TestModel guards against a second run of a key, a false "not run", the response of another key, and effects that
// depend on anything but the events. It applies random events and all failures that the design page lists, such as
// clock skew, pauses, crashes, outages of the log, expired records, and messages that are lost, delayed, repeated or
// reordered.
func TestModel(t *testing.T) {
	seen := map[string]int{}

	rapid.Check(t, func(t *rapid.T) {
		sim := newSimulation(t, seen, "a", "b", "c")
		sim.rounds(draw(t, 4))
		t.Repeat(sim.actions())

		for _, d := range sim.daemons {
			sim.finishTrace(d)
		}
	})

	requireTransitions(t, seen, requiredTransitions)
}

// requireTransitions requires that a model has reached some transitions, and logs how often it has reached each. It does
// nothing after a failure.
func requireTransitions(t *testing.T, seen map[string]int, required []string) {
	t.Helper()

	if t.Failed() {
		return
	}

	for _, what := range sortedKeys(seen) {
		t.Logf("%8d %s", seen[what], what)
	}

	for _, what := range required {
		require.Positive(t, seen[what], "the model never reached: %s", what)
	}
}

// draw returns a random number from 0 to n-1.
func draw(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }

// pick returns a random one of the values. Repeated values are more likely.
func pick[T any](t *rapid.T, values ...T) T { return values[draw(t, len(values))] }

// actions returns the steps of the model. Steps that are listed several times, with a number in the name, are more
// frequent.
func (sim *simulation) actions() map[string]func(*rapid.T) {
	anyDaemon := func(t *rapid.T) *daemon { return pick(t, sim.daemons...) }
	actions := map[string]func(*rapid.T){
		"tick":    func(t *rapid.T) { sim.apply(anyDaemon(t), Tick{}) },
		"advance": func(t *rapid.T) { sim.advance(t) },
		"read": func(t *rapid.T) {
			d := anyDaemon(t)
			if d.state != nil && !sim.logDown && !d.logUnreachable {
				sim.applyOrDelay(t, "read", d, sim.readLog(d, uint64(len(sim.log))))
			}
		},
		"read old data": func(t *rapid.T) {
			if d := anyDaemon(t); d.state != nil {
				sim.apply(d, sim.readLog(d, uint64(draw(t, len(sim.log)+1))))
				sim.reached["old data read"]++
			}
		},
		"read with a gap": func(t *rapid.T) {
			if d := anyDaemon(t); d.state != nil {
				e := sim.readLog(d, uint64(len(sim.log)))
				e.Records = e.Records[min(len(e.Records), 1+draw(t, 3)):]
				sim.apply(d, e)
				sim.countIf(len(e.Records) > 0, "gap read")
			}
		},
		"deliver":   func(t *rapid.T) { sim.deliver(t, true) },
		"duplicate": func(t *rapid.T) { sim.deliver(t, false) },
		"drop": func(t *rapid.T) {
			if len(sim.network) > 0 {
				i := draw(t, len(sim.network))
				sim.network = slices.Delete(sim.network, i, i+1)
			}
		},
		"pause": func(t *rapid.T) { sim.pause(anyDaemon(t)) },
		"wake":  func(t *rapid.T) { sim.wake(anyDaemon(t)) },
		"crash": func(t *rapid.T) {
			d := anyDaemon(t)
			if draw(t, 4) > 0 {
				return
			}

			sim.countIf(len(d.running) > 0, "restart with a running key")
			sim.restart(d, pick(t, 0, 0, 0, 0, 0, 0, 0, 0, 30*time.Millisecond, 4*time.Second, -4*time.Second,
				90*time.Second, -90*time.Second, 10*time.Minute, -10*time.Minute))
		},
		"drain": func(t *rapid.T) {
			if draw(t, 2) == 0 {
				sim.drain(t, anyDaemon(t))
			}
		},
		"outage": func(t *rapid.T) { sim.logDown = draw(t, 3) == 0 },
		"cut":    func(t *rapid.T) { anyDaemon(t).logUnreachable = draw(t, 4) == 0 },
		"expire": func(t *rapid.T) {
			if draw(t, 8) == 0 {
				sim.firstOffset += uint64(draw(t, len(sim.log)-int(sim.firstOffset)+1))
			}
		},
		"offer": func(t *rapid.T) {
			from, to := anyDaemon(t), anyDaemon(t)
			if from.state != nil {
				if base, ok := from.state.Base(); ok {
					sim.applyOrDelay(t, "base", to, BaseOffered{base})
					sim.reached["peer base offered"]++
				}
			}
		},
		"members": func(t *rapid.T) { sim.sendMembers(t, anyDaemon(t)) },
		"cancel": func(t *rapid.T) {
			if c := sim.calls[request.ID(fmt.Sprintf("r%d", draw(t, len(sim.calls)+1)))]; c != nil &&
				c.waiting && !c.done {
				c.done = true
				for _, d := range sim.daemons {
					sim.apply(d, Cancelled{c.request.ID})
				}
			}
		},
	}

	for i := range 6 {
		actions[fmt.Sprintf("arrive %d", i)] = sim.arrive
		actions[fmt.Sprintf("arrive again %d", i)] = sim.arrive
		actions[fmt.Sprintf("settle %d", i)] = sim.settle
		actions[fmt.Sprintf("finish %d", i/2)] = sim.finishAny
	}

	return actions
}

// drain makes a daemon leave, often with a complete handover, and sends its keys again to the successors.
func (sim *simulation) drain(t *rapid.T, d *daemon) {
	// A key that is issued ahead of the clock: the sign-off must end after it.
	ahead := sim.addKey(sim.now.Add(d.skew).UnixMilli()+policy.Tolerance.Milliseconds(), draw(t, 3))
	sim.apply(d, sim.newCall(d, ahead, 1))

	d.logUnreachable = draw(t, 2) == 0
	sim.apply(d, DrainStarted{})
	sim.setMember(d, instance.Draining)
	sim.rounds(draw(t, 5))
	sim.arrive(t)

	for _, k := range sim.keys[max(0, len(sim.keys)-4):] {
		sim.apply(d, sim.newCall(d, k, 1))
	}

	if d.state == nil || d.paused || draw(t, 2) == 0 {
		return
	}

	for range draw(t, 3) {
		sim.finishAny(t)
	}

	leftState := d.state

	sim.finishTrace(d)
	sim.stop(d, instance.Left)

	for _, other := range sim.daemons {
		sim.apply(other, MembersChanged{Service: service, Members: slices.Clone(sim.members)})
	}

	for _, k := range slices.Backward(sim.keys) {
		if k.admitter == leftState {
			sim.sendKey(t, k)
		}
	}

	sim.arrive(t)
}

// advance moves the clock by a random time.
func (sim *simulation) advance(t *rapid.T) {
	sim.now = sim.now.Add(pick(t, time.Millisecond, time.Millisecond, 300*time.Millisecond, time.Second, time.Second,
		time.Second, 7*time.Second, 20*time.Second, 55*time.Second, pick(t, time.Minute, 5*time.Minute)))
}

// applyOrDelay applies an event to a daemon now or puts it into the network, which delivers it only to the present
// incarnation.
func (sim *simulation) applyOrDelay(t *rapid.T, label string, d *daemon, e Event) {
	if draw(t, 3) > 0 {
		sim.apply(d, e)

		return
	}

	state := d.state
	sim.enqueue(label, func() {
		if d.state == state {
			sim.apply(d, e)
		}
	})
}

// deliver delivers a random message, so that messages are reordered. Unless remove is set, the message remains in the
// network and may be delivered again.
func (sim *simulation) deliver(t *rapid.T, remove bool) {
	if len(sim.network) == 0 {
		return
	}

	i := draw(t, len(sim.network))
	m := sim.network[i]

	if remove {
		sim.network = slices.Delete(sim.network, i, i+1)
	} else if m.label == "arrive" {
		return // A request is delivered once; a resend has a new ID.
	}

	m.deliver()
}

// sendMembers sends a daemon the list of members, sometimes with a wrong status.
func (sim *simulation) sendMembers(t *rapid.T, d *daemon) {
	members := slices.Clone(sim.members)
	if draw(t, 2) == 0 {
		i := draw(t, len(members))
		members[i].Status = pick(t, instance.Alive, instance.Accused, instance.Draining, instance.Dead, instance.Left)
	}

	sim.apply(d, MembersChanged{Service: service, Members: members})
}

// arrive sends a request with a new or a recent key.
func (sim *simulation) arrive(t *rapid.T) {
	var k *keyState
	if len(sim.keys) > 0 && draw(t, 3) > 0 {
		k = sim.keys[max(0, len(sim.keys)-1-draw(t, 6))]
	} else {
		k = sim.newKey(t)
	}

	sim.sendKey(t, k)
}

// sendKey sends a request with a key to the daemon that a random daemon considers its owner, or to a random daemon. The
// fingerprint is sometimes a different one.
func (sim *simulation) sendKey(t *rapid.T, k *keyState) {
	fingerprint := request.Fingerprint(1)
	if draw(t, 20) == 0 {
		fingerprint = 2
	}

	to := pick(t, sim.daemons...)
	if entry := pick(t, sim.daemons...); entry.state != nil && draw(t, 5) > 0 {
		if id, _, ok := entry.state.Owner(service, k.key.UUID.String()); ok {
			to = sim.daemon(id)
		}
	}

	if to.state == nil {
		return
	}

	sim.applyOrDelay(t, "arrive", to, sim.newCall(to, k, fingerprint))
}

// newKey returns a key with a random issue time near the present or at a boundary of a grant.
func (sim *simulation) newKey(t *rapid.T) *keyState {
	issued := sim.now.UnixMilli() + pick[int64](t, 0, 0, 0, 0, -1, -1, -500, -500, 4900, 4900, -3000, 6000,
		-100_000, -121_000, -250_000)
	partition := draw(t, 3)

	if h := sim.replayLog().partition(service, partition); len(h) > 0 && draw(t, 4) == 0 {
		g := pick(t, h...)
		issued = pick(t, g.From, g.From-1, g.Until, g.Until-1)
	}

	return sim.addKey(issued, partition)
}

// addKey adds a key with an issue time in Unix milliseconds that falls into a partition.
func (sim *simulation) addKey(issued int64, partition int) *keyState {
	for number := uint32(len(sim.keys)) << 16; ; number++ {
		if key := testKey(issued, number); key.Partition == partition {
			sim.keys = append(sim.keys, &keyState{key: key})

			return sim.keys[len(sim.keys)-1]
		}
	}
}

// finishAny ends a random running request with a random verdict.
func (sim *simulation) finishAny(t *rapid.T) {
	var busy []*daemon

	for _, d := range sim.daemons {
		if len(d.running) > 0 && !d.paused {
			busy = append(busy, d)
		}
	}

	if len(busy) > 0 {
		d := pick(t, busy...)
		sim.finish(d, pick(t, d.running...),
			pick(t, verdict.Answered, verdict.Answered, verdict.NotRun, verdict.MayHaveRun), draw(t, 300))
	}
}

// settle runs one or two rounds.
func (sim *simulation) settle(t *rapid.T) { sim.rounds(1 + draw(t, 2)) }

// rounds advances the clock by n seconds without new failures, so that states are reached that need undisturbed time.
// In each second, all messages that are not slow are delivered, daemons that are down restart, and all daemons receive
// the members, records of the log and a Tick.
func (sim *simulation) rounds(n int) {
	for range n {
		sim.now = sim.now.Add(time.Second)

		for i := 0; i < len(sim.network); {
			if sim.network[i].slow {
				i++

				continue
			}

			m := sim.network[i]
			sim.network = slices.Delete(sim.network, i, i+1)
			m.deliver()
		}

		for _, d := range sim.daemons {
			if d.state == nil {
				sim.restart(d, 0)
			}

			sim.apply(d, MembersChanged{Service: service, Members: slices.Clone(sim.members)})

			if !sim.logDown && !d.logUnreachable {
				sim.apply(d, sim.readLog(d, uint64(len(sim.log))))
			}

			sim.apply(d, Tick{})
		}
	}
}
