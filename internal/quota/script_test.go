package quota_test

import (
	"flag"
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/quota"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/script"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

var update = flag.Bool("update", false, "rewrite the effects in testdata")

// TestScripts checks when requests get a token, wait or are refused, and to which pool the share is leased. The head of
// each file in testdata names the failure that the file guards against.
func TestScripts(t *testing.T) {
	script.Run(t, "testdata/*.txtar", *update, func() script.Reducer {
		return &reducer{state: quota.New(scriptMember("b")), stamp: 1}
	})
}

// reducer runs the lines of a script on the state of the daemon b, whose pool is usually the daemon a.
type reducer struct {
	state *quota.State
	// asked is the last item that the daemon has sent, and sequence that of its last message without one.
	asked    quota.Item
	sequence uint64
	stamp    uint64
}

func scriptMember(id string) instance.Member {
	return instance.Member{
		ID: instance.ID(id), Incarnation: 1, Place: instance.Place{Region: "r", Domain: "d"},
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[0]}), 80),
	}
}

func (r *reducer) Next() time.Time { return r.state.Next() }

func (r *reducer) Tick(now time.Time) []string { return r.apply(now, quota.Tick{}) }

func (r *reducer) Apply(now time.Time, line script.Line) []string {
	switch line.Command {
	case "members":
		members := make([]instance.Member, 0, len(line.Words))
		for _, id := range line.Words {
			members = append(members, scriptMember(id))
		}

		return r.apply(now, quota.MembersChanged{Members: members, Listed: line.Int("listed", 1) > 0})
	case "contacted":
		return r.apply(now, quota.Contacted{})
	case "limit":
		return r.apply(now, quota.PolicyChanged{Tenants: []manifest.Tenant{{
			Name: "t", Rate: line.Float("rate", 0), Burst: line.Float("burst", 0),
		}}})
	case "arrive":
		return r.apply(now, quota.Arrived{
			ID: request.ID(line.Word(0)), Tenant: "t", Target: now.Add(line.Duration("target", time.Second)),
		})
	case "cancel":
		return r.apply(now, quota.Cancelled{ID: request.ID(line.Word(0))})
	case "returned":
		return r.apply(now, quota.Returned{ID: request.ID(line.Word(0))})
	case "resumed":
		return r.apply(now, quota.Resumed{})
	case "closing":
		return r.apply(now, quota.Closing{})
	case "reply":
		return r.reply(now, line)
	default:
		line.FailUnknownCommand()

		return nil
	}
}

// reply applies the answer of a pool: of the last request for tokens, if the line has tokens, or of the last report.
func (r *reducer) reply(now time.Time, line script.Line) []string {
	m := quota.Message{
		Kind: quota.Reply, From: quota.RunOf(scriptMember(line.Word(0))), To: quota.RunOf(scriptMember("b")),
		Sequence: r.sequence, Release: line.Has("release"), Lease: true,
	}

	if tokens := line.Int("tokens", -1); tokens >= 0 {
		m.Items = []quota.Item{{
			Tenant: r.asked.Tenant, Number: r.asked.Number, Tokens: tokens, Wait: line.Duration("wait", 0),
			Share: line.Float("share", 1),
		}}
	} else {
		r.stamp++
		m.Stamp = r.stamp
	}

	return r.apply(now, quota.Heard{Message: m})
}

func (r *reducer) apply(now time.Time, event quota.Event) []string {
	var lines []string

	for _, effect := range r.state.Apply(now, event) {
		switch e := effect.(type) {
		case quota.Admit:
			lines = append(lines, fmt.Sprintf("admit %s", e.ID))
		case quota.Refuse:
			lines = append(lines, fmt.Sprintf("refuse %s: %s, retry after %s", e.ID, e.Reason, e.RetryAfter))
		case quota.PoolChanged:
			lines = append(lines, fmt.Sprintf("pool %t", e.Started))
		case quota.PoolChosen:
			lines = append(lines, fmt.Sprintf("use pool %s", e.Pool))
		case quota.Send:
			lines = append(lines, r.sent(e))
		}
	}

	return lines
}

func (r *reducer) sent(e quota.Send) string {
	to := string(rune(e.To.Addr().As4()[3]))

	if len(e.Message.Items) > 0 {
		r.asked = e.Message.Items[0]

		return fmt.Sprintf("ask %s for %d and %d", to, r.asked.Tokens, r.asked.Extra)
	}

	r.sequence = e.Message.Sequence

	return fmt.Sprintf("report to %s, lease %t, release %t", to, e.Message.Lease, e.Message.Release)
}
