package suspects_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

var start = time.Unix(1_800_000_000, 0)

func newRequest(fingerprint int) request.Request {
	return request.Request{ID: "r", Service: "stockdesk", Fingerprint: request.Fingerprint(fingerprint)}
}

// Guards against a request that crashes more than two servers in an expiry period although reports arrive
// before the next copy is sent, and against innocent requests that stay refused.
func TestCrashesPerExpiryPeriod(t *testing.T) {
	const (
		daemons  = 4
		crashing = 1
		innocent = 2
		allowed  = 2
	)

	barred := 0

	rapid.Check(t, func(t *rapid.T) {
		states := make([]*suspects.State, daemons)
		for i := range states {
			states[i] = suspects.New()
		}

		now, crashes := start, 0

		for step := range rapid.IntRange(1, 30).Draw(t, "steps") {
			daemon := rapid.IntRange(0, daemons-1).Draw(t, "daemon")
			status := states[daemon].Check(now, newRequest(crashing))

			if status == suspects.Barred {
				barred++

				continue
			}

			crashingRequest := newRequest(crashing)
			inFlight := []request.Request{crashingRequest}

			if status == suspects.Alone {
				inFlight[0] = crashingRequest.WithAlone()
			} else if rapid.Bool().Draw(t, "company") {
				inFlight = append(inFlight, newRequest(innocent))
			}

			crashes++
			applyAndAnnounce(states, daemon, now, suspects.Crashed{Source: fmt.Sprintf("%d/%d", daemon, step), Requests: inFlight},
				rapid.IntRange(1, 3).Draw(t, "copies"))

			// The innocent request completes alone, after which nothing stands against it.
			if len(inFlight) > 1 {
				other := rapid.IntRange(0, daemons-1).Draw(t, "other")
				require.Equal(t, suspects.Alone, states[other].Check(now, newRequest(innocent)))
				applyAndAnnounce(states, other, now, suspects.Completed{Request: newRequest(innocent).WithAlone()}, 1)

				for i := range states {
					require.Equal(t, suspects.Free, states[i].Check(now, newRequest(innocent)))
				}
			}

			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		}

		require.LessOrEqual(t, crashes, allowed)

		for i := range states {
			require.Equal(t, suspects.Free, states[i].Check(now.Add(suspects.Expiry), newRequest(crashing)))
		}
	})

	require.Positive(t, barred, "no run reached the bar")
}

// tell applies an event and passes its reports to the other daemons, several times and in either order.
func applyAndAnnounce(states []*suspects.State, daemon int, now time.Time, event suspects.Event, copies int) {
	for _, effect := range states[daemon].Apply(now, event) {
		reports := effect.(suspects.Announce).Reports
		for range copies {
			for i := range states {
				if i != daemon {
					states[i].Apply(now, suspects.ReportsHeard{Reports: reports})
				}
			}
		}
	}
}

// Guards against a withdrawal that is undone by a report of the same crash that arrives late.
func TestLateReport(t *testing.T) {
	s, other := suspects.New(), suspects.New()
	r := newRequest(1)
	report := s.Apply(start, suspects.Crashed{Source: "a/1", Requests: []request.Request{r}})[0].(suspects.Announce).Reports
	withdrawn := s.Apply(start, suspects.Completed{Request: r.WithAlone()})[0].(suspects.Announce).Reports

	other.Apply(start, suspects.ReportsHeard{Reports: withdrawn})
	other.Apply(start, suspects.ReportsHeard{Reports: report})
	require.Equal(t, suspects.Free, other.Check(start, r))
}

// Guards against unbounded memory for reports.
func TestReportLimit(t *testing.T) {
	const many = 6000

	s := suspects.New()
	for n := range many {
		s.Apply(start.Add(time.Duration(n)), suspects.Crashed{
			Source: fmt.Sprint(n), Requests: []request.Request{newRequest(n)},
		})
	}

	require.Less(t, len(s.Reports(start)), many)
	require.Equal(t, suspects.Alone, s.Check(start, newRequest(many-1)))
}
