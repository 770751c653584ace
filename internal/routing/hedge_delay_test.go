package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// usualTime is the response time of all requests of a hedgeFixture but the last one.
const usualTime = 100 * time.Millisecond

// hedgeFixture is a routing.State with the servers a, in the daemon's own failure domain, and b.
type hedgeFixture struct {
	state   *routing.State
	now     time.Time
	counter uint64
	// b is the second server, and report its last load report.
	b      instance.Member
	report load.Report
	// last is the request that takes too long; responses is the number of requests that end before it.
	last      request.Request
	responses int
	limits    manifest.Hedge
	override  manifest.HedgeOverride
	repeats   routing.Repeats
	// bytes is the size of their responses.
	bytes int64
}

func newHedgeFixture() *hedgeFixture {
	return &hedgeFixture{
		now:    time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		b:      instance.Member{ID: "b", Service: "stock", Place: instance.Place{Region: "west", Domain: "d2"}, Slots: 6},
		report: load.Report{Server: "b", Open: true, Slots: 6, Slowness: 1},
		last:   request.Request{ID: "slow", Service: "stock", Route: "stock/r", Kind: manifest.Idempotent, Attempts: 2},
		limits: manifest.Hedge{Quantile: 0.9, Delayed: 0.1, Work: 0.2}, responses: 60, bytes: 100,
		repeats: routing.Repeats{Share: 0.5, Slack: 0, Window: 10 * time.Second},
	}
}

func (f *hedgeFixture) apply(event routing.Event) []string {
	return describe(f.state.Apply(f.now, event))
}

func (f *hedgeFixture) reportLoad(report load.Report) {
	f.counter++
	report.Incarnation, report.Counter = 1, f.counter
	f.apply(routing.Reported{Report: report})
}

// start builds the state and lets the usual requests end at server a.
func (f *hedgeFixture) start() {
	f.state = routing.New(routing.WithSelf(self), routing.WithSeed(1), routing.WithRepeats(f.repeats))
	a := instance.Member{ID: "a", Service: "stock", Place: self.Place, Slots: 100}
	f.apply(routing.MembersChanged{Members: []instance.Member{a, f.b}})
	f.apply(routing.PolicyChanged{Services: []manifest.Service{{
		Name: "stock", Budget: manifest.Budget{Unlimited: true}, Hedge: f.limits,
		Rules: []manifest.Rule{{Name: "r", Hedge: f.override}},
	}}})

	for number := range f.responses {
		f.reportLoad(load.Report{Server: "a", Open: true, Slots: 100, Slowness: 1})

		usual := f.last
		usual.ID, usual.Deadline = request.ID(fmt.Sprintf("usual%d", number)), f.now.Add(time.Second)
		usual.Regions = request.Regions{}
		f.apply(routing.Arrived{Request: usual})
		f.apply(routing.Accepted{ID: usual.ID, Running: true})
		f.now = f.now.Add(usualTime)
		f.apply(routing.Ended{ID: usual.ID, Verdict: verdict.Answered, Bytes: f.bytes})
	}
}

// run sends the last request to server a and returns the first effects of the following 800 ms, with their time.
func (f *hedgeFixture) run() []string {
	f.start()
	f.reportLoad(load.Report{Server: "a", Open: true, Slots: 100, Slowness: 1})
	f.reportLoad(f.report)

	f.last.Deadline = f.now.Add(2 * time.Second)
	f.apply(routing.Arrived{Request: f.last})
	f.apply(routing.Accepted{ID: f.last.ID, Running: true})

	began := f.now

	var lines []string

	for end := f.now.Add(800 * time.Millisecond); ; {
		next := f.state.Next()
		if next.IsZero() || !next.Before(end) {
			return lines
		}

		f.now = next
		for _, line := range f.apply(routing.Tick{}) {
			lines = append(lines, fmt.Sprintf("%s %s", f.now.Sub(began).Round(time.Millisecond), line))
		}

		if len(lines) > 0 {
			return lines
		}
	}
}

// hedgeToB is the hedged attempt of the last request: once it has taken 1.5 times what server b costs, which is the
// usual time, a little more for a report that ages, and the bytes that leave the failure domain.
const hedgeToB = "182ms send slow/1 to b: hedge, wait 0s, slowest 1.6"

// Guards against hedged attempts that are not sent although a request takes too long, that wait in a queue, or whose
// loser keeps running.
func TestDelayedHedge(t *testing.T) {
	f := newHedgeFixture()
	require.Equal(t, []string{hedgeToB}, f.run())
	f.apply(routing.Accepted{ID: "slow", Number: 1, Running: true})
	f.now = f.now.Add(usualTime)
	require.Equal(t, []string{"withdraw slow/0: superseded", "deliver slow/1"},
		f.apply(routing.Ended{ID: "slow", Number: 1, Verdict: verdict.Answered}))

	f.apply(routing.Ended{ID: "slow", Outcome: routing.Aborted, Verdict: verdict.MayHaveRun})

	counts := f.state.Counts()
	require.Equal(t, [4]uint64{1, 1, 1, 0},
		[4]uint64{counts.Hedges, counts.DelayedHedges, counts.HedgesWon, counts.HedgesLost})
	require.Equal(t, usualTime, counts.HedgeTime)
	require.Zero(t, f.state.Dump(f.now).Flights)
}

