package soak

import (
	"context"
	"math/rand/v2"
	"syscall"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// event is planned work or a fault at a node.
type event struct {
	name string
	// planned is set for planned work, during which no request may be lost.
	planned bool
	// run runs the event at a node and returns when it has ended.
	run func(ctx context.Context, s *Soak, n *node, random *rand.Rand)
}

// events are the events that a run draws from. Events at different nodes overlap.
var events = []event{
	{name: "terminate", planned: true, run: terminate},
	{name: "hang up", planned: true, run: sendHangup},
	{name: "publish", planned: true, run: publish},
	{name: "drain", planned: true, run: drain},
	{name: "silent store", planned: true, run: silenceStore},
	{name: "older store", planned: true, run: restoreStore},
	{name: "limit", planned: true, run: limitServer},
	{name: "leaving", run: leaveByResponses},
	{name: "kill", run: kill},
	{name: "kill all", run: killAll},
	{name: "pause", run: pause},
	{name: "slow links", run: changeLinks(func(random *rand.Rand) Link {
		return Link{Delay: time.Duration(20+random.IntN(200)) * time.Millisecond}
	})},
	{name: "silent links", run: changeLinks(func(*rand.Rand) Link { return Link{CutTo: true, CutFrom: true} })},
	{name: "one-way links", run: changeLinks(func(random *rand.Rand) Link {
		to := random.IntN(2) == 0

		return Link{CutTo: to, CutFrom: !to}
	})},
	{name: "reset links", run: resetLinks},
	{name: "store", run: injectStoreFault},
	{name: "server", run: injectServerFault},
	// Server faults are listed twice, because there are many kinds of them.
	{name: "server", run: injectServerFault},
	{name: "server crash", run: crashServer},
}

// drawEvent draws an event, only a planned one if planned is set.
func drawEvent(random *rand.Rand, planned bool) event {
	for {
		drawn := events[random.IntN(len(events))]
		if drawn.planned || !planned {
			return drawn
		}
	}
}

const (
	// maxCopyAge is the largest age of a copy from which the store comes back.
	maxCopyAge = 8 * time.Second
	// maxPublishGap is the longest time from a publication to a return of the store that is drawn together with it.
	maxPublishGap = 400 * time.Millisecond
)

// drawDuration draws how long a fault lasts.
func drawDuration(random *rand.Rand) time.Duration {
	return 200*time.Millisecond + time.Duration(random.Int64N(int64(2500*time.Millisecond)))
}

func terminate(_ context.Context, s *Soak, n *node, _ *rand.Rand) {
	n.daemon.signal(syscall.SIGTERM)
	s.restart(n)
}

// restart waits until a daemon that got a signal to end has ended, and starts it again.
func (s *Soak) restart(n *node) {
	if !n.daemon.wait(stopGrace + time.Second) {
		s.results.addViolation("LOST", "%s did not end within %s after SIGTERM", n.name, stopGrace)
	}

	if err := n.daemon.start(); err != nil {
		s.results.addViolation("SOAK", "%v", err)
	}
}

func sendHangup(_ context.Context, _ *Soak, n *node, _ *rand.Rand) { n.daemon.signal(syscall.SIGHUP) }

func publish(_ context.Context, s *Soak, _ *node, _ *rand.Rand) { s.publish() }

// restoreStore makes the store come back from an older copy. Sometimes a version is published just before and just after.
func restoreStore(ctx context.Context, s *Soak, _ *node, random *rand.Rand) {
	if random.IntN(2) == 0 {
		s.publish()
		task.Sleep(ctx, time.Duration(random.Int64N(int64(maxPublishGap))))
	}

	s.restoreStore(time.Duration(random.Int64N(int64(maxCopyAge))))

	if random.IntN(2) == 0 {
		s.publish()
	}
}

func drain(ctx context.Context, s *Soak, n *node, _ *rand.Rand) {
	if err := s.drainServer(ctx, n); err != nil {
		s.results.addViolation("SOAK", "%v", err)
	}
}

func kill(ctx context.Context, s *Soak, n *node, random *rand.Rand) {
	n.daemon.signal(syscall.SIGKILL)
	task.Sleep(ctx, time.Duration(random.Int64N(int64(time.Second))))
	s.restart(n)
}

// killAll kills the daemons of all nodes that have no other event.
func killAll(ctx context.Context, s *Soak, n *node, random *rand.Rand) {
	killed := []*node{n}

	for _, other := range s.nodes {
		if other != n && other.eventMutex.TryLock() {
			killed = append(killed, other)
		}
	}

	for _, each := range killed {
		each.daemon.signal(syscall.SIGKILL)
	}

	task.Sleep(ctx, time.Duration(random.Int64N(int64(time.Second))))

	for _, each := range killed {
		s.restart(each)

		if each != n {
			each.eventMutex.Unlock()
		}
	}
}

func pause(ctx context.Context, _ *Soak, n *node, random *rand.Rand) {
	n.daemon.signal(syscall.SIGSTOP)
	task.Sleep(ctx, drawDuration(random))
	n.daemon.signal(syscall.SIGCONT)
}

// changeLinks returns an event that sets one or two links of a node to a drawn state for some time.
func changeLinks(draw func(random *rand.Rand) Link) func(context.Context, *Soak, *node, *rand.Rand) {
	return func(ctx context.Context, _ *Soak, n *node, random *rand.Rand) {
		links := n.drawLinks(random)
		for _, p := range links {
			p.Set(draw(random))
		}

		task.Sleep(ctx, drawDuration(random))

		for _, p := range links {
			p.Set(Link{})
		}
	}
}

// drawLinks draws one or two links of a node.
func (n *node) drawLinks(random *rand.Rand) []*proxy {
	links := []*proxy{n.toPeer, n.toStore, n.toServer}
	random.Shuffle(len(links), func(i, j int) { links[i], links[j] = links[j], links[i] })

	return links[:1+random.IntN(2)]
}

func resetLinks(_ context.Context, _ *Soak, n *node, random *rand.Rand) {
	for _, p := range n.drawLinks(random) {
		p.Reset()
	}
}

func injectStoreFault(ctx context.Context, s *Soak, _ *node, random *rand.Rand) {
	faults := []store.Faults{
		{Down: store.Busy},
		{Down: store.Reset},
		{Down: store.Silent},
		{DropResponses: true},
		{AppendDelay: time.Second},
		{Staleness: 3 * time.Second},
		{Delay: 300 * time.Millisecond},
	}

	if random.IntN(len(faults)+1) == 0 {
		s.store.DropHistory()

		return
	}

	fault := faults[random.IntN(len(faults))]
	if fault.Staleness > 0 {
		s.publish()
	}

	s.store.SetFaults(fault)

	if fault.Staleness > 0 {
		// When their connections break, the daemons list the newest records again, and the store returns outdated ones.
		task.Sleep(ctx, calmTime/2)

		for _, n := range s.nodes {
			n.toStore.Reset()
		}
	}

	task.Sleep(ctx, drawDuration(random))
	s.store.SetFaults(store.Faults{})
}

func injectServerFault(ctx context.Context, _ *Soak, n *node, random *rand.Rand) {
	faults := []backend.Fault{
		backend.Shed, backend.Reset, backend.DropResponse, backend.Hang, backend.DuplicateResponse,
		backend.MissingLength, backend.ShortBody, backend.MissingSeal, backend.Garbage,
	}
	behaviour := normalBehaviour

	switch choice := random.IntN(len(faults) + 2); choice {
	case len(faults):
		behaviour.Slowness = float64(2 + random.IntN(10))
	case len(faults) + 1:
		behaviour.Failing = true
	default:
		behaviour.Fault, behaviour.FaultEvery = faults[choice], 1+random.IntN(5)
	}

	server := n.server
	server.SetBehaviour(behaviour)
	task.Sleep(ctx, drawDuration(random))
	server.SetBehaviour(normalBehaviour)
}

func crashServer(ctx context.Context, s *Soak, n *node, random *rand.Rand) {
	n.server.Crash()
	task.Sleep(ctx, drawDuration(random))

	if err := s.replaceServer(n); err != nil {
		s.results.addViolation("SOAK", "%v", err)
	}
}
