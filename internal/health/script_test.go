package health_test

import (
	"flag"
	"fmt"
	"testing"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/script"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

var update = flag.Bool("update", false, "rewrite the effects in testdata")

// TestScripts guards against a wrong state of the backend server: which one it is, and whether it accepts requests.
// The head of each file in testdata describes the failure that the script guards against.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txtar", *update, func() script.Reducer {
		r := &reducer{state: health.New(health.WithProbeInterval(100 * time.Millisecond))}
		r.state.Apply(time.Time{}, health.PaceChanged{})

		return r
	})
}

// reducer applies script lines to a health state.
type reducer struct{ state *health.State }

func (r *reducer) Next() time.Time { return r.state.Next() }

func (r *reducer) Tick(now time.Time) []string { return r.apply(now, health.Tick{}) }

func (r *reducer) Apply(now time.Time, line script.Line) []string {
	return r.apply(now, parseEvent(now, line))
}

func (r *reducer) apply(now time.Time, event health.Event) []string {
	var lines []string

	for _, effect := range r.state.Apply(now, event) {
		switch effect.(type) {
		case health.Probe:
			lines = append(lines, "probe")
		case health.ColdChanged:
			lines = append(lines, fmt.Sprintf("cold for %s", r.state.ColdFor(now)))
		case health.Changed:
			status := string(r.state.RefusalReason())
			if status == "" {
				status = "open"
			}

			lines = append(lines, fmt.Sprintf("server %q: %s, %d slots", r.state.Server(), status, r.state.Slots()))
		}
	}

	return lines
}

// startTime returns the start of a server by a number, so that later runs have higher numbers; zero if unknown.
func startTime(number int) time.Time {
	if number == 0 {
		return time.Time{}
	}

	return time.Unix(int64(1_700_000_000+number), 0).UTC()
}

func parseEvent(_ time.Time, line script.Line) health.Event {
	switch line.Command {
	case "started":
		return health.Started{
			Last: backend.ID(line.Text("last", "")), Born: startTime(line.Int("born", 0)), Left: line.Has("left"),
		}
	case "announce":
		return health.Announced{Announcement: backend.Announcement{
			ID: backend.ID(line.Word(0)), Born: startTime(line.Int("born", 0)),
			Sequence: int64(line.Int("sequence", 1)),
			Slots:    line.Int("slots", 6), Draining: line.Has("draining"), ColdFor: line.Duration("cold", 0),
			ColdStated: line.Text("cold", "") != "",
		}}
	case "withdraw":
		return health.Withdrawn{ID: backend.ID(line.Word(0)), Born: startTime(line.Int("born", 0))}
	case "leaving":
		return health.Leaving{ID: backend.ID(line.Text("id", ""))}
	case "observe":
		return health.Observed{Load: dialect.Load{Slots: line.Int("slots", 6), Slowness: line.Float("slowness", 1)}}
	case "ran":
		return health.Ran{Failed: line.Has("failed") || line.Has("unserved"), Unserved: line.Has("unserved")}
	case "refused":
		return health.Refused{}
	case "misdirected":
		return health.Misdirected{ID: backend.ID(line.Word(0))}
	case "pace":
		return health.PaceChanged{Interval: line.Duration("interval", 0)}
	case "watched":
		return health.Busy{Watched: true}
	case "running":
		return health.Busy{Running: !line.Has("ended")}
	case "policy":
		return health.ColdPolicyChanged{Cold: manifest.Cold{Time: 3 * time.Second, Rate: 12}}
	case "probed":
		return health.Probed{
			Answered: !line.Has("lost"), Healthy: !line.Has("ill") && !line.Has("lost"),
			ID: backend.ID(line.Text("id", "")), Loaded: line.Text("slots", "") != "",
			Load:    dialect.Load{Slots: line.Int("slots", 0), Slowness: line.Float("slowness", 1)},
			ColdFor: line.Duration("cold", 0), ColdStated: line.Text("cold", "") != "",
		}
	default:
		line.FailUnknownCommand()

		return nil
	}
}
