// Package soak runs daemons as separate processes, injects faults around them, and checks by the observations of
// callers and backend servers that the guarantees hold meanwhile.
//
// All faults come from outside the daemons: proxies on their links delay, cut and reset connections, signals stop,
// pause and kill processes, and the stand-ins for the store and the backend servers misbehave. The seed determines
// which event happens when; the interleaving of the processes differs from run to run.
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

// ErrGuarantee is returned if a guarantee did not hold.
var ErrGuarantee = errors.New("a guarantee did not hold")

// Options are the options of a run.
type Options struct {
	// Daemon is the path of the tarragonmill binary.
	Daemon string
	// Dir is the directory for the settings and logs of the daemons. It is created if necessary.
	Dir string
	// Seed determines the events and the requests. If it is a multiple of 3, the run has planned events only.
	Seed uint64
	// Duration is how long events happen.
	Duration time.Duration
	// Nodes is the number of instances, Callers the number of callers at each.
	Nodes, Callers int
	// Pause is the mean time between two requests of a caller.
	Pause time.Duration
	// Host is a loopback address that no other program uses.
	Host netip.Addr
}

const (
	// startTimeout bounds the time until every node serves every service.
	startTimeout = 15 * time.Second
	// recoveryTimeout bounds the time from the end of the last fault until the share of successful requests is at least
	// recoveredShare.
	recoveryTimeout = 15 * time.Second
	recoveredShare  = 0.9
	// finalWindow is the period at the end of the run in which that share is checked.
	finalWindow = 2 * time.Second
	// meanEventInterval is the mean time between two events at one node.
	meanEventInterval = 3 * time.Second
)

// Soak is a run of a soak test.
type Soak struct {
	ctx          context.Context //nolint:containedctx // It limits the lifetime of everything that the run starts.
	options      Options
	store        *store.Store
	storeAddress netip.AddrPort
	nodes        []*node
	byName       map[string]*node
	// hosts has the host of each service.
	hosts   []string
	results *results
	// disturbance records when faults were active.
	disturbance disturbance
	// executions holds what the backend servers ran, by the ID of the request.
	executions map[string][]execution
	config     configuration
	// outMutex is held while a line is written to out.
	outMutex sync.Mutex
	out      io.Writer
	tasks    *task.Group
}

// Run runs a soak and writes its events and a report to out. It returns ErrGuarantee if a guarantee did not hold, and
// another error if the fleet does not start.
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

// start starts the store, the backend servers and the daemons, and waits until every node serves every service.
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

// waitServing waits until every node serves every service, for at most startTimeout.
func (s *Soak) waitServing() error {
	client := newProbeClient()
	defer client.CloseIdleConnections()

	deadline := time.Now().Add(startTimeout)

	for i, n := range s.nodes {
		for _, host := range s.hosts {
			for number := 0; !isSuccess(s.sendLookup(client, n, host,
				fmt.Sprintf("start-%d-%s-%d", i, host, number))); number++ {
				if time.Now().After(deadline) {
					return errors.Newf("%s does not serve %s", n.name, host)
				}

				task.Sleep(s.ctx, 50*time.Millisecond)
			}
		}
	}

	return nil
}

// runLoad sends requests while events happen, and continues until the fleet has recovered or recoveryTimeout has
// passed.
func (s *Soak) runLoad() {
	calling, stopCalling := context.WithCancel(s.ctx)
	defer stopCalling()

	var callers, eventLoops sync.WaitGroup

	for i, n := range s.nodes {
		for c := range s.options.Callers {
			seed := s.options.Seed<<16 + uint64(i)<<8 + uint64(c)

			callers.Go(func() { s.runCaller(calling, n, seed) })
		}
	}

	callers.Go(func() { s.watchConfiguration(calling) })
	callers.Go(func() { s.watchProcesses(calling) })

	end := time.Now().Add(s.options.Duration)

	for i, n := range s.nodes {
		random := rand.New(rand.NewPCG(s.options.Seed, uint64(i)))

		eventLoops.Go(func() { s.runEvents(n, random, end) })
	}

	eventLoops.Wait()

	lastFaultEnd := time.Now()
	s.writeLine("all events have ended")

	for time.Since(lastFaultEnd) < recoveryTimeout && !s.hasRecovered() {
		task.Sleep(s.ctx, time.Second)
	}

	task.Sleep(s.ctx, finalWindow)

	if share, count := s.results.successShare(time.Now().Add(-finalWindow)); share < recoveredShare {
		s.results.addViolation("RECOVER", "%.2f of %d requests are served %s after the last fault",
			share, count, time.Since(lastFaultEnd))
	}

	stopCalling()
	callers.Wait()
}

// hasRecovered reports whether enough of the requests of the last second succeeded.
func (s *Soak) hasRecovered() bool {
	share, count := s.results.successShare(time.Now().Add(-time.Second))

	return count > 0 && share >= recoveredShare
}

// runEvents runs one event after the other at a node, until the given time. Every third seed has planned events only.
func (s *Soak) runEvents(n *node, random *rand.Rand, end time.Time) {
	for {
		gap := time.Duration(random.Int64N(int64(2 * meanEventInterval)))
		if time.Now().Add(gap).After(end) || !task.Sleep(s.ctx, gap) {
			return
		}

		next := drawEvent(random, s.options.Seed%3 == 0)
		done := func() {}

		if !next.planned {
			done = s.disturbance.begin()
		}

		// killAll, run at another node, may hold the lock of this node.
		n.eventMutex.Lock()
		s.writeLine("%s: %s", n.name, next.name)
		next.run(s.ctx, s, n, random)
		s.writeLine("%s: %s has ended", n.name, next.name)
		n.eventMutex.Unlock()
		done()
	}
}

// watchProcesses checks until ctx ends that no daemon exits without a signal.
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

// stop stops all daemons, then the backend servers, the proxies and the store.
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

// writeLine writes a line of the report, with the time of day.
func (s *Soak) writeLine(format string, args ...any) {
	s.outMutex.Lock()
	defer s.outMutex.Unlock()

	// The run continues if the report cannot be written.
	_, _ = fmt.Fprintf(s.out, "%s %s\n", time.Now().Format("15:04:05.000"), fmt.Sprintf(format, args...))
}

// writeReport writes the numbers of requests and all violations. It returns ErrGuarantee if there are any.
func (s *Soak) writeReport() error {
	s.writeLine("seed %d, %d nodes, %d requests", s.options.Seed, len(s.nodes), len(s.results.requests))

	for _, outcome := range slices.Sorted(maps.Keys(s.results.statuses)) {
		s.writeLine("  %-14s %d", outcome, s.results.statuses[outcome])
	}

	if len(s.results.violations) == 0 {
		return nil
	}

	for _, violation := range s.results.violations {
		s.writeLine("BROKEN %s", violation)
	}

	return errors.Wrapf(ErrGuarantee, "seed %d, %d times; logs are in %s",
		s.options.Seed, len(s.results.violations), s.options.Dir)
}
