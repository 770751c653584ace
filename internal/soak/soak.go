// Package soak runs daemons as separate processes, lets things go wrong around them, and checks from what callers and
// backend servers see that the guarantees hold meanwhile.
//
// What goes wrong comes from outside the daemons: proxies on their links delay, cut and reset connections, signals stop,
// pause and end processes, and the stand-ins of the store and of backend servers misbehave. A seed determines what
// happens when; how the processes interleave differs from run to run.
package soak

import (
	"context"
	"fmt"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/netip"
	"os"
	"slices"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/standin/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// ErrBroken is returned if a guarantee did not hold.
var ErrGuarantee = errors.New("a guarantee did not hold")

// Options of a run.
type Options struct {
	// Daemon is the path of the tarragonmill binary.
	Daemon string
	// Dir receives settings and logs.
	Dir  string
	Seed uint64
	// Duration of the time in which things go wrong.
	Duration time.Duration
	// Nodes is the number of instances, Callers that of the callers at each.
	Nodes, Callers int
	// Pause is the mean time between two requests of a caller.
	Pause time.Duration
	// Host is the loopback address that the run uses alone.
	Host netip.Addr
}

const (
	// startTime bounds the time until the first request is served.
	startTimeout = 15 * time.Second
	// recoveryTime is how long after the last fault requests are served as before.
	recoveryTimeout = 15 * time.Second
	// recovered is the share of requests that is then served.
	recoveredShare = 0.9
	// lastLook is how long that is looked at.
	finalWindow = 2 * time.Second
	// eventGap is the mean time between two events, for one node.
	meanEventInterval = 3 * time.Second
)

// Soak is one run.
type Soak struct {
	ctx          context.Context //nolint:containedctx // The run is the lifetime of all that it starts.
	options      Options
	store        *store.Store
	storeAddress netip.AddrPort
	nodes        []*node
	byName       map[string]*node
	hosts        []string
	results      *results
	disturbance  disturbance
	executions   map[string][]execution
	config       configuration
	// writing is held while a line is written to out.
	outMutex sync.Mutex
	out      io.Writer
	tasks    *task.Group
}

// Run runs a soak, writes what happens and returns ErrBroken if a guarantee did not hold.
func Run(ctx context.Context, options Options, out io.Writer) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	if err := os.MkdirAll(options.Dir, 0o750); err != nil {
		return errors.Wrap(err, "make directory")
	}

	s := &Soak{
		ctx: ctx, options: options, store: store.New(), byName: make(map[string]*node), results: newResults(),
		executions: make(map[string][]execution), out: out, tasks: task.NewGroup(ctx),
	}

	if err := s.start(); err != nil {
		s.stop()

		return err
	}

	s.runLoad()
	s.stop()
	s.checkExecutions()

	return s.writeReport()
}

// start starts store, backend servers and daemons and waits until all of them serve.
func (s *Soak) start() error {
	free := &addresses{ctx: s.ctx, host: s.options.Host}
	s.storeAddress = free.next()

	listener, err := new(net.ListenConfig).Listen(s.ctx, "tcp", s.storeAddress.String())
	if err != nil {
		return errors.Wrap(err, "start store")
	}

	s.tasks.Go("store", func(ctx context.Context) { _ = s.store.Serve(ctx, listener) })

	services, domains := []string{"stockdesk", "routehall"}, []string{"milwaukee", "toronto"}

	for i := range s.options.Nodes {
		service := services[i%len(services)]

		n, err := s.newNode(free, fmt.Sprintf("%s-%d", service, i), service, "region", domains[i/2%len(domains)])
		if err != nil {
			return err
		}

		s.nodes = append(s.nodes, n)
		s.byName[n.name] = n
	}

	s.hosts = []string{services[0] + ".example", services[1] + ".example"}
	s.publish()

	for _, n := range s.nodes {
		if err := n.daemon.start(); err != nil {
			return err
		}
	}

	return s.waitServing()
}

// waitServed waits until every node serves every service.
func (s *Soak) waitServing() error {
	client := newProbeClient()
	defer client.CloseIdleConnections()

	limit := time.Now().Add(startTimeout)

	for i, n := range s.nodes {
		for _, host := range s.hosts {
			for number := 0; !isSuccess(s.sendLookup(client, n, host, fmt.Sprintf("start-%d-%s-%d", i, host, number))); number++ {
				if time.Now().After(limit) {
					return errors.Newf("%s does not serve %s", n.name, host)
				}

				task.Sleep(s.ctx, 50*time.Millisecond)
			}
		}
	}

	return nil
}

