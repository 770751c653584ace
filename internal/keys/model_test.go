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

// long multiplies the runs of the model, for example -keys.long=100.
var long = flag.Int("keys.long", 1, "factor for the number of model runs")

// modelSeed makes the runs in CI repeatable; -rapid.seed overrides it.
const modelSeed = "20260301"

func TestMain(m *testing.M) {
	flag.Parse()

	given := map[string]bool{}
	flag.Visit(func(f *flag.Flag) { given[f.Name] = true })

	defaults := map[string]string{
		"rapid.seed": modelSeed, "rapid.steps": "300", "rapid.checks": fmt.Sprint(300 * *long), "rapid.nofailfile": "true",
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

// required are the transitions that a run of the model has to reach, so that it is not vacuous.
var required = []string{
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

// Guards against a second run of a key, an untrue "not run", a response of another key, and effects
// that depend on anything but the events, under every failure that the design page lists.
func TestModel(t *testing.T) {
	seen := map[string]int{}

	rapid.Check(t, func(t *rapid.T) {
		w := newWorld(t, seen, "a", "b", "c")
		w.rounds(draw(t, 4))
		t.Repeat(w.actions())

		for _, d := range w.daemons {
			w.finishTrace(d)
		}
	})

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

// draw returns a number below n.
func draw(t *rapid.T, n int) int { return rapid.IntRange(0, n-1).Draw(t, "n") }

func pick[T any](t *rapid.T, values ...T) T { return values[draw(t, len(values))] }

// actions returns the steps of the model. Names with a number make a step more frequent.
func (w *world) actions() map[string]func(*rapid.T) {
	any := func(t *rapid.T) *daemon { return pick(t, w.daemons...) }
	actions := map[string]func(*rapid.T){
		"tick":    func(t *rapid.T) { w.apply(any(t), Tick{}) },
		"advance": func(t *rapid.T) { w.advance(t) },
		"read": func(t *rapid.T) {
			d := any(t)
			if d.state != nil && !w.down && !d.cut {
				w.maybeLater(t, "read", d, w.read(d, uint64(len(w.log))))
			}
		},
		"read old data": func(t *rapid.T) {
			if d := any(t); d.state != nil {
				w.apply(d, w.read(d, uint64(draw(t, len(w.log)+1))))
				w.seen["old data read"]++
			}
		},
		"read with a gap": func(t *rapid.T) {
			if d := any(t); d.state != nil {
				e := w.read(d, uint64(len(w.log)))
				e.Records = e.Records[min(len(e.Records), 1+draw(t, 3)):]
				w.apply(d, e)
				w.count(len(e.Records) > 0, "gap read")
			}
		},
		"deliver":   func(t *rapid.T) { w.deliver(t, true) },
		"duplicate": func(t *rapid.T) { w.deliver(t, false) },
		"drop": func(t *rapid.T) {
			if len(w.net) > 0 {
				i := draw(t, len(w.net))
				w.net = slices.Delete(w.net, i, i+1)
			}
		},
		"pause": func(t *rapid.T) { w.pause(any(t)) },
		"wake":  func(t *rapid.T) { w.wake(any(t)) },
		"crash": func(t *rapid.T) {
			d := any(t)
			if draw(t, 4) > 0 {
				return
			}

			w.count(len(d.running) > 0, "restart with a running key")
			w.restart(d, pick(t, 0, 0, 0, 0, 0, 0, 0, 0, 30*time.Millisecond, 4*time.Second, -4*time.Second, 90*time.Second,
				-90*time.Second, 10*time.Minute, -10*time.Minute))
		},
		"drain": func(t *rapid.T) {
			if draw(t, 2) == 0 {
				w.drain(t, any(t))
			}
		},
		"outage": func(t *rapid.T) { w.down = draw(t, 3) == 0 },
		"cut":    func(t *rapid.T) { any(t).cut = draw(t, 4) == 0 },
		"expire": func(t *rapid.T) {
			if draw(t, 8) == 0 {
				w.first += uint64(draw(t, len(w.log)-int(w.first)+1))
			}
		},
		"offer": func(t *rapid.T) {
			from, to := any(t), any(t)
			if from.state != nil {
				if base, ok := from.state.Base(); ok {
					w.maybeLater(t, "base", to, BaseOffered{base})
					w.seen["peer base offered"]++
				}
			}
		},
		"members": func(t *rapid.T) { w.tell(t, any(t)) },
		"cancel": func(t *rapid.T) {
			if c := w.calls[request.ID(fmt.Sprintf("r%d", draw(t, len(w.calls)+1)))]; c != nil && c.waiting && !c.done {
				c.done = true
				for _, d := range w.daemons {
					w.apply(d, Cancelled{c.request.ID})
				}
			}
		},
	}

	for i := range 6 {
		actions[fmt.Sprintf("arrive %d", i)] = w.arrive
		actions[fmt.Sprintf("arrive again %d", i)] = w.arrive
		actions[fmt.Sprintf("settle %d", i)] = w.settle
		actions[fmt.Sprintf("finish %d", i/2)] = w.finishAny
	}

	return actions
}

// drain stops a daemon, mostly in order, and sends keys again to its successors.
func (w *world) drain(t *rapid.T, d *daemon) {
	// A key ahead of the clock, which the end of the sign-off has to leave with this owner.
	ahead := w.addKey(w.now.Add(d.skew).UnixMilli()+policy.Tolerance.Milliseconds(), draw(t, 3))
	w.apply(d, w.send(d, ahead, 1))

	d.cut = draw(t, 2) == 0
	w.apply(d, DrainStarted{})
	w.setMember(d, instance.Draining)
	w.rounds(draw(t, 5))
	w.arrive(t)

	for _, k := range w.keys[max(0, len(w.keys)-4):] {
		w.apply(d, w.send(d, k, 1))
	}

	if d.state == nil || d.paused || draw(t, 2) == 0 {
		return
	}

	for range draw(t, 3) {
		w.finishAny(t)
	}

	left := d.state

	w.finishTrace(d)
	w.stop(d, instance.Left)

	for _, other := range w.daemons {
		w.apply(other, MembersChanged{Service: service, Members: slices.Clone(w.members)})
	}

	for _, k := range slices.Backward(w.keys) {
		if k.admitter == left {
			w.sendKey(t, k)
		}
	}

	w.arrive(t)
}

func (w *world) advance(t *rapid.T) {
	w.now = w.now.Add(pick(t, time.Millisecond, time.Millisecond, 300*time.Millisecond, time.Second, time.Second,
		time.Second, 7*time.Second, 20*time.Second, 55*time.Second, pick(t, time.Minute, 5*time.Minute)))
}

// maybeLater applies an event now or leaves it to the network, bound to the present incarnation.
func (w *world) maybeLater(t *rapid.T, label string, d *daemon, e Event) {
	if draw(t, 3) > 0 {
		w.apply(d, e)

		return
	}

	state := d.state
	w.post(label, func() {
		if d.state == state {
			w.apply(d, e)
		}
	})
}

// deliver takes any message, so that messages overtake each other.
func (w *world) deliver(t *rapid.T, remove bool) {
	if len(w.net) == 0 {
		return
	}

	i := draw(t, len(w.net))
	m := w.net[i]

	if remove {
		w.net = slices.Delete(w.net, i, i+1)
	} else if m.label == "arrive" {
		return // A call is delivered once; a resend has a new ID.
	}

	m.deliver()
}

// tell gives a daemon the truth about members, or a wrong view.
func (w *world) tell(t *rapid.T, d *daemon) {
	members := slices.Clone(w.members)
	if draw(t, 2) == 0 {
		i := draw(t, len(members))
		members[i].Status = pick(t, instance.Alive, instance.Accused, instance.Draining, instance.Dead, instance.Left)
	}

	w.apply(d, MembersChanged{Service: service, Members: members})
}

func (w *world) arrive(t *rapid.T) {
	var k *keyState
	if len(w.keys) > 0 && draw(t, 3) > 0 {
		k = w.keys[max(0, len(w.keys)-1-draw(t, 6))]
	} else {
		k = w.newKey(t)
	}

	w.sendKey(t, k)
}

// sendKey sends a key to its owner as some daemon knows it, or to any daemon.
func (w *world) sendKey(t *rapid.T, k *keyState) {
	fingerprint := request.Fingerprint(1)
	if draw(t, 20) == 0 {
		fingerprint = 2
	}

	to := pick(t, w.daemons...)
	if entry := pick(t, w.daemons...); entry.state != nil && draw(t, 5) > 0 {
		if id, _, ok := entry.state.Owner(service, k.key.UUID.String()); ok {
			to = w.daemon(id)
		}
	}

	if to.state == nil {
		return
	}

	w.maybeLater(t, "arrive", to, w.send(to, k, fingerprint))
}

// newKey draws an issue time near the present, or at a boundary of a grant.
func (w *world) newKey(t *rapid.T) *keyState {
	issued := w.now.UnixMilli() + pick[int64](t, 0, 0, 0, 0, -1, -1, -500, -500, 4900, 4900, -3000, 6000, -100_000, -121_000, -250_000)
	partition := draw(t, 3)

	if h := w.truth().partition(service, partition); len(h) > 0 && draw(t, 4) == 0 {
		g := pick(t, h...)
		issued = pick(t, g.From, g.From-1, g.Until, g.Until-1)
	}

	return w.addKey(issued, partition)
}

func (w *world) addKey(issued int64, partition int) *keyState {
	for number := uint32(len(w.keys)) << 16; ; number++ {
		if key := testKey(issued, number); key.Partition == partition {
			w.keys = append(w.keys, &keyState{key: key})

			return w.keys[len(w.keys)-1]
		}
	}
}

func (w *world) finishAny(t *rapid.T) {
	var busy []*daemon

	for _, d := range w.daemons {
		if len(d.running) > 0 && !d.paused {
			busy = append(busy, d)
		}
	}

	if len(busy) > 0 {
		d := pick(t, busy...)
		w.finish(d, pick(t, d.running...),
			pick(t, verdict.Answered, verdict.Answered, verdict.NotRun, verdict.MayHaveRun), draw(t, 300))
	}
}

func (w *world) settle(t *rapid.T) { w.rounds(1 + draw(t, 2)) }

// rounds lets seconds pass without failures, so that the states behind them are reached.
func (w *world) rounds(n int) {
	for range n {
		w.now = w.now.Add(time.Second)

		for i := 0; i < len(w.net); {
			if w.net[i].slow {
				i++

				continue
			}

			m := w.net[i]
			w.net = slices.Delete(w.net, i, i+1)
			m.deliver()
		}

		for _, d := range w.daemons {
			if d.state == nil {
				w.restart(d, 0)
			}

			w.apply(d, MembersChanged{Service: service, Members: slices.Clone(w.members)})

			if !w.down && !d.cut {
				w.apply(d, w.read(d, uint64(len(w.log))))
			}

			w.apply(d, Tick{})
		}
	}
}
