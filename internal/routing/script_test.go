package routing_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

var update = flag.Bool("update", false, "rewrite the effects in testdata")

// TestScripts guards against a changed decision about slow, fail-fast, cold, refusing and unreachable
// servers. Each file in testdata has events and the effects that they must have.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)

	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			require.Len(t, archive.Files, 2)

			got := runScript(t, string(archive.Files[0].Data))
			if *update {
				archive.Files[1].Data = []byte(got)
				require.NoError(t, os.WriteFile(file, txtar.Format(archive), 0o600))
			}

			require.Equal(t, string(archive.Files[1].Data), got)
		})
	}
}

// script interprets events, one a line; see the files in testdata.
type script struct {
	t     *testing.T
	state *routing.State
	start time.Time
	now   time.Time
	out   strings.Builder
	sent  map[string]routing.Attempt
}

func runScript(t *testing.T, text string) string {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := &script{
		t: t, start: start, now: start, sent: map[string]routing.Attempt{},
		state: routing.New(routing.WithSeed(7), routing.WithPlace(instance.Place{Region: "west", Domain: "w1"})),
	}

	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(line, "#") {
			continue
		}

		fmt.Fprintf(&s.out, "> %s\n", strings.TrimSpace(line))
		s.step(fields[0], fields[1:], options(fields))
	}

	return s.out.String()
}

// options returns the name=value words.
func options(fields []string) map[string]string {
	found := map[string]string{}

	for _, field := range fields {
		name, value, _ := strings.Cut(field, "=")
		found[name] = value
	}

	return found
}

func (s *script) duration(text string) time.Duration {
	if text == "" {
		return 0
	}

	d, err := time.ParseDuration(text)
	require.NoError(s.t, err)

	return d
}

func (s *script) number(text string) float64 {
	if text == "" {
		return 0
	}

	n, err := strconv.ParseFloat(text, 64)
	require.NoError(s.t, err)

	return n
}

func (s *script) step(command string, args []string, opts map[string]string) {
	switch command {
	case "after":
		for end := s.now.Add(s.duration(args[0])); s.now.Before(end); {
			s.now = s.now.Add(min(routing.TickInterval, end.Sub(s.now)))
			s.apply(routing.Tick{})
		}
	case "policy":
		s.apply(routing.PolicyChanged{Services: []manifest.Service{{
			Name: "stock",
			Budget: manifest.Budget{
				Probes: s.number(opts["probes"]), Bytes: int64(s.number(opts["bytes"])),
				Cross: int64(s.number(opts["cross"])), Spill: int64(s.number(opts["spill"])),
			},
			Retry: manifest.Retry{Share: s.number(opts["retry"]), Attempts: int(s.number(opts["attempts"]))},
			Hedge: manifest.Hedge{Share: s.number(opts["hedge"]), Quantile: s.number(opts["quantile"])},
		}}})
	case "members":
		s.apply(routing.MembersChanged{Service: "stock", Members: s.members(args)})
	case "arrive":
		r := request.Request{ID: request.ID(args[0]), Service: "stock", Size: 200, Deadline: s.now.Add(time.Second)}
		if _, ok := opts["idempotent"]; ok {
			r.Kind = manifest.Idempotent
		}

		if d := opts["deadline"]; d != "" {
			r.Deadline = s.now.Add(s.duration(d))
		}

		s.apply(routing.Arrived{Request: r})
	case "end":
		s.end(args, opts)
	case "cancel":
		s.apply(routing.Cancelled{ID: request.ID(args[0])})
	case "timer":
		s.apply(routing.TimerFired{ID: request.ID(args[0])})
	case "flood":
		s.flood(opts)
	default:
		s.t.Fatalf("unknown command %q", command)
	}
}

// members parses id/domain/status/incarnation; the region is named by the domain's first letter.
func (s *script) members(args []string) []instance.Member {
	members := make([]instance.Member, 0, len(args))

	statuses := map[string]instance.Status{"draining": instance.Draining, "dead": instance.Dead}

	for _, arg := range args {
		parts := append(strings.Split(arg, "/"), "", "", "")
		region := map[byte]string{'w': "west", 'e': "east"}[parts[1][0]]
		members = append(members, instance.Member{
			ID: instance.ID(parts[0]), Service: "stock", Slots: 6, Status: statuses[parts[2]],
			Place:       instance.Place{Region: region, Domain: parts[1]},
			Incarnation: instance.Incarnation(s.number(parts[3])), Started: s.now,
		})
	}

	return members
}

var outcomes = map[string]struct {
	outcome routing.Outcome
	verdict verdict.Verdict
}{
	"succeeded":   {routing.Succeeded, verdict.Answered},
	"draining":    {routing.Refused, verdict.NotRun},
	"refused":     {routing.Refused, verdict.NotRun},
	"failed":      {routing.Failed, verdict.Answered},
	"unreachable": {routing.Unreachable, verdict.NotRun},
	"lost":        {routing.Lost, verdict.MayHaveRun},
	"timeout":     {routing.TimedOut, verdict.MayHaveRun},
	"aborted":     {routing.Aborted, verdict.MayHaveRun},
}