// Guards against a request that stays at its slow server because the hedged attempt was refused.
func TestRefusedHedge(t *testing.T) {
	f := newHedgeFixture()
	require.Equal(t, []string{hedgeToB}, f.run())
	require.Empty(t, f.apply(routing.Ended{ID: "slow", Number: 1, Outcome: routing.Refused, Verdict: verdict.NotRun}))

	for f.now.Before(f.last.Deadline) {
		f.now = f.state.Next()
		if lines := f.apply(routing.Tick{}); len(lines) > 0 {
			require.Contains(t, lines[0], "send slow/2 to b: hedge")

			return
		}
	}

	t.Fatal("not hedged again")
}

// Guards against a loser that counts as won, and against a hedged attempt that stays after the first one has responded.
func TestLostHedge(t *testing.T) {
	f := newHedgeFixture()
	f.run()
	f.apply(routing.Accepted{ID: "slow", Number: 1, Running: true})
	f.now = f.now.Add(10 * time.Millisecond)
	require.Equal(t, []string{"withdraw slow/1: superseded", "deliver slow/0"},
		f.apply(routing.Ended{ID: "slow", Verdict: verdict.Answered}))
	f.apply(routing.Ended{ID: "slow", Number: 1, Outcome: routing.Aborted, Verdict: verdict.MayHaveRun})

	counts := f.state.Counts()
	require.Equal(t, [2]uint64{0, 1}, [2]uint64{counts.HedgesWon, counts.HedgesLost})
	require.Equal(t, 10*time.Millisecond, counts.HedgeTime)

	dump := f.state.Dump(f.now)
	require.InDelta(t, 60, dump.Delays[0].Responses, 2)
	require.InDelta(t, usualTime, dump.Delays[0].Delay, float64(7*time.Millisecond))
	// 61 requests and 6 s at servers: 6.1 attempts less one, and 20 % of the time less 10 ms.
	require.InDelta(t, 5.1, dump.Hedges[0].Requests, 0.001)
	require.InDelta(t, 1.22, dump.Hedges[0].Work.Seconds(), 0.03)
}

// Guards against hedged attempts that break a limit or reach a server that must not get them.
func TestNoDelayedHedge(t *testing.T) {
	for name, change := range map[string]func(f *hedgeFixture){
		"non-idempotent": func(f *hedgeFixture) { f.last.Kind = manifest.NonIdempotent },
		"alone":          func(f *hedgeFixture) { f.last.Alone = true },
		"one attempt":    func(f *hedgeFixture) { f.last.Attempts = 1 },
		"few responses":  func(f *hedgeFixture) { f.responses = 40 },
		"no limits":      func(f *hedgeFixture) { f.limits = manifest.Hedge{Share: 1, Quantile: 0.9} },
		"no work":        func(f *hedgeFixture) { f.limits.Work = 0 },
		"little work":    func(f *hedgeFixture) { f.limits.Work = 0.01 },
		"small share":    func(f *hedgeFixture) { f.limits.Delayed = 0.01 },
		"switched off":   func(f *hedgeFixture) { f.override.Delayed.Stated = true },
		"last repeats":   func(f *hedgeFixture) { f.repeats.Share = 0.05 },
		"full":           func(f *hedgeFixture) { f.report.Running = 6 },
		"nearly full":    func(f *hedgeFixture) { f.report.Running = 5 },
		"waiting":        func(f *hedgeFixture) { f.report.Running, f.report.Waiting[request.LowRank] = 3, 3 },
		"cold":           func(f *hedgeFixture) { f.report.ColdFor = 2 * time.Second },
		"closed":         func(f *hedgeFixture) { f.report.Open = false },
		"slow":           func(f *hedgeFixture) { f.report.Slowness = 50 },
		"no report":      func(f *hedgeFixture) { f.report.Server = "unknown" },
		"accused":        func(f *hedgeFixture) { f.b.Status = instance.Accused },
		"outside the region": func(f *hedgeFixture) {
			f.b.Place.Region, f.last.Regions = "east", request.NewRegions([]string{"west"})
		},
		"large response from another region": func(f *hedgeFixture) {
			f.b.Place.Region, f.bytes = "east", 40_000
		},
	} {
		t.Run(name, func(t *testing.T) {
			f := newHedgeFixture()
			change(f)
			require.Empty(t, f.run())
		})
	}
}

// Guards against limits that keep hedged attempts from requests that may have them.
func TestDelayedHedgeAllowed(t *testing.T) {
	for name, change := range map[string]func(f *hedgeFixture){
		"nested": func(f *hedgeFixture) { f.last.Depth = 1 },
		"by rule": func(f *hedgeFixture) {
			stated := func(v float64) manifest.Override { return manifest.Override{Stated: true, Value: v} }
			f.override = manifest.HedgeOverride{Delayed: stated(f.limits.Delayed), Work: stated(f.limits.Work)}
			f.limits = manifest.Hedge{Quantile: f.limits.Quantile}
		},
		"small response from another region": func(f *hedgeFixture) { f.b.Place.Region = "east" },
	} {
		t.Run(name, func(t *testing.T) {
			f := newHedgeFixture()
			change(f)

			lines := f.run()
			require.Len(t, lines, 1)
			require.Contains(t, lines[0], "send slow/1 to b: hedge, wait 0s")
		})
	}
}

// Guards against limits of the settings that replace those of a manifest, or that stay after their removal.
func TestHedgeSettings(t *testing.T) {
	f := newHedgeFixture()
	limits := f.limits
	f.limits = manifest.Hedge{Share: 1}
	f.start()
	require.Empty(t, f.state.Dump(f.now).Hedges)
	f.apply(routing.HedgeChanged{Limits: limits})
	require.Len(t, f.state.Dump(f.now).Hedges, 1)
	f.apply(routing.HedgeChanged{})
	require.Empty(t, f.state.Dump(f.now).Hedges)
}
