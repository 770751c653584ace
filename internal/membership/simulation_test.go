package membership

import (
	"cmp"
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// simulation runs several reducers over a network that loses, repeats, delays and reorders messages.
type simulation struct {
	random  *rand.Rand
	now     time.Time
	queue   deliveries
	order   int
	nodes   []*node
	options []Option
	// loss and repeat are probabilities per message.
	loss, repeat float64
	delay        time.Duration
	// told counts the members in exchanges.
	told int
	// far is added between regions.
	far time.Duration
	// blocked reports whether two nodes can't reach each other.
	blocked func(a, b *node) bool
	// captured are the exchanges with members, for replay.
	captured []Event
}

type node struct {
	id          instance.ID
	place       instance.Place
	address     netip.AddrPort
	state       *State
	incarnation instance.Incarnation
	up, paused  bool
	// skew is added to the simulation's clock.
	skew    time.Duration
	ready   bool
	pending []func()
}

type delivery struct {
	at    time.Time
	order int
	run   func()
}

type deliveries []delivery

func (d deliveries) Len() int      { return len(d) }
func (d deliveries) Swap(i, j int) { d[i], d[j] = d[j], d[i] }
func (d deliveries) Less(i, j int) bool {
	return cmp.Or(d[i].at.Compare(d[j].at), cmp.Compare(d[i].order, d[j].order)) < 0
}
func (d *deliveries) Push(x any) { *d = append(*d, x.(delivery)) }
func (d *deliveries) Pop() any {
	last := (*d)[len(*d)-1]
	*d = (*d)[:len(*d)-1]

	return last
}

func newSimulation(seed uint64, size int, places []instance.Place, options ...Option) *simulation {
	s := &simulation{
		random:  rand.New(rand.NewPCG(seed, 1)),
		now:     time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		options: options,
		delay:   2 * time.Millisecond,
		blocked: func(_, _ *node) bool { return false },
	}
	for i := range size {
		s.nodes = append(s.nodes, &node{
			id:      instance.ID(fmt.Sprintf("node-%03d", i)),
			place:   places[i%len(places)],
			address: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i / 250), byte(i%250 + 1)}), 7000),
		})
	}

	return s
}

// start begins a new run of a node.
func (s *simulation) start(n *node) {
	n.incarnation++
	n.state = New(append(slices.Clone(s.options), WithSeed(s.random.Uint64()))...)
	n.up, n.paused, n.ready, n.pending = true, false, false, nil

	seeds := make([]netip.AddrPort, 0, 3)
	for _, other := range s.nodes[:min(3, len(s.nodes))] {
		seeds = append(seeds, other.address)
	}

	s.apply(n, Started{Seeds: seeds, Self: instance.Member{
		ID: n.id, Incarnation: n.incarnation, Service: fmt.Sprintf("service-%d", len(n.id)%3), Place: n.place, Peer: n.address, Slots: 6,
	}})
	s.ticks(n, n.incarnation)
}

func (s *simulation) ticks(n *node, run instance.Incarnation) {
	s.after(time.Duration(90+s.random.IntN(20))*time.Millisecond, func() {
		if n.incarnation != run || !n.up {
			return
		}

		if !n.paused {
			s.apply(n, Tick{})
		}

		s.ticks(n, run)
	})
}

func (s *simulation) after(delay time.Duration, run func()) {
	s.order++
	heap.Push(&s.queue, delivery{at: s.now.Add(delay), order: s.order, run: run})
}

// run lets time pass.
func (s *simulation) run(duration time.Duration) {
	end := s.now.Add(duration)
	for len(s.queue) > 0 && !s.queue[0].at.After(end) {
		next := heap.Pop(&s.queue).(delivery)
		s.now = next.at
		next.run()
	}

	s.now = end
}

func (s *simulation) apply(n *node, event Event) { s.serve(n, event, nil) }

