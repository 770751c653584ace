package logrelay_test

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"sort"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/config/follower"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
)

const invalidManifest = "invalid"

func validate(manifest string) error {
	if manifest == invalidManifest {
		return errors.New("invalid")
	}

	return nil
}

// node is a daemon of the model.
type node struct {
	id        instance.ID
	run       int
	state     *follower.State
	up        bool
	cut       bool
	isRelay   bool
	forced    uint64
	neighbors []instance.ID
}

// accepted is what the oracle knows of a version.
type accepted struct{ id, manifest string }

// appendKey names an append: tokens are unique in one daemon.
type appendKey struct {
	id    instance.ID
	token uint64
}

// model is a fleet, a log and the network between them in virtual time.
type model struct {
	fail   func(format string, args ...any)
	random *rand.Rand
	now    time.Time
	queue  []item
	nodes  []*node

	// records are never removed; first is the first one that the log still shows.
	records [][]byte
	first   uint64
	// views are earlier states of the log, which stale reads show.
	views  [][2]uint64
	outage bool
	stale  bool
	// wasStale is set once the log has answered with old data in this run.
	wasStale bool
	lose     bool
	// race has publish records overtake the snapshots that daemons write.
	race bool
	// refresh is the retention that daemons assume.
	refresh time.Duration
	netLoss float64
	netDup  float64
	delay   time.Duration

	versions  []accepted
	decisions map[uint64]config.Decided
	appends   map[appendKey][]byte
	token     uint64
	calls     map[uint64]func(logrelay.Page)
	reached   map[string]uint64
}

// item is a step at a time. Steps of one time run in the order in which they were planned.
type item struct {
	at time.Time
	do func()
}

func newModel(seed uint64, size int, fail func(string, ...any)) *model {
	m := &model{
		fail: fail, random: rand.New(rand.NewPCG(seed, 9)), now: time.Unix(1_000_000, 0),
		versions: []accepted{{}}, decisions: map[uint64]config.Decided{}, appends: map[appendKey][]byte{},
		calls: map[uint64]func(logrelay.Page){}, reached: map[string]uint64{},
	}
	m.heal()
	chord := []int{1, size / 2}[m.random.IntN(2)]
	m.refresh = []time.Duration{2 * time.Minute, time.Hour}[m.random.IntN(2)]
	m.views = [][2]uint64{{0, 0}}

	for i := range size {
		n := &node{id: instance.ID(fmt.Sprint("n", i)), isRelay: i == 0}
		// A ring, or one with chords: news takes several hops.
		for _, j := range []int{i + 1, i + size - 1, i + chord} {
			if id := instance.ID(fmt.Sprint("n", j%size)); id != n.id && !slices.Contains(n.neighbors, id) {
				n.neighbors = append(n.neighbors, id)
			}
		}

		m.nodes = append(m.nodes, n)
		m.start(n)
	}

	return m
}

func (m *model) heal() {
	m.outage, m.stale, m.lose, m.race = false, false, false, false
	m.netLoss, m.netDup, m.delay = 0, 0, 40*time.Millisecond
	for _, n := range m.nodes {
		n.cut = false
	}
}

// start begins a run of a daemon, which remembers nothing.
func (m *model) start(n *node) {
	m.stop(n)
	n.run++
	n.up, n.forced = true, 0
	seed := m.random.Uint64()
	stream := logrelay.Stream{Name: record.ConfigStream, Records: 6}
	n.state = follower.New(
		logrelay.New(logrelay.WithSeed(seed), logrelay.WithStreams(stream)),
		config.New(config.WithSeed(seed), config.WithValidation(validate), config.WithRetention(m.refresh)),
		uint64(n.run)<<32,
	)
	m.apply(n, logrelay.NeighboursChanged{Neighbours: n.neighbors})
	m.role(n, n.isRelay)
	m.every(n, logrelay.TickInterval, func() { m.apply(n, logrelay.Tick{}) })
	m.every(n, config.TickInterval, func() { m.configure(n, config.Tick{}) })
	m.every(n, time.Second, func() { m.announce(n, n.neighbors, n.state.Relay.Throughs(m.now)) })
}

func (m *model) stop(n *node) {
	if n.up {
		m.count("relay", n.state.Relay.Dump().Counts)
		m.count("config", n.state.Config.Dump().Counts)
	}

	n.up = false
}

func (m *model) count(prefix string, counts any) {
	v := reflect.ValueOf(counts)
	for i := range v.NumField() {
		m.reached[prefix+"."+v.Type().Field(i).Name] += v.Field(i).Uint()
	}
}

func (m *model) role(n *node, relay bool) {
	n.isRelay = relay
	m.perform(n, n.state.ChangeRole(m.now, relay))
}