// play sends requests while things go wrong, and goes on until they have to be served again.
func (s *Soak) runLoad() {
	calling, stopCalling := context.WithCancel(s.ctx)
	defer stopCalling()

	var callers, trouble sync.WaitGroup

	for i, n := range s.nodes {
		for c := range s.options.Callers {
			seed := s.options.Seed<<16 + uint64(i)<<8 + uint64(c)

			callers.Go(func() { s.runCaller(calling, n, seed) })
		}
	}

	callers.Go(func() { s.watchConfiguration(calling) })
	callers.Go(func() { s.watchProcesses(calling) })

	ends := time.Now().Add(s.options.Duration)

	for i, n := range s.nodes {
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(i)))

		trouble.Go(func() { s.runEvents(n, random, ends) })
	}

	trouble.Wait()

	quiet := time.Now()
	s.writeLine("everything is well again")

	for time.Since(quiet) < recoveryTimeout && !s.hasRecovered() {
		task.Sleep(s.ctx, time.Second)
	}

	task.Sleep(s.ctx, finalWindow)

	if share, count := s.results.successShare(time.Now().Add(-finalWindow)); share < recoveredShare {
		s.results.addViolation("RECOVER", "%.2f of %d requests are served %s after the last fault", share, count, time.Since(quiet))
	}

	stopCalling()
	callers.Wait()
}

// served reports whether requests are served as they have to be.
func (s *Soak) hasRecovered() bool {
	share, count := s.results.successShare(time.Now().Add(-time.Second))

	return count > 0 && share >= recoveredShare
}

// troubleNode lets one event after the other happen to a node. Every third seed has planned work only.
func (s *Soak) runEvents(n *node, random *rand.Rand, ends time.Time) {
	for {
		gap := time.Duration(random.Int64N(int64(2 * meanEventInterval)))
		if time.Now().Add(gap).After(ends) || !task.Sleep(s.ctx, gap) {
			return
		}

		drawn := drawEvent(random, s.options.Seed%3 == 0)
		done := func() {}

		if !drawn.planned {
			done = s.disturbance.begin()
		}

		// Another event may have taken the node.
		n.eventMutex.Lock()
		s.writeLine("%s: %s", n.name, drawn.name)
		drawn.run(s.ctx, s, n, random)
		s.writeLine("%s: %s has ended", n.name, drawn.name)
		n.eventMutex.Unlock()
		done()
	}
}

// watchProcesses looks for daemons that end by themselves.
func (s *Soak) watchProcesses(ctx context.Context) {
	for task.Sleep(ctx, 200*time.Millisecond) {
		for _, n := range s.nodes {
			if n.daemon.endedUnexpectedly() {
				s.results.addViolation("FAULT", "%s has ended by itself", n.name)

				return
			}
		}
	}
}

// stop ends all processes, then servers, proxies and the store.
func (s *Soak) stop() {
	for _, n := range s.nodes {
		n.daemon.signal(syscall.SIGTERM)
	}

	for _, n := range s.nodes {
		n.daemon.wait(stopGrace + time.Second)
		n.server.stop()
		<-n.server.ended

		for _, p := range []*proxy{n.toPeer, n.toStore, n.toServer} {
			p.Close()
		}
	}

	s.tasks.Stop()
}

func (s *Soak) writeLine(format string, args ...any) {
	s.outMutex.Lock()
	defer s.outMutex.Unlock()

	// A report that cannot be written changes nothing of the run.
	_, _ = fmt.Fprintf(s.out, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

func (s *Soak) writeReport() error {
	s.writeLine("seed %d, %d nodes, %d requests", s.options.Seed, len(s.nodes), len(s.results.requests))

	for _, outcome := range slices.Sorted(maps.Keys(s.results.statuses)) {
		s.writeLine("  %-14s %d", outcome, s.results.statuses[outcome])
	}

	if len(s.results.violations) == 0 {
		return nil
	}

	for _, fault := range s.results.violations {
		s.writeLine("BROKEN %s", fault)
	}

	return errors.Wrapf(ErrGuarantee, "seed %d, %d times; logs are in %s", s.options.Seed, len(s.results.violations), s.options.Dir)
}
