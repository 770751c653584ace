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

// requestHistory is what has happened to a request, independently of what the routing.State knows. The keys of live
// are the numbers of the attempts that have not ended, those of started the numbers of the attempts that a server has
// started.
type requestHistory struct {
	nonIdempotent bool
	maxServers    int
	runs          int
	live          map[int]bool
	started       map[int]bool
	done          bool
	endCount      int
	sends         int
}

// model simulates callers, servers and the network for a routing.State and checks its effects.
type model struct {
	*rapid.T
	state         *routing.State
	now           time.Time
	requests      map[request.ID]*requestHistory
	ids           []request.ID
	reportCounter uint64
	// maxFailing is the largest share of failed requests that servers report.
	maxFailing float64
}

// apply applies an event and checks its effects.
func (m *model) apply(event routing.Event) {
	for _, effect := range m.state.Apply(m.now, event) {
		switch e := effect.(type) {
		case routing.Attempt:
			m.checkAttempt(e)
		case routing.CancelAttempt:
			require.True(m, m.requests[e.ID].live[e.Number], "%s/%d: cancelled although it has ended", e.ID, e.Number)
		case routing.Deliver:
			m.recordEnd(e.ID)
		case routing.GiveUp:
			m.recordEnd(e.ID)

			if e.Verdict == verdict.NotRun {
				require.Zero(m, m.requests[e.ID].runs, "%s: given up as not run, and it ran", e.ID)
				require.Empty(m, m.requests[e.ID].live, "%s: given up as not run with an attempt in progress", e.ID)
			}
		}
	}
}

// checkAttempt records an attempt and checks that it is allowed.
func (m *model) checkAttempt(e routing.Attempt) {
	r := m.requests[e.Request.ID]
	require.False(m, r.done, "%s: sent after its end", e.Request.ID)

	if r.nonIdempotent {
		require.Zero(m, r.runs, "%s: sent again although it may have run", e.Request.ID)
		require.Empty(m, r.live, "%s: two attempts of a request that must not run twice", e.Request.ID)
	}

	require.Less(m, r.runs+len(r.live), r.maxServers+1, "%s: sent to more servers than allowed", e.Request.ID)

	r.live[e.Number] = true
	r.sends++

	require.Less(m, r.sends, 200, "%s: sent again and again", e.Request.ID)
}

// recordEnd records the end of a request and checks that it is the only one.
func (m *model) recordEnd(id request.ID) {
	r := m.requests[id]
	r.done = true
	r.endCount++

	require.Equal(m, 1, r.endCount, "%s: ended twice", id)
}

// step applies one random event.
func (m *model) step() {
	switch rapid.IntRange(0, 9).Draw(m.T, "step") {
	case 0, 1:
		m.addRequest()
	case 2, 3, 4, 5:
		m.advanceAttempt()
	case 6:
		m.reportLoad()
	case 7:
		m.cancelRequest()
	default:
		m.now = m.now.Add(time.Duration(rapid.IntRange(1, 120).Draw(m.T, "pause")) * time.Millisecond)
		m.apply(routing.Tick{})
	}
}

// addRequest sends a random request.
func (m *model) addRequest() {
	id := request.ID(fmt.Sprintf("r%d", len(m.ids)))
	r := request.Request{
		ID: id, Service: "stock", Route: "stock/r", Kind: manifest.Idempotent,
		Attempts: rapid.IntRange(1, 3).Draw(m.T, "limit"),
		Deadline: m.now.Add(time.Duration(rapid.IntRange(50, 1500).Draw(m.T, "deadline")) * time.Millisecond),
	}

	if rapid.Bool().Draw(m.T, "once") {
		r.Kind = manifest.NonIdempotent
	}

	m.requests[id] = &requestHistory{
		nonIdempotent: !r.Idempotent(), maxServers: r.Attempts, live: make(map[int]bool), started: make(map[int]bool),
	}
	m.ids = append(m.ids, id)
	m.apply(routing.Arrived{Request: r})
}

// advanceAttempt accepts, starts or ends a random attempt in progress.
func (m *model) advanceAttempt() {
	type attemptID struct {
		id     request.ID
		number int
	}

	var all []attemptID

	for _, id := range m.ids {
		for number := range 200 {
			if m.requests[id].live[number] {
				all = append(all, attemptID{id, number})
			}
		}
	}

	if len(all) == 0 {
		return
	}

	chosen := all[rapid.IntRange(0, len(all)-1).Draw(m.T, "attempt")]
	r := m.requests[chosen.id]

	if !r.started[chosen.number] && rapid.Bool().Draw(m.T, "accepted") {
		running := rapid.Bool().Draw(m.T, "running")
		if running {
			r.started[chosen.number] = true
			r.runs++
		}

		m.apply(routing.Accepted{ID: chosen.id, Number: chosen.number, Running: running})

		return
	}

	m.endAttempt(chosen.id, chosen.number)
}