func (m *model) after(d time.Duration, do func()) {
	at := m.now.Add(d)
	i := sort.Search(len(m.queue), func(i int) bool { return m.queue[i].at.After(at) })
	m.queue = slices.Insert(m.queue, i, item{at: at, do: do})
}

// on runs a step of a daemon later, unless it has stopped by then.
func (m *model) on(n *node, d time.Duration, do func()) {
	run := n.run
	m.after(d, func() {
		if n.up && n.run == run {
			do()
		}
	})
}

func (m *model) every(n *node, d time.Duration, do func()) {
	m.on(n, d, func() {
		do()
		m.every(n, d, do)
	})
}

func (m *model) advance(d time.Duration) {
	end := m.now.Add(d)
	for len(m.queue) > 0 && !m.queue[0].at.After(end) {
		next := m.queue[0]
		m.queue = m.queue[1:]
		m.now = next.at
		next.do()
	}

	m.now = end
}

func (m *model) latency() time.Duration { return time.Duration(m.random.Int64N(int64(m.delay))) }

func (m *model) chance(p float64) bool { return m.random.Float64() < p }

// send delivers a message between daemons: late, twice, out of order or never.
func (m *model) send(from, to *node, deliver func()) {
	if from.cut != to.cut || m.chance(m.netLoss) {
		return
	}

	m.on(to, m.latency(), deliver)

	if m.chance(m.netDup) {
		m.on(to, m.latency(), deliver)
	}
}

func (m *model) node(id instance.ID) *node {
	return m.nodes[slices.IndexFunc(m.nodes, func(n *node) bool { return n.id == id })]
}

func (m *model) announce(n *node, peers []instance.ID, throughs []logrelay.Through) {
	for _, id := range peers {
		to := m.node(id)
		m.send(n, to, func() { m.apply(to, logrelay.ThroughsHeard{From: n.id, Throughs: throughs}) })
	}
}

func (m *model) apply(n *node, event logrelay.Event) { m.perform(n, n.state.Apply(m.now, event)) }

func (m *model) configure(n *node, event config.Event) { m.perform(n, n.state.Configure(m.now, event)) }

func (m *model) perform(n *node, effects []follower.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case logrelay.Read:
			m.on(n, m.latency(), func() { m.read(n, e) })
		case logrelay.Pull:
			m.pull(n, e)
		case logrelay.Answer:
			m.calls[e.Call](e.Page)
			delete(m.calls, e.Call)
		case logrelay.Announce:
			m.announce(n, e.Peers, e.Throughs)
		case logrelay.Append:
			m.appends[appendKey{n.id, e.Token}] = e.Data
			m.on(n, m.latency(), func() { m.append(n, e) })
		case logrelay.AppendDone:
			m.appendDone(m.appends[appendKey{n.id, e.Token}], e)
		case config.InForce:
			m.inForce(n, e)
		case config.Decided:
			if want := m.decisions[e.Offset]; e != want {
				m.fail("%s decided %+v, the log's order says %+v", n.id, e, want)
			}
		default:
			m.fail("unexpected effect %T", e)
		}
	}
}

// inForce checks that a version is the one of the log's order and higher than the one before.
func (m *model) inForce(n *node, e config.InForce) {
	if e.Version <= n.forced {
		m.fail("%s went from version %d to %d", n.id, n.forced, e.Version)
	}

	if e.Version >= uint64(len(m.versions)) || m.versions[e.Version] != (accepted{e.ID, e.Manifest}) {
		m.fail("%s has version %d (%s) in force, which was not accepted", n.id, e.Version, e.ID)
	}

	n.forced = e.Version
}

func (m *model) next() uint64 { return uint64(len(m.records)) }

func (m *model) read(n *node, e logrelay.Read) {
	first, next := m.first, m.next()
	if m.stale && m.chance(0.7) {
		m.wasStale = true
		view := m.views[m.random.IntN(len(m.views))]
		first, next = view[0], view[1]
	}

	ended := logrelay.ReadEnded{Stream: e.Stream, Failed: m.outage}
	if !m.outage {
		ended.Page = logservice.Page{First: first, Next: next}
		for offset := max(first, e.From); offset < next && len(ended.Page.Records) < 8; offset++ {
			ended.Page.Records = append(ended.Page.Records, logservice.Record{Offset: offset, Data: m.records[offset]})
		}
	}

	m.on(n, m.latency(), func() { m.apply(n, ended) })
}

func (m *model) pull(n *node, e logrelay.Pull) {
	peer := m.node(e.Peer)
	m.token++
	call := m.token
	m.calls[call] = func(page logrelay.Page) {
		m.send(peer, n, func() { m.apply(n, logrelay.PullEnded{Stream: e.Stream, Peer: e.Peer, Page: page}) })
	}
	m.send(n, peer, func() {
		if m.calls[call] != nil {
			m.apply(peer, logrelay.PullRequested{Call: call, Stream: e.Stream, From: e.From})
		}
	})
}

