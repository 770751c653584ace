package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// truth is what really happened to a request.
type truth struct {
	once    bool
	limit   int
	ran     int
	live    map[int]bool
	started map[int]bool
	gone    bool
	ended   int
	sends   int
}

// world plays servers and network against a routing.State.
type world struct {
	*rapid.T
	state    *routing.State
	now      time.Time
	requests map[request.ID]*truth
	order    []request.ID
	counter  uint64
}

func (w *world) apply(event routing.Event) {
	for _, effect := range w.state.Apply(w.now, event) {
		switch e := effect.(type) {
		case routing.Attempt:
			w.sent(e)
		case routing.CancelAttempt:
			require.True(w, w.requests[e.ID].live[e.Number], "%s/%d: withdrawn although it has ended", e.ID, e.Number)
		case routing.Deliver:
			w.end(e.ID)
		case routing.GiveUp:
			w.end(e.ID)

			if e.Verdict == verdict.NotRun {
				require.Zero(w, w.requests[e.ID].ran, "%s: given up as not run, and it ran", e.ID)
				require.Empty(w, w.requests[e.ID].live, "%s: given up as not run with an attempt in progress", e.ID)
			}
		}
	}
}

func (w *world) sent(e routing.Attempt) {
	r := w.requests[e.Request.ID]
	require.False(w, r.gone, "%s: sent after its end", e.Request.ID)

	if r.once {
		require.Zero(w, r.ran, "%s: sent again although it may have run", e.Request.ID)
		require.Empty(w, r.live, "%s: two attempts of a request that must not run twice", e.Request.ID)
	}

	require.Less(w, r.ran+len(r.live), r.limit+1, "%s: sent to more servers than allowed", e.Request.ID)

	r.live[e.Number] = true
	r.sends++

	require.Less(w, r.sends, 200, "%s: circles", e.Request.ID)
}

func (w *world) end(id request.ID) {
	r := w.requests[id]
	r.gone = true
	r.ended++

	require.Equal(w, 1, r.ended, "%s: ended twice", id)
}

// step does one random thing.
func (w *world) step() {
	switch rapid.IntRange(0, 9).Draw(w.T, "step") {
	case 0, 1:
		w.arrive()
	case 2, 3, 4, 5:
		w.progress()
	case 6:
		w.report()
	case 7:
		w.leave()
	default:
		w.now = w.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(w.T, "pause")) * time.Millisecond)
		w.apply(routing.Tick{})
	}
}

func (w *world) arrive() {
	id := request.ID(fmt.Sprintf("r%d", len(w.order)))
	r := request.Request{
		ID: id, Service: "stock", Route: "stock/r", Kind: manifest.Idempotent, Attempts: rapid.IntRange(1, 3).Draw(w.T, "limit"),
		Deadline: w.now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(w.T, "deadline")) * time.Millisecond),
	}

	if rapid.Bool().Draw(w.T, "once") {
		r.Kind = manifest.NonIdempotent
	}

	w.requests[id] = &truth{
		once: !r.Idempotent(), limit: r.Attempts, live: make(map[int]bool), started: make(map[int]bool),
	}
	w.order = append(w.order, id)
	w.apply(routing.Arrived{Request: r})
}

// progress lets something happen to one attempt in progress.
func (w *world) progress() {
	type one struct {
		id     request.ID
		number int
	}

	var all []one

	for _, id := range w.order {
		for number := range 200 {
			if w.requests[id].live[number] {
				all = append(all, one{id, number})
			}
		}
	}

	if len(all) == 0 {
		return
	}

	chosen := all[rapid.IntRange(0, len(all)-1).Draw(w.T, "attempt")]
	r := w.requests[chosen.id]

	if !r.started[chosen.number] && rapid.Bool().Draw(w.T, "accepted") {
		running := rapid.Bool().Draw(w.T, "running")
		if running {
			r.started[chosen.number] = true
			r.ran++
		}

		w.apply(routing.Accepted{ID: chosen.id, Number: chosen.number, Running: running})

		return
	}

	w.finish(chosen.id, chosen.number)
}

func (w *world) finish(id request.ID, number int) {
	r := w.requests[id]
	delete(r.live, number)

	ended := routing.Ended{ID: id, Number: number, Verdict: verdict.NotRun}

	if r.started[number] {
		ended.Verdict = verdict.MayHaveRun
		ended.Outcome = rapid.SampledFrom([]routing.Outcome{routing.Broken, routing.Aborted, routing.Answered}).Draw(w.T, "outcome")

		if ended.Outcome == routing.Answered {
			ended.Verdict = verdict.Answered
			ended.Failure = rapid.Bool().Draw(w.T, "failure")
		} else if rapid.IntRange(0, 3).Draw(w.T, "shed") == 0 {
			// The server states that it has not run a request that had a slot.
			ended.Outcome, ended.Verdict = routing.Refused, verdict.NotRun
			r.ran--
		}
	} else {
		ended.Outcome = rapid.SampledFrom([]routing.Outcome{routing.Refused, routing.Unreachable, routing.Aborted}).Draw(w.T, "outcome")
	}

	w.apply(ended)
}

func (w *world) report() {
	w.counter++
	w.apply(routing.Reported{Report: load.Report{
		Server: instance.ID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(w.T, "server")), Incarnation: 1, Counter: w.counter,
		Open: rapid.IntRange(0, 4).Draw(w.T, "open") > 0, Running: rapid.IntRange(0, 6).Draw(w.T, "running"), Slots: 4,
		Slowness: rapid.Float64Range(0.5, 9).Draw(w.T, "slowness"), Failing: rapid.Float64Range(0, 1).Draw(w.T, "failing"),
	}})
}

func (w *world) leave() {
	if len(w.order) == 0 {
		return
	}

	id := w.order[rapid.IntRange(0, len(w.order)-1).Draw(w.T, "caller")]
	if r := w.requests[id]; !r.gone {
		r.gone = true

		w.apply(routing.Cancelled{ID: id})
	}
}

// Guards, over random histories, against a request that must not run twice and is sent again after it may have run,
// against an untrue "not run", against more servers than a route allows, and against a request that ends twice or
// never.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			T: t, now: time.Unix(1_800_000_000, 0), requests: make(map[request.ID]*truth),
			state: routing.New(routing.WithSelf(self), routing.WithSeed(1),
				routing.WithRepeats(routing.Repeats{Share: 1, Slack: 1000, Window: 10 * time.Second})),
		}

		member := instance.Member{Incarnation: 1, Service: "stock", Place: self.Place, Slots: 4}
		members := []instance.Member{self, member, member, member}
		members[1].ID, members[2].ID, members[3].ID = "a", "b", "c"

		w.apply(routing.MembersChanged{Members: members})

		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			w.step()
		}

		w.drain()
	})
}

// drain lets every attempt end and time pass; then every request has ended.
func (w *world) drain() {
	for range 50 {
		for _, id := range w.order {
			for number := range 200 {
				if w.requests[id].live[number] {
					w.finish(id, number)
				}
			}
		}

		w.now = w.now.Add(100 * time.Millisecond)
		w.apply(routing.Tick{})
	}

	for _, id := range w.order {
		require.True(w, w.requests[id].gone, "%s: never ends", id)
	}

	require.Zero(w, w.state.Dump(w.now).Flights)
}