// endAttempt ends an attempt with a random outcome that fits what happened to it.
func (m *model) endAttempt(id request.ID, number int) {
	r := m.requests[id]
	delete(r.live, number)

	ended := routing.Ended{ID: id, Number: number, Verdict: verdict.NotRun}

	if r.started[number] {
		ended.Verdict = verdict.MayHaveRun
		ended.Outcome = rapid.SampledFrom([]routing.Outcome{
			routing.Broken, routing.Aborted, routing.Answered,
		}).Draw(m.T, "outcome")

		if ended.Outcome == routing.Answered {
			ended.Verdict = verdict.Answered
			ended.Failure = rapid.Bool().Draw(m.T, "failure")
		} else if rapid.IntRange(0, 3).Draw(m.T, "shed") == 0 {
			// The server states that it has not run a request that had a slot.
			ended.Outcome, ended.Verdict = routing.Refused, verdict.NotRun
			r.runs--
		}
	} else {
		ended.Outcome = rapid.SampledFrom([]routing.Outcome{
			routing.Refused, routing.Unreachable, routing.Aborted,
		}).Draw(m.T, "outcome")
	}

	m.apply(ended)
}

// reportLoad sends a random load report of one server.
func (m *model) reportLoad() {
	m.reportCounter++
	m.apply(routing.Reported{Report: load.Report{
		Server:      instance.ID(rapid.SampledFrom([]string{"a", "b", "c"}).Draw(m.T, "server")),
		Incarnation: 1, Counter: m.reportCounter,
		Open: rapid.IntRange(0, 4).Draw(m.T, "open") > 0, Running: rapid.IntRange(0, 6).Draw(m.T, "running"), Slots: 4,
		Slowness: rapid.Float64Range(0.5, 9).Draw(m.T, "slowness"),
		Failing:  rapid.Float64Range(0, m.maxFailing).Draw(m.T, "failing"),
	}})
}

// cancelRequest cancels a random request unless it has ended.
func (m *model) cancelRequest() {
	if len(m.ids) == 0 {
		return
	}

	id := m.ids[rapid.IntRange(0, len(m.ids)-1).Draw(m.T, "caller")]
	if r := m.requests[id]; !r.done {
		r.done = true

		m.apply(routing.Cancelled{ID: id})
	}
}

// TestModel checks random sequences of events: a request that must not run twice is not sent again after it may
// have run, no request that ran is reported as not run, no request runs at more servers than its route allows, and
// each request ends exactly once.
func TestModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{
			T: t, now: time.Unix(1_800_000_000, 0), requests: make(map[request.ID]*requestHistory), maxFailing: 1,
			state: routing.New(routing.WithSelf(self), routing.WithSeed(1),
				routing.WithRepeats(routing.Repeats{Share: 1, Slack: 1000, Window: 10 * time.Second})),
		}

		member := instance.Member{Incarnation: 1, Service: "stock", Place: self.Place, Slots: 4}
		members := []instance.Member{self, member, member, member}
		members[1].ID, members[2].ID, members[3].ID = "a", "b", "c"

		m.apply(routing.MembersChanged{Members: members})

		if rapid.Bool().Draw(t, "hedges") {
			m.allowHedges()
		}

		for range rapid.IntRange(10, 120).Draw(t, "steps") {
			m.step()
		}

		m.endAll()
	})
}

// allowHedges allows hedged attempts after a delay and lets enough requests end for its quantile. Servers that fail are not
// worth a hedged attempt, so they report no failures.
func (m *model) allowHedges() {
	m.maxFailing = 0
	m.apply(routing.PolicyChanged{Services: []manifest.Service{{
		Name: "stock", Budget: manifest.Budget{Unlimited: true},
		Hedge: manifest.Hedge{Quantile: 0.5, Delayed: 0.5, Work: 0.5}, Rules: []manifest.Rule{{Name: "r"}},
	}}})

	for number := range 60 {
		r := request.Request{
			ID: request.ID(fmt.Sprintf("usual%d", number)), Service: "stock", Route: "stock/r", Kind: manifest.Idempotent,
			Deadline: m.now.Add(time.Second),
		}
		m.state.Apply(m.now, routing.Arrived{Request: r})
		m.state.Apply(m.now, routing.Accepted{ID: r.ID, Running: true})
		m.now = m.now.Add(20 * time.Millisecond)
		m.state.Apply(m.now, routing.Ended{ID: r.ID, Verdict: verdict.Answered})
	}
}

// endAll ends all attempts and lets time pass; then every request must have ended.
func (m *model) endAll() {
	for range 50 {
		for _, id := range m.ids {
			for number := range 200 {
				if m.requests[id].live[number] {
					m.endAttempt(id, number)
				}
			}
		}

		m.now = m.now.Add(100 * time.Millisecond)
		m.apply(routing.Tick{})
	}

	for _, id := range m.ids {
		require.True(m, m.requests[id].done, "%s: has not ended", id)
	}

	require.Zero(m, m.state.Dump(m.now).Flights)
}
