package logrelay_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
)

// within is the stated target: an accepted version is in force everywhere after it.
const within = 3 * time.Second

// recovery is how long the fleet has after faults end until the target holds again: the longest
// backoff of a daemon's own reads plus the time after which a missing base is asked for again.
const recovery = 90 * time.Second

func (m *model) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *node { return m.nodes[rapid.IntRange(0, len(m.nodes)-1).Draw(t, "node")] }
	current := func() uint64 { return uint64(len(m.versions) - 1) }

	return map[string]func(*rapid.T){
		"advance": func(t *rapid.T) {
			m.advance(time.Duration(rapid.IntRange(1, 6000).Draw(t, "ms")) * time.Millisecond)
		},
		"wait":    func(*rapid.T) { m.advance(40 * time.Second) },
		"publish": func(*rapid.T) { m.publish(current(), "manifest") },
		"publishTwo": func(*rapid.T) {
			base := current()
			m.publish(base, "one")
			m.publish(base, "two")
		},
		"publishInvalid": func(*rapid.T) { m.publish(current(), invalidManifest) },
		"publishAhead":   func(*rapid.T) { m.publish(current()+1, "ahead") },
		"writeMalformed": func(*rapid.T) { m.write([]byte("\xff\xffmalformed")) },
		"expire":         func(*rapid.T) { m.expire(m.usable()) },
		"expireHard": func(t *rapid.T) {
			// Rare, because after it the current version is often known to nobody.
			if rapid.IntRange(0, 5).Draw(t, "rare") == 0 {
				m.expire(m.next() - min(m.next(), rapid.Uint64Range(0, 6).Draw(t, "keep")))
			}
		},
		// The publish record that overtook the last snapshot expires, and the snapshot stays.
		"expireBetween": func(*rapid.T) {
			if through := m.usable(); m.decisions[through].ID != "" {
				m.expire(through + 1)
			}
		},
		"restartAll": func(t *rapid.T) {
			if rapid.IntRange(0, 3).Draw(t, "rare") == 0 {
				for _, n := range m.nodes {
					m.start(n)
				}
			}
		},
		"request": func(t *rapid.T) {
			if n := pick(t); n.up {
				m.request(n)
			}
		},
		"direct": func(t *rapid.T) {
			if n := pick(t); n.up {
				m.direct(n, rapid.Uint64Range(0, m.next()).Draw(t, "from"))
			}
		},
		"race":    func(*rapid.T) { m.race = !m.race },
		"restart": func(t *rapid.T) { m.start(pick(t)) },
		"kill":    func(t *rapid.T) { m.stop(pick(t)) },
		"relay":   func(t *rapid.T) { m.toggle(pick(t)) },
		"cut":     func(t *rapid.T) { n := pick(t); n.cut = !n.cut },
		"outage":  func(*rapid.T) { m.outage = !m.outage },
		"stale":   func(*rapid.T) { m.stale = !m.stale },
		"lose":    func(*rapid.T) { m.lose = !m.lose },
		"network": func(t *rapid.T) {
			m.netLoss, m.netDup = rapid.Float64Range(0, 0.6).Draw(t, "loss"), rapid.Float64Range(0, 0.6).Draw(t, "dup")
			m.delay = time.Duration(rapid.IntRange(2, 1500).Draw(t, "delay")) * time.Millisecond
		},
		"heal": func(*rapid.T) { m.heal() },
	}
}

// usable returns the offset that the last snapshot reflects; it may be expired without loss.
func (m *model) usable() uint64 {
	for _, data := range slices.Backward(m.records) {
		if decoded, err := record.DecodeConfig(data); err == nil {
			if s, ok := decoded.(record.Snapshot); ok {
				return s.Through
			}
		}
	}

	return 0
}

func (m *model) toggle(n *node) {
	if n.up {
		m.role(n, !n.isRelay)
	}
}

// finish ends all faults and checks that the fleet comes together on the current version.
func (m *model) finish() {
	m.heal()

	if !m.recoverable() {
		m.reached["model.Unrecoverable"]++

		return
	}

	relay := slices.ContainsFunc(m.nodes, func(n *node) bool { return n.up && n.isRelay })
	for _, n := range m.nodes {
		if !n.up {
			m.start(n)
		}
	}

	if !relay {
		m.role(m.nodes[0], true)
	}

	m.advance(recovery)
	m.check("after the faults ended")
	m.publish(uint64(len(m.versions)-1), "last")
	m.advance(within)
	m.check("within the target after a publish")
}

func (m *model) check(when string) {
	for _, n := range m.nodes {
		if current := uint64(len(m.versions) - 1); n.forced != current {
			m.fail("%s has version %d in force, not %d, %s; log from %d to %d; daemons: %s",
				n.id, n.forced, current, when, m.first, m.next(), m.describe())
		}
	}

	// A record appended by the queue is appended once.
	for key, data := range m.appends {
		if copies := m.copies(data); copies > 1 {
			m.fail("%+v was appended %d times", key, copies)
		}
	}
}

func (m *model) describe() string {
	var text strings.Builder
	for _, n := range m.nodes {
		fmt.Fprintf(&text, "\n%s run %d cut %v neighbours %v: %+v %+v", n.id, n.run, n.cut, n.neighbors,
			n.state.Config.Dump(), n.state.Relay.Dump())
	}

	for offset, data := range m.records {
		decoded, _ := record.DecodeConfig(data)
		fmt.Fprintf(&text, "\n%d %+v", offset, decoded)
	}

	return text.String()
}

// Guards against versions that go back, differ between daemons, are taken although a decisive record
// may be missing, or do not reach a daemon in time; and against appends that are repeated blindly.
// Several daemons read one log under loss, duplication, delay, reordering, restarts, expiry, stale
// reads, outages and lost append answers.
func TestMachine(t *testing.T) {
	reached := map[string]uint64{}

	rapid.Check(t, func(rt *rapid.T) {
		size := rapid.IntRange(1, 9).Draw(rt, "daemons")
		m := newModel(rapid.Uint64().Draw(rt, "seed"), size, rt.Fatalf)
		rt.Repeat(m.actions())
		m.finish()

		for _, n := range m.nodes {
			m.stop(n)
		}

		for name, count := range m.reached {
			reached[name] += count
		}
	})

	var missing []string

	for name, count := range reached {
		t.Logf("reached %-24s %d", name, count)

		if count == 0 {
			missing = append(missing, name)
		}
	}

	require.Empty(t, missing, "transitions that no run reached")
}