func (m *model) append(n *node, e logrelay.Append) {
	ended := logrelay.AppendEnded{Token: e.Token, Failed: m.outage, Effect: logservice.NotAppended}
	if !m.outage {
		if m.race && m.chance(0.5) {
			m.publish(uint64(len(m.versions)-1), "overtaking")
		}

		ended.Offset = m.next()
		m.write(e.Data)

		if m.lose && m.chance(0.7) {
			ended.Failed, ended.Effect = true, logservice.MayBeAppended
		}
	} else if m.lose {
		// The request is lost before it takes effect, which the client cannot tell apart.
		ended.Effect = logservice.MayBeAppended
	}

	m.on(n, m.latency(), func() { m.apply(n, ended) })
}

func (m *model) appendDone(data []byte, e logrelay.AppendDone) {
	switch copies := m.copies(data); e.Result {
	case logrelay.Appended:
		if string(m.records[e.Offset]) != string(data) {
			m.fail("append of token %d reported at offset %d, where another record is", e.Token, e.Offset)
		}
	case logrelay.NotAppended:
		if copies > 0 {
			m.fail("append of token %d reported as not appended, but it is in the log", e.Token)
		}
	case logrelay.NotFound:
		if copies > 0 && !m.wasStale {
			m.fail("append of token %d reported as not found, but it is in the log", e.Token)
		}

		m.reached["model.NotFound"]++
	case logrelay.Unresolved:
		m.reached["model.Unresolved"]++
	}
}

// copies counts how often the record of one append is in the log. Equal records of other daemons are
// not counted.
func (m *model) copies(data []byte) (count int) {
	for _, r := range m.records {
		if len(data) > 0 && &r[0] == &data[0] {
			count++
		}
	}

	return count
}

// request queues a record of its own kind, to have more appends than snapshots.
func (m *model) request(n *node) {
	m.token++
	m.apply(n, logrelay.AppendRequested{
		Token: m.token, Stream: record.ConfigStream, Data: fmt.Appendf(nil, "\xff%d", m.token),
	})
}

// direct hands a page to the reducer of a daemon, past the relay: repeated, old or with a gap.
func (m *model) direct(n *node, from uint64) {
	view := m.views[m.random.IntN(len(m.views))]
	page := config.RecordsRead{First: view[0], Next: view[1]}

	for offset := max(view[0], from); offset < view[1]; offset++ {
		page.Records = append(page.Records, logservice.Record{Offset: offset, Data: m.records[offset]})
	}

	m.configure(n, page)
}

// write adds a record to the log, and to the oracle what it decides.
func (m *model) write(data []byte) {
	offset := m.next()
	m.records = append(m.records, data)

	if decoded, err := record.DecodeConfig(data); err == nil {
		if p, ok := decoded.(record.Publish); ok {
			current := uint64(len(m.versions) - 1)
			decided := config.Decided{Offset: offset, ID: p.ID}

			switch {
			case p.Base != current:
				decided.Reason = config.Outdated
			case validate(p.Manifest) != nil:
				decided.Reason = config.Invalid
			default:
				decided.Accepted = true
				current++
				m.versions = append(m.versions, accepted{p.ID, p.Manifest})
			}

			decided.Version, decided.Winner = current, m.versions[current].id
			m.decisions[offset] = decided
		}
	}

	m.views = append(m.views, [2]uint64{m.first, m.next()})
}

func (m *model) publish(base uint64, manifest string) {
	m.token++
	m.write(record.EncodeConfig(record.Publish{ID: fmt.Sprint("p", m.token), Base: base, Manifest: manifest}))
}

func (m *model) expire(before uint64) {
	m.first = max(m.first, min(before, m.next()))
	m.views = append(m.views, [2]uint64{m.first, m.next()})
}

// recoverable reports whether the current version can still be known to anybody.
func (m *model) recoverable() bool {
	for _, n := range m.nodes {
		// Records handed over directly may leave the reducer behind the relay, which then skips some.
		// No daemon has this case: all its records pass through the relay.
		base, ok := n.state.Config.Base()
		if n.up && ok && base.Through >= max(m.first, n.state.Relay.Dump().Streams[0].Next) {
			return true
		}
	}

	reader := config.New(config.WithValidation(validate))
	page := config.RecordsRead{First: m.first, Next: m.next()}

	for offset := m.first; offset < m.next(); offset++ {
		page.Records = append(page.Records, logservice.Record{Offset: offset, Data: m.records[offset]})
	}

	reader.Apply(m.now, page)
	_, based := reader.Base()

	return based
}
