package routing_test

import (
	"flag"
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/script"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

var update = flag.Bool("update", false, "rewrite the effects in testdata")

// TestScripts checks where requests are sent, when they are repeated, and with which verdict they are given up. The
// head of each file in testdata names the failure that the file guards against.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txtar", *update, func() script.Reducer { return newReducer() })
}

// self is the daemon under test: instance "me" in domain d1 of region west.
var self = instance.Member{ID: "me", Service: "none", Place: instance.Place{Region: "west", Domain: "d1"}}

// reducer runs the lines of a script on a routing.State.
type reducer struct {
	state    *routing.State
	members  []instance.Member
	counters map[instance.ID]uint64
}

func newReducer() *reducer {
	r := &reducer{counters: make(map[instance.ID]uint64), members: []instance.Member{self}}
	r.state = routing.New(routing.WithSelf(self), routing.WithSeed(1),
		routing.WithRepeats(routing.Repeats{Share: 0.2, Slack: 100, Window: 10 * time.Second}))
	r.setPolicy(time.Time{}, manifest.Budget{Unlimited: true}, 1)

	return r
}

// setPolicy sets the budget and the share of hedged attempts of all services.
func (r *reducer) setPolicy(now time.Time, budget manifest.Budget, hedgeShare float64) {
	names := []string{"stock", "route"}
	services := make([]manifest.Service, 0, len(names))

	for _, name := range names {
		services = append(services, manifest.Service{
			Name: name, Budget: budget, Hedge: manifest.Hedge{Share: hedgeShare},
		})
	}

	r.state.Apply(now, routing.PolicyChanged{Services: services})
}

func (r *reducer) Next() time.Time { return r.state.Next() }

func (r *reducer) Tick(now time.Time) []string { return describe(r.state.Apply(now, routing.Tick{})) }

// Apply handles the commands of the test setup: "member" adds or changes a member, "forget" removes one, "budget"
// replaces the state by a new one with another repeat budget, and "policy" sets the limits of the services. All other
// commands are events.
func (r *reducer) Apply(now time.Time, line script.Line) []string {
	switch line.Command {
	case "member":
		return r.setMember(now, line)
	case "forget":
		r.members = slices.DeleteFunc(r.members, func(other instance.Member) bool {
			return string(other.ID) == line.Word(0)
		})

		return describe(r.state.Apply(now, routing.MembersChanged{Members: r.members}))
	case "budget":
		r.state = routing.New(routing.WithSelf(self), routing.WithSeed(1), routing.WithRepeats(routing.Repeats{
			Share: line.Float("share", 0), Slack: line.Float("slack", 0), Window: 10 * time.Second,
		}))
		r.setPolicy(now, manifest.Budget{Unlimited: true}, 1)

		return nil
	case "policy":
		r.setPolicy(now, manifest.Budget{Spill: int64(line.Int("spill", 0))}, line.Float("hedges", 0))

		return nil
	default:
		return describe(r.state.Apply(now, r.parseEvent(now, line)))
	}
}

// setMember adds or changes a member: member ID [service=S] [region=R] [domain=D] [slots=N] [status=alive|accused].
func (r *reducer) setMember(now time.Time, line script.Line) []string {
	m := instance.Member{
		ID: instance.ID(line.Word(0)), Incarnation: 1, Service: line.Text("service", "stock"),
		Place: instance.Place{Region: line.Text("region", "west"), Domain: line.Text("domain", "d2")},
		Slots: line.Int("slots", 4),
	}

	if line.Text("status", "alive") != "alive" {
		m.Status = instance.Accused
	}

	r.members = slices.DeleteFunc(r.members, func(other instance.Member) bool { return other.ID == m.ID })
	r.members = append(r.members, m)

	return describe(r.state.Apply(now, routing.MembersChanged{Members: r.members}))
}

func (r *reducer) parseEvent(now time.Time, line script.Line) routing.Event {
	switch line.Command {
	case "report":
		return routing.Reported{Report: r.parseReport(line)}
	case "request":
		return routing.Arrived{Request: parseRequest(now, line)}
	case "accepted":
		return routing.Accepted{
			ID: request.ID(line.Word(0)), Number: line.Int("attempt", 0), Running: line.Has("running"),
		}
	case "ended":
		return parseEnded(line)
	case "closing":
		return routing.Closing{}
	case "restarted":
		return routing.Restarted{}
	case "evacuated":
		return routing.EvacuationsChanged{Domains: line.Words}
	case "cancelled":
		return routing.Cancelled{ID: request.ID(line.Word(0))}
	default:
		line.FailUnknownCommand()

		return nil
	}
}