func (s *script) end(args []string, opts map[string]string) {
	sent, ok := s.sent[args[0]+"/"+args[1]]
	require.True(s.t, ok, "no attempt %v", args)

	_, draining := opts["draining"]
	event := routing.AttemptEnded{
		ID: sent.Request.ID, Number: sent.Number, Target: sent.Target.ID, Draining: draining,
		Verdict: outcomes[args[2]].verdict, Outcome: outcomes[args[2]].outcome,
		Elapsed: s.duration(opts["elapsed"]), Bytes: int64(s.number(opts["bytes"])),
	}

	if text := opts["hint"]; text != "" {
		event.Hinted, event.Hint = true, load.Hint{Limit: 6, Latency: 10 * time.Millisecond}
		_, err := fmt.Sscanf(text, "%d+%d", &event.Hint.InFlight, &event.Hint.Queue)
		require.NoError(s.t, err)
	}

	s.apply(event)
}

func (s *script) apply(event routing.Event) []routing.Effect {
	effects := s.state.Apply(s.now, event)
	for _, effect := range effects {
		s.record(effect)
	}

	return effects
}

func (s *script) record(effect routing.Effect) {
	switch e := effect.(type) {
	case routing.Attempt:
		s.sent[fmt.Sprintf("%s/%d", e.Request.ID, e.Number)] = e
		fmt.Fprintf(&s.out, "attempt %s/%d hedge=%t nowait=%t hint=%t\n", e.Request.ID, e.Number, e.Hedge, e.NoWait, e.Hint)
	case routing.CancelAttempt:
		fmt.Fprintf(&s.out, "cancel %s/%d\n", e.ID, e.Number)
	case routing.Deliver:
		fmt.Fprintf(&s.out, "deliver %s/%d\n", e.ID, e.Number)
	case routing.GiveUp:
		fmt.Fprintf(&s.out, "give up %s %s %s retry=%t\n", e.ID, e.Verdict, e.Reason, e.RetryAfter > 0)
	case routing.StartTimer:
		fmt.Fprintf(&s.out, "timer %s %s\n", e.ID, e.After)
	case routing.Probe:
		fmt.Fprintf(&s.out, "probe at %s\n", s.now.Sub(s.start))
	}
}

// flood sends requests at a fixed interval to servers of stated behaviour and checks stated bounds on
// the share of the requests that each server receives.
func (s *script) flood(opts map[string]string) {
	type end struct {
		at    time.Time
		event routing.AttemptEnded
	}

	var (
		pending []end
		picks   = map[instance.ID]int{}
		total   int
		count   = int(s.number(opts["count"]))
	)

	for i := 0; i < count || len(pending) > 0; i++ {
		s.now = s.now.Add(time.Millisecond)

		var events []routing.Event
		if i < count {
			id := request.ID(fmt.Sprintf("flood-%s-%d", s.now, i))
			events = append(events, routing.Arrived{Request: request.Request{
				ID: id, Service: "stock", Deadline: s.now.Add(time.Hour), Kind: manifest.Idempotent,
			}})
		}

		if i%50 == 0 {
			events = append(events, routing.Tick{})
		}

		waiting := pending[:0:0]

		for _, p := range pending {
			if p.at.After(s.now) {
				waiting = append(waiting, p)
			} else {
				events = append(events, p.event)
			}
		}

		pending = waiting

		for _, event := range events {
			for _, effect := range s.state.Apply(s.now, event) {
				a, ok := effect.(routing.Attempt)
				if !ok {
					continue
				}

				kind, elapsed, _ := strings.Cut(opts[string(a.Target.ID)], ":")
				picks[a.Target.ID]++
				total++

				if kind == "flaky" {
					kind = map[bool]string{true: "failed", false: "succeeded"}[picks[a.Target.ID]%10 == 0]
				}

				pending = append(pending, end{s.now.Add(s.duration(elapsed)), routing.AttemptEnded{
					ID: a.Request.ID, Number: a.Number, Target: a.Target.ID, Elapsed: s.duration(elapsed),
					Outcome: outcomes[kind].outcome, Verdict: outcomes[kind].verdict, Draining: kind == "draining",
				}})
			}
		}
	}

	for _, bound := range strings.Split(opts["want"], ",") {
		id, limit, upper := strings.Cut(bound, "<")
		if !upper {
			id, limit, _ = strings.Cut(bound, ">")
		}

		percent := 100 * float64(picks[instance.ID(id)]) / float64(total)
		require.Equal(s.t, upper, percent < s.number(limit), "%s: %.1f %% of the attempts", bound, percent)
	}
}
