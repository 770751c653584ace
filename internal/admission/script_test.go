package admission_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/script"
)

var update = flag.Bool("update", false, "rewrite the effects in testdata")

// TestScripts checks in which order attempts start, when and why they are refused, and what happens when the server
// closes. The head of each file in testdata names the failure that the file guards against.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txtar", *update, func() script.Reducer {
		r := &reducer{state: admission.New()}
		r.changeServer(time.Time{}, "", 2, 3, 1)

		return r
	})
}

// reducer runs the lines of a script on an admission.State.
type reducer struct{ state *admission.State }

func (r *reducer) changeServer(now time.Time, closed string, slots, queue int, slowness float64) []string {
	return describe(r.state.Apply(now, admission.ServerChanged{
		Closed: admission.Reason(closed), Slots: slots, Queue: queue, Slowness: slowness,
	}))
}

// limitServer sets a limit of an open server with many slots.
func (r *reducer) limitServer(now time.Time, perSecond, slowness float64) []string {
	return describe(r.state.Apply(now, admission.ServerChanged{
		Slots: 100, Queue: 3, Slowness: slowness, Limited: true, PerSecond: perSecond,
	}))
}

func (r *reducer) Next() time.Time { return r.state.Next() }

func (r *reducer) Tick(now time.Time) []string { return describe(r.state.Apply(now, admission.Tick{})) }

func (r *reducer) Apply(now time.Time, line script.Line) []string {
	switch line.Command {
	case "arrive":
		return describe(r.state.Apply(now, admission.Arrived{
			Attempt:  newAttempt(line.Word(0)),
			Deadline: now.Add(line.Duration("deadline", time.Second)),
			Wait:     line.Duration("wait", 100*time.Millisecond),
			Rank:     parseRank(line), Alone: line.Has("alone"), Priority: line.Int("priority", 0),
			Slowest: line.Float("slowest", 0), Tenant: line.Text("tenant", ""),
		}))
	case "done":
		return describe(r.state.Apply(now, admission.Done{
			Attempt: newAttempt(line.Word(0)), Misdirected: line.Has("misdirected"),
		}))
	case "cancel":
		return describe(r.state.Apply(now, admission.Cancelled{Attempt: newAttempt(line.Word(0))}))
	case "server":
		return r.changeServer(now, line.Text("closed", ""),
			line.Int("slots", 2), line.Int("queue", 3), line.Float("slowness", 1))
	case "cold":
		return describe(r.state.Apply(now, admission.ServerChanged{
			Slots: 100, Queue: 3, Slowness: 1, ColdRate: line.Float("rate", 0),
			ColdUntil: now.Add(line.Duration("for", time.Minute)),
		}))
	case "limit":
		return r.limitServer(now, line.Float("rate", 0), line.Float("slowness", 1))
	default:
		line.FailUnknownCommand()

		return nil
	}
}

func newAttempt(id string) admission.Attempt {
	return admission.Attempt{Entry: "e", ID: request.ID(id)}
}

func describe(effects []admission.Effect) []string {
	lines := make([]string, 0, len(effects))

	for _, effect := range effects {
		switch e := effect.(type) {
		case admission.Start:
			lines = append(lines, fmt.Sprintf("start %s", e.Attempt.ID))
		case admission.Queued:
			lines = append(lines, fmt.Sprintf("queued %s", e.Attempt.ID))
		case admission.Refuse:
			lines = append(lines, fmt.Sprintf("refuse %s: %s after %s", e.Attempt.ID, e.Reason, e.Waited))
		case admission.Abort:
			lines = append(lines, fmt.Sprintf("abort %s", e.Attempt.ID))
		}
	}

	return lines
}

// parseRank returns the rank for the word "nested" or the priority of a line.
func parseRank(line script.Line) request.Rank {
	r := request.Request{Priority: line.Int("priority", 0)}
	if line.Has("nested") {
		r.Depth = 1
	}

	return r.Rank()
}