// parseReport reads: report ID [closed] [running=N] [waiting=N] [low=N] [slots=N] [slowness=F] [failing=F] [calls=F]
// [cold=D]. The key waiting counts waiting requests of the urgent rank, low those of the low rank.
func (r *reducer) parseReport(line script.Line) load.Report {
	id := instance.ID(line.Word(0))
	r.counters[id]++

	return load.Report{
		Server: id, Incarnation: 1, Counter: r.counters[id], Open: !line.Has("closed"),
		Running: line.Int("running", 0), Slots: line.Int("slots", 4),
		Waiting:  load.Waiting{request.UrgentRank: line.Int("waiting", 0), request.LowRank: line.Int("low", 0)},
		Slowness: line.Float("slowness", 1), Failing: line.Float("failing", 0), Calls: parseCalls(line),
		ColdFor: line.Duration("cold", 0),
	}
}

// parseRequest reads: request ID [service=S] [deadline=D] [target=D] [attempts=N] [size=N] [nested] [once]. The word
// "once" stands for a request that must not run twice.
func parseRequest(now time.Time, line script.Line) request.Request {
	r := request.Request{
		ID: request.ID(line.Word(0)), Service: line.Text("service", "stock"), Route: "stock/r",
		Kind: manifest.Idempotent, Deadline: now.Add(line.Duration("deadline", time.Second)),
		Target: now.Add(line.Duration("target", 500*time.Millisecond)), Attempts: line.Int("attempts", 2),
		Size: int64(line.Int("size", 0)),
	}

	if regions := line.Text("regions", ""); regions != "" {
		r.Regions = request.NewRegions(strings.Split(regions, ","))
	}

	if line.Has("nested") {
		r.Depth = 1
	}

	if line.Has("once") {
		r.Kind = manifest.NonIdempotent
	}

	return r
}

// parseCalls reads the number of calls per request to the service named route.
func parseCalls(line script.Line) []load.Calls {
	rate := line.Float("calls", 0)
	if rate == 0 {
		return nil
	}

	return []load.Calls{{Service: "route", Rate: rate}}
}

// parseEnded reads: ended ID [attempt=N] answered|refused|unreachable|broken|aborted [failure] [ran] [dropped]
// [evacuated] [bytes=N].
func parseEnded(line script.Line) routing.Ended {
	e := routing.Ended{
		ID: request.ID(line.Word(0)), Number: line.Int("attempt", 0), Failure: line.Has("failure"),
		Bytes: int64(line.Int("bytes", 1000)), Verdict: verdict.NotRun, Dropped: line.Has("dropped"),
		Evacuated: line.Has("evacuated"),
	}

	switch {
	case line.Has("answered"):
		e.Outcome, e.Verdict = routing.Answered, verdict.Answered
	case line.Has("refused"):
		e.Outcome = routing.Refused
	case line.Has("unreachable"):
		e.Outcome = routing.Unreachable
	case line.Has("broken"):
		e.Outcome, e.Verdict = routing.Broken, verdict.MayHaveRun
	case line.Has("aborted"):
		e.Outcome = routing.Aborted
	}

	if line.Has("ran") {
		e.Verdict = verdict.MayHaveRun
	}

	return e
}

func describe(effects []routing.Effect) []string {
	lines := make([]string, 0, len(effects))

	for _, effect := range effects {
		switch e := effect.(type) {
		case routing.Attempt:
			lines = append(lines, fmt.Sprintf("send %s/%d to %s: %s, wait %s, slowest %.1f",
				e.Request.ID, e.Number, e.Target.ID, e.Why, e.Wait, e.Slowest))
		case routing.CancelAttempt:
			lines = append(lines, fmt.Sprintf("withdraw %s/%d: %s", e.ID, e.Number, e.Why))
		case routing.Deliver:
			lines = append(lines, fmt.Sprintf("deliver %s/%d", e.ID, e.Number))
		case routing.GiveUp:
			lines = append(lines, fmt.Sprintf("give up %s: %s, %s", e.ID, e.Verdict, e.Reason))
		}
	}

	return lines
}