// serve applies an event, which is answered by one of its effects if it is a request.
func (s *simulation) serve(n *node, event Event, reply func(Effect)) {
	for _, effect := range n.state.Apply(s.now.Add(n.skew), event) {
		switch e := effect.(type) {
		case Reply, ReplyPage:
			reply(e)
		case Exchange:
			request := ExchangeReceived{Message: e.Message}
			s.call(n, e.To.Peer, request, func(answer Effect) {
				if r, ok := answer.(Reply); ok {
					s.apply(n, ExchangeEnded{To: e.To.ID, Message: r.Message})
				} else {
					s.apply(n, ExchangeFailed{To: e.To.ID})
				}
			})
		case Pull:
			request := PageRequested{From: e.From, After: e.After, Limit: e.Limit}
			s.call(n, e.To, request, func(answer Effect) {
				if r, ok := answer.(ReplyPage); ok {
					s.apply(n, PageReceived{To: e.To, Members: r.Members, More: r.More, Busy: r.Busy})
				} else {
					s.apply(n, PullFailed{To: e.To})
				}
			})
		case Ready:
			n.ready = true
		}
	}
}

// call models a request and its response, each of which the network may mistreat, and the timeout.
func (s *simulation) call(from *node, address netip.AddrPort, request Event, end func(Effect)) {
	run, ended := from.incarnation, false
	finish := func(answer Effect) {
		s.deliver(from, run, func() {
			if !ended {
				ended = true
				end(answer)
			}
		})
	}
	if exchange, ok := request.(ExchangeReceived); ok {
		s.told += len(exchange.Message.Members)
	}

	s.after(CallTimeout, func() { finish(nil) })

	at := slices.IndexFunc(s.nodes, func(n *node) bool { return n.address == address })
	if at < 0 {
		return
	}

	if exchange, ok := request.(ExchangeReceived); ok && len(exchange.Message.Members) > 0 {
		s.captured = append(s.captured, request)
	}

	to := s.nodes[at]
	s.transmit(from, to, func() {
		s.deliver(to, to.incarnation, func() {
			s.serve(to, request, func(answer Effect) { s.transmit(to, from, func() { finish(answer) }) })
		})
	})
}

// deliver runs at a node that is up, later if it is paused.
func (s *simulation) deliver(n *node, run instance.Incarnation, do func()) {
	switch {
	case !n.up || n.incarnation != run:
	case n.paused:
		n.pending = append(n.pending, do)
	default:
		do()
	}
}

func (s *simulation) transmit(from, to *node, arrive func()) {
	copies := 1
	if s.random.Float64() < s.repeat {
		copies = 2
	}

	for range copies {
		if s.random.Float64() < s.loss {
			continue
		}

		delay := s.delay/2 + time.Duration(s.random.Int64N(int64(s.delay)))
		if from.place.Region != to.place.Region {
			delay += s.far
		}

		s.after(delay, func() {
			if to.up && !s.blocked(from, to) {
				arrive()
			}
		})
	}
}

// resume continues a paused node; what waited for it arrives at once.
func (s *simulation) resume(n *node) {
	n.paused = false

	pending := n.pending
	n.pending = nil

	for _, do := range pending {
		do()
	}
}

// startAll starts the nodes and runs until their tables agree.
func (s *simulation) startAll(duration time.Duration) {
	for _, n := range s.nodes {
		s.start(n)
	}

	s.run(duration)
}

// preload starts the nodes with full tables, as if they had run for long.
func (s *simulation) preload() {
	for _, n := range s.nodes {
		s.start(n)
	}

	for _, n := range s.nodes {
		for _, other := range s.nodes {
			if other != n {
				n.state.table.put(s.now.Add(-time.Hour), other.state.Self(), "")
			}
		}

		n.state.becomeReady(false)
		n.ready = true
	}
}

// differences lists what keeps the live nodes' tables from being correct.
func (s *simulation) differences() []string {
	var found []string

	for _, n := range s.nodes {
		if !n.up || n.paused {
			continue
		}

		for _, other := range s.nodes {
			e, status := n.state.table.index[other.id], instance.Left
			if e != nil {
				status = e.member.Status
			}

			if other.up && (e == nil || status != other.state.Self().Status || e.member.Incarnation != other.state.Self().Incarnation) ||
				!other.up && status != instance.Dead && status != instance.Left {
				found = append(found, fmt.Sprintf("%s has %s as %s (up: %t)", n.id, other.id, status, other.up))
			}
		}
	}

	return found[:min(len(found), 5)]
}
