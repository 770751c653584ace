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

// TestCrashesPerExpiryPeriod guards against a request that crashes more than two servers within Expiry although
// reports arrive before the request is sent again, and against innocent requests that remain suspect.
func TestCrashesPerExpiryPeriod(t *testing.T) {
	const (
		daemons             = 4
		crashingFingerprint = 1
		innocentFingerprint = 2
		maxCrashes          = 2
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
			status := states[daemon].Check(now, newRequest(crashingFingerprint))

			if status == suspects.Barred {
				barred++

				continue
			}

			crashingRequest := newRequest(crashingFingerprint)
			running := []request.Request{crashingRequest}

			if status == suspects.Alone {
				running[0] = crashingRequest.WithAlone()
			} else if rapid.Bool().Draw(t, "company") {
				running = append(running, newRequest(innocentFingerprint))
			}

			crashes++
			applyAndAnnounce(states, daemon, now, suspects.Crashed{
				Source: fmt.Sprintf("%d/%d", daemon, step), Requests: running,
			}, rapid.IntRange(1, 3).Draw(t, "copies"))

			// The innocent request completes alone, after which it is no longer suspect.
			if len(running) > 1 {
				otherDaemon := rapid.IntRange(0, daemons-1).Draw(t, "other")
				require.Equal(t, suspects.Alone, states[otherDaemon].Check(now, newRequest(innocentFingerprint)))
				applyAndAnnounce(states, otherDaemon, now, suspects.Completed{
					Request: newRequest(innocentFingerprint).WithAlone(),
				}, 1)

				for i := range states {
					require.Equal(t, suspects.Free, states[i].Check(now, newRequest(innocentFingerprint)))
				}
			}

			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "seconds")) * time.Second)
		}

		require.LessOrEqual(t, crashes, maxCrashes)

		for i := range states {
			require.Equal(t, suspects.Free, states[i].Check(now.Add(suspects.Expiry), newRequest(crashingFingerprint)))
		}
	})

	require.Positive(t, barred, "no run barred the request")
}

// applyAndAnnounce applies an event at one daemon and passes the reports to the others, each several times.
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

// TestLateReport guards against a withdrawal that a late report of the same crash undoes.
func TestLateReport(t *testing.T) {
	s, other := suspects.New(), suspects.New()
	r := newRequest(1)
	report := s.Apply(start, suspects.Crashed{
		Source: "a/1", Requests: []request.Request{r},
	})[0].(suspects.Announce).Reports
	withdrawn := s.Apply(start, suspects.Completed{Request: r.WithAlone()})[0].(suspects.Announce).Reports

	other.Apply(start, suspects.ReportsHeard{Reports: withdrawn})
	other.Apply(start, suspects.ReportsHeard{Reports: report})
	require.Equal(t, suspects.Free, other.Check(start, r))
}

// TestReportLimit guards against unbounded memory for reports.
func TestReportLimit(t *testing.T) {
	const reports = 6000

	s := suspects.New()
	for n := range reports {
		s.Apply(start.Add(time.Duration(n)), suspects.Crashed{
			Source: fmt.Sprint(n), Requests: []request.Request{newRequest(n)},
		})
	}

	require.Less(t, len(s.Reports(start)), reports)
	require.Equal(t, suspects.Alone, s.Check(start, newRequest(reports-1)))
}
