package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	coldRate = 12
	// coldBound is the largest number of requests that a cold server may get in any second.
	coldBound = 1.5*coldRate + 8
	// coldWork is the time that a request runs, and coldAnswer the time until the server answers a probe.
	coldWork   = 40 * time.Millisecond
	coldAnswer = 6 * time.Millisecond
	// coldSlots exceeds coldBound, so that the slots alone do not hold it.
	coldSlots = 40
)

// coldLoad runs a state beside a server that may be cold, under a steady load.
type coldLoad struct {
	s                                    *State
	now, coldUntil, probedAt, arriveNext time.Time
	running                              []admission.Attempt
	starts, probes                       []time.Time
	numbered                             int
}

func newColdLoad() *coldLoad {
	l := &coldLoad{now: limitTestStart}
	l.restart()

	return l
}

// restart replaces the daemon by a new run, which knows its server by an announcement.
func (l *coldLoad) restart() {
	l.s = New(Options{
		Self: instance.Member{ID: "self", Service: "stockdesk"}, Announced: true, QueuePerSlot: 2,
		ProbeInterval: 100 * time.Millisecond,
	})
	l.running, l.probedAt = nil, time.Time{}
	l.apply(Started{})
	l.apply(membership.EntriesRead{})
	l.apply(ManifestRead{Version: 7, Manifest: manifest.Manifest{Services: []manifest.Service{{
		Name: "stockdesk", Budget: manifest.Budget{Unlimited: true},
		Cold: manifest.Cold{Time: 3 * time.Second, Rate: coldRate},
	}}}})
	l.apply(health.Announced{Announcement: backend.Announcement{
		ID: "s-1", Born: serverBorn, Sequence: 7, Service: "stockdesk", Slots: coldSlots, ColdStated: true,
		ColdFor: max(0, l.coldUntil.Sub(l.now)),
	}})
}

func (l *coldLoad) apply(event Event) {
	for _, effect := range l.s.Apply(l.now, event) {
		switch e := effect.(type) {
		case admission.Start:
			l.running, l.starts = append(l.running, e.Attempt), append(l.starts, l.now)
		case health.Probe:
			l.probedAt, l.probes = l.now, append(l.probes, l.now)
		}
	}
}

// run passes time with a number of arrivals per second.
func (l *coldLoad) run(duration time.Duration, perSecond int) {
	for end := l.now.Add(duration); l.now.Before(end); l.now = l.now.Add(time.Millisecond) {
		if !l.probedAt.IsZero() && l.now.Sub(l.probedAt) >= coldAnswer {
			l.probedAt = time.Time{}
			l.apply(health.Probed{
				Answered: true, Healthy: true, ColdStated: true, ColdFor: max(0, l.coldUntil.Sub(l.now)),
			})
		}

		for len(l.running) > 0 && l.now.Sub(l.starts[len(l.starts)-len(l.running)]) >= coldWork {
			l.apply(health.Observed{Load: dialect.Load{Slots: coldSlots, Slowness: 1}})
			l.apply(AttemptServed{Attempt: l.running[0], Ran: true})
			l.running = l.running[1:]
		}

		if next := l.s.Next(); !next.IsZero() && !l.now.Before(next) {
			l.apply(Tick{})
		}

		if perSecond > 0 && !l.now.Before(l.arriveNext) {
			l.arriveNext = l.now.Add(time.Second / time.Duration(perSecond))
			l.arrive()
		}
	}
}

func (l *coldLoad) arrive() {
	l.numbered++
	id := request.ID(fmt.Sprint(l.numbered))
	l.apply(AttemptArrived{
		Attempt: admission.Attempt{Entry: "entry", ID: id}, Wait: 100 * time.Millisecond,
		Request: request.Request{ID: id, Deadline: l.now.Add(time.Second)},
	})
}

// most returns the largest number of the times in any second from one time to another.
func most(all []time.Time, from, to time.Time) int {
	largest := 0

	for i, first := range all {
		count := 0
		for _, at := range all[i:] {
			if at.Before(to) && at.Before(first.Add(time.Second)) {
				count++
			}
		}

		if !first.Before(from) {
			largest = max(largest, count)
		}
	}

	return largest
}

