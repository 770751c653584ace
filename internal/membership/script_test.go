package membership_test

import (
	"flag"
	"fmt"
	"net/netip"
	"strings"
	"testing"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/script"
)

var update = flag.Bool("update", false, "rewrite the effects in testdata")

// TestScripts guards against daemons that do not find each other, unnecessary calls to the store, and beats that nobody
// asked for. The head of each script in testdata says what it guards against.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txtar", *update, func() script.Reducer {
		r := &reducer{state: membership.New(newMember("me", 1, 5), 1)}
		r.state.Apply(time.Time{}, membership.BudgetChanged{Unlimited: true})

		return r
	})
}

// reducer runs the commands of a script against the state of the daemon "me".
type reducer struct{ state *membership.State }

// newMember returns a member of the service "stock" at a port of 10.0.0.1.
func newMember(id string, port uint16, run uint64) instance.Member {
	return instance.Member{
		ID: instance.ID(id), Incarnation: instance.Incarnation(run), Service: "stock",
		Place: instance.Place{Region: "west", Domain: "d1"},
		Peer:  netip.AddrPortFrom(netip.MustParseAddr("10.0.0.1"), port), Slots: 6,
	}
}

// parseMember reads: ID [port=N] [run=INCARNATION] [counter=N] [service=NAME] [region=NAME] [status=left].
func parseMember(line script.Line) instance.Member {
	m := newMember(line.Word(0), uint16(line.Int("port", 0)), uint64(line.Int("run", 1)))
	m.Counter = uint64(line.Int("counter", 0))
	m.Service = line.Text("service", "stock")
	m.Place.Region = line.Text("region", "west")
	m.Place.Domain = line.Text("domain", m.Place.Domain)

	if line.Text("status", "") == "left" {
		m.Status = instance.Left
	}

	return m
}

func (r *reducer) Next() time.Time { return r.state.Next() }

func (r *reducer) Tick(now time.Time) []string {
	return formatEffects(r.state.Apply(now, membership.Tick{}))
}

func (r *reducer) Apply(now time.Time, line script.Line) []string {
	return formatEffects(r.state.Apply(now, parseEvent(line)))
}

func parseEvent(line script.Line) membership.Event {
	switch line.Command {
	case "start":
		return membership.Started{Announced: line.Has("announced")}
	case "entries":
		return parseEntries(line)
	case "written":
		return membership.EntryWritten{Failed: line.Has("failed")}
	case "beat":
		return parseBeat(line)
	case "server":
		return membership.SelfChanged{Entry: membership.Entry{Member: newMember("me", 1, 5), Server: line.Word(0)}}
	case "load":
		return membership.LoadChanged{
			Report: load.Report{
				Server: "me", Running: line.Int("running", 0), Counter: uint64(line.Int("running", 0)),
				Slots: line.Int("slots", 0), Slowness: line.Float("slowness", 1),
			},
			Version: uint64(line.Int("version", 0)),
		}
	case "budget":
		return membership.BudgetChanged{Bytes: line.Float("bytes", 0)}
	case "use":
		return membership.Used{Service: line.Word(0)}
	case "returned":
		return membership.StoreReturned{}
	case "resume":
		return membership.Resumed{}
	case "leave":
		return membership.Left{}
	default:
		line.FailUnknownCommand()

		return nil
	}
}

// parseBeat reads: beat MEMBER [watch] [greeting] [version=N] [references] [reference]. With "reference", the beat
// holds a reference in place of the member.
func parseBeat(line script.Line) membership.Event {
	from := parseMember(line)
	beat := membership.Beat{
		From: from, Watch: line.Has("watch"), Greeting: line.Has("greeting"), Version: uint64(line.Int("version", 0)),
		References: line.Has("references") || line.Has("reference"),
	}

	if line.Has("reference") {
		beat.From, beat.Reference = instance.Member{}, membership.ReferenceOf(from)
	}

	return membership.BeatHeard{Beat: beat, Source: from.Peer}
}

// parseEntries reads: entries [failed] [ID:PORT ...].
func parseEntries(line script.Line) membership.Event {
	read := membership.EntriesRead{Failed: line.Has("failed")}

	for _, word := range line.Words {
		id, port, found := strings.Cut(word, ":")
		if !found {
			continue
		}

		var number uint16

		_, _ = fmt.Sscan(port, &number)
		read.Entries = append(read.Entries, membership.Entry{Member: newMember(id, number, 1), Server: "i-" + id})
	}

	return read
}

func formatEffects(effects []membership.Effect) []string {
	lines := make([]string, 0, len(effects))

	for _, effect := range effects {
		switch e := effect.(type) {
		case membership.ReadEntries:
			lines = append(lines, "read entries")
		case membership.WriteEntry:
			lines = append(lines, fmt.Sprintf("write entry with server %q", e.Entry.Server))
		case membership.SendBeat:
			sender := e.Beat.From.Status.String()
			if e.Beat.Reference != 0 {
				sender = "reference"
			}

			lines = append(lines, fmt.Sprintf("beat to %d: watch=%t greeting=%t %s running=%d",
				e.To.Port(), e.Beat.Watch, e.Beat.Greeting, sender, e.Beat.Report.Running))
		case membership.MembersChanged:
			lines = append(lines, "members"+formatMembers(e.Members))
		case membership.VersionHeard:
			lines = append(lines, fmt.Sprintf("version %d at %s", e.Version, e.From.ID))
		case membership.Ready:
			lines = append(lines, fmt.Sprintf("ready, earlier server %q", e.Own.Server))
		}
	}

	return lines
}

func formatMembers(members []instance.Member) string {
	var out strings.Builder

	for _, m := range members {
		fmt.Fprintf(&out, " %s", m.ID)

		if m.Status != instance.Alive {
			fmt.Fprintf(&out, "(%s)", m.Status)
		}
	}

	return out.String()
}