// TestColdReturn guards against a full burst at the servers of a domain that became cold while the domain was
// evacuated, and against a limit that does not end with the cold time. Load: 60 requests at once, then 200 per second.
func TestColdReturn(t *testing.T) {
	l := newColdLoad()
	l.run(2*time.Second, 200)
	l.run(10*time.Second, 0)

	back := l.now
	require.Less(t, len(l.probes), 40, "an idle server is not probed")

	l.coldUntil = l.now.Add(3 * time.Second)

	for range 60 {
		l.arrive()
	}

	l.run(2500*time.Millisecond, 200)
	require.LessOrEqual(t, most(l.starts, back, l.coldUntil), coldRate)
	require.GreaterOrEqual(t, most(l.starts, back, l.coldUntil), coldRate-1)
	require.Equal(t, 1, l.s.publishedReport.Slots)

	l.run(2500*time.Millisecond, 200)
	require.LessOrEqual(t, most(l.starts, back, l.coldUntil), coldRate)
	require.GreaterOrEqual(t, most(l.starts, l.coldUntil, l.now), 190)
	require.Equal(t, coldSlots, l.s.publishedReport.Slots)
}

// TestColdAgain guards against a server that becomes cold under full load and goes on to get it, because responses that
// report the load make probes unnecessary. Load: 200 requests per second; the server becomes cold every 4.37 s.
func TestColdAgain(t *testing.T) {
	l := newColdLoad()

	for range 5 {
		l.run(1370*time.Millisecond, 200)

		from := l.now
		l.coldUntil = from.Add(3 * time.Second)
		l.run(3*time.Second, 200)
		require.LessOrEqual(t, float64(most(l.starts, from, l.coldUntil)), coldBound)
		// The server is limited, not closed.
		require.GreaterOrEqual(t, most(l.starts, from.Add(time.Second), l.coldUntil), coldRate-2)
	}

	require.LessOrEqual(t, most(l.probes, limitTestStart, l.now), 12)
}

// TestColdRestart guards against starts beyond the bound in a second across a restart of the daemon, which does not
// know what its earlier run has started. Load: 200 requests per second at a cold server, restarts at any phase of a
// second.
func TestColdRestart(t *testing.T) {
	l := newColdLoad()
	l.coldUntil = l.now.Add(time.Minute)
	l.run(200*time.Millisecond, 0)

	from := l.now

	for range 12 {
		l.run(1130*time.Millisecond, 200)
		l.restart()
	}

	require.LessOrEqual(t, float64(most(l.starts, from, l.now)), 1.5*coldRate)
	require.Greater(t, len(l.starts), 12, "some requests start in each run")
}

// TestColdAndLimited guards against attempts that wait for two limits and never start. Load: 40 requests per second at
// a cold server that states a limit as well.
func TestColdAndLimited(t *testing.T) {
	for _, perSecond := range []float64{0, 1, coldRate, 100} {
		l := newColdLoad()
		l.coldUntil = l.now.Add(20 * time.Second)
		l.s.Apply(l.now, health.LimitStated{Limit: backend.Limit{Set: true, PerSecond: perSecond}})
		l.run(20*time.Second, 40)

		expected := 20 * min(max(0.5, perSecond), coldRate)
		require.InDelta(t, expected, len(l.starts), 0.2*expected+coldRate, "limit %v", perSecond)
	}
}

// TestWarmPauses guards against a warm server that is limited as a cold one after each pause, by the starts before the
// pause, or that refuses requests until it has answered a probe. Load: 4 requests at once, every 200 ms; then 20 at
// once, every 400 ms.
func TestWarmPauses(t *testing.T) {
	l := newColdLoad()
	l.run(1500*time.Millisecond, 0)

	for i := range 20 {
		for range 4 {
			l.arrive()
		}

		require.Len(t, l.starts, 4*(i+1), "all start at once")
		l.run(200*time.Millisecond, 0)
	}

	for i := range 20 {
		for range 20 {
			l.arrive()
		}

		l.run(10*time.Millisecond, 0)
		require.Len(t, l.starts, 80+20*(i+1), "all start when the probe is answered")
		l.run(390*time.Millisecond, 0)
	}
}
