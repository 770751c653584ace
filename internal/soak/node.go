package soak

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/platform"
)

const (
	// announceInterval is the time between two announcements of a backend server.
	announceInterval = 300 * time.Millisecond
	// stopGrace is the time that a daemon gives open requests after SIGTERM before it cuts them off.
	stopGrace = 6 * time.Second
	// serverSlots is the number of requests that a backend server runs at once.
	serverSlots = 6
)

// node is an instance: a backend server, its daemon, and the proxies on their links.
type node struct {
	name, service, region, domain string

	// caller, ready and announce are addresses at which the daemon listens.
	caller, ready, announce netip.AddrPort
	daemon                  *process
	// The daemon connects to its server through toServer and to the store through toStore. The other daemons connect to
	// it through toPeer.
	toServer, toStore, toPeer *proxy

	// server is the current run of the backend server. The earlier runs have ended.
	server        *serverRun
	earlierRuns   []*serverRun
	serverAddress netip.AddrPort
	// eventMutex is held during an event at the node.
	eventMutex sync.Mutex
}

// serverRun is one run of a backend server.
type serverRun struct {
	*backend.Server

	announcer *backend.Announcer
	stop      context.CancelFunc
	ended     chan struct{}
	// stopAnnouncing stops the announcements; announcingDone is closed when they have stopped.
	stopAnnouncing context.CancelFunc
	announcingDone chan struct{}
	// drainAcknowledged is when the daemon acknowledged that the server drains; zero if it did not.
	drainAcknowledged time.Time
}

const (
	// firstPort and lastPort bound the ports that a soak uses. They are below the ephemeral ports, which start at
	// 32768: between the choice of an address here and its use, the system could give such a port to another socket,
	// also at all addresses at once.
	firstPort = 20000
	lastPort  = 32000
)

// addresses allocates addresses on one loopback IP, so that no other program uses them.
type addresses struct {
	ctx  context.Context //nolint:containedctx // A value is only used within one call.
	host netip.Addr
	// last is the port that was allocated last; zero if none was.
	last uint16
	// err is the first error. After it, next returns invalid addresses.
	err error
}

// next returns an address at which no socket listens.
func (a *addresses) next() netip.AddrPort {
	for a.last = max(a.last, firstPort-1); a.err == nil; {
		if a.last++; a.last > lastPort {
			a.err = errors.New("no free address")

			break
		}

		address := netip.AddrPortFrom(a.host, a.last)
		if a.isFree(address) {
			return address
		}
	}

	return netip.AddrPort{}
}

// isFree reports whether no other socket listens at an address, for example at its port on all addresses.
func (a *addresses) isFree(address netip.AddrPort) bool {
	startCheckProcess()

	// No process is started while the lock is held. Until it runs its program, a new process would hold the socket.
	syscall.ForkLock.RLock()
	defer syscall.ForkLock.RUnlock()

	listener, err := new(net.ListenConfig).Listen(a.ctx, "tcp", address.String())
	if err != nil {
		return false
	}

	a.err = listener.Close()

	return a.err == nil
}

// startCheckProcess makes package os start the process by which it checks, once, whether it can refer to processes by
// descriptors. It does not hold the lock of syscall meanwhile, and the process holds all sockets until it ends.
var startCheckProcess = sync.OnceFunc(func() {
	if self, err := os.FindProcess(os.Getpid()); err == nil {
		_ = self.Release()
	}
})

// newNode starts the proxies, writes the settings of the daemon and starts the backend server.
func (s *Soak) newNode(free *addresses, name, service, region, domain string) (*node, error) {
	n := &node{
		name: name, service: service, region: region, domain: domain,
		caller: free.next(), ready: free.next(), announce: free.next(), serverAddress: free.next(),
	}
	peer, admin := free.next(), free.next()
	peerProxy, serverProxy, storeProxy := free.next(), free.next(), free.next()

	if free.err != nil {
		return nil, free.err
	}

	var err error
	if n.toPeer, err = newProxy(s.ctx, peerProxy, peer, true); err != nil {
		return nil, err
	}

	if n.toServer, err = newProxy(s.ctx, serverProxy, n.serverAddress, false); err != nil {
		return nil, err
	}

	if n.toStore, err = newProxy(s.ctx, storeProxy, s.storeAddress, false); err != nil {
		return nil, err
	}

	text := fmt.Sprintf(settingsTemplate, name, service, region, domain, n.caller, peer, n.ready, n.announce, admin,
		peerProxy, serverProxy, storeProxy, stopGrace)
	path := filepath.Join(s.options.Dir, name+".ini")

	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}

	n.daemon = &process{binary: s.options.Daemon, settings: path, log: filepath.Join(s.options.Dir, name+".log")}

	return n, s.startServer(n)
}

// settingsTemplate is the format of the settings of a daemon.
const settingsTemplate = `[instance]
id = %s
service = %s
region = %s
domain = %s
[listen]
caller = %s
peer = %s
ready = %s
announce = %s
admin = %s
[peer]
advertise = %s
trust = network
[backend]
address = %s
interval = 100ms
backlog = 2
[log]
address = %s
[callers]
fields = platform
[repeat]
share = 0.2
slack = 50
window = 10s
[stop]
grace = %s
`

// startServer starts the next run of the backend server, with a new name.
func (s *Soak) startServer(n *node) error {
	listener, err := new(net.ListenConfig).Listen(s.ctx, "tcp", n.serverAddress.String())
	if err != nil {
		return errors.Wrap(err, "start backend server")
	}

	name := fmt.Sprintf("%s-server-%d", n.name, len(n.earlierRuns)+1)
	run := &serverRun{ended: make(chan struct{})}
	run.Server = backend.New(name, serverSlots, normalBehaviour, backend.WithDialect(platform.Dialect()))
	run.announcer = run.NewAnnouncer(backend.Announcer{
		DaemonAddress: n.announce, Address: n.toServer.address, Service: n.service, Domain: n.domain,
		Interval: announceInterval, Born: time.Now(),
	})

	var ctx context.Context

	ctx, run.stop = context.WithCancel(s.ctx)

	var announcing context.Context

	announcing, run.stopAnnouncing = context.WithCancel(ctx)
	run.announcingDone = make(chan struct{})

	go func() {
		run.announcer.Run(announcing)
		close(run.announcingDone)
	}()

	go func() {
		// The run has ended, by a crash or otherwise; an error makes no difference.
		_ = run.Serve(ctx, listener)

		run.stop()
		<-run.announcingDone
		close(run.ended)
	}()

	n.server = run

	return nil
}

// copyShare is the share of requests before whose response a server writes an earlier response once more.
const copyShare = 0.1

// normalBehaviour is the behaviour of a healthy server, apart from the copies, which must not matter.
var normalBehaviour = backend.Behaviour{ServiceTime: 120 * time.Millisecond, Copies: copyShare}

// replaceServer waits until the current run of the server has ended, and starts the next one.
func (s *Soak) replaceServer(n *node) error {
	<-n.server.ended

	n.earlierRuns = append(n.earlierRuns, n.server)

	return s.startServer(n)
}

// drainServer drains the server: the server announces its drain, keeps serving for drainTime and drainSlack, and is
// then replaced. A request that starts later than drainTime after the acknowledgement is a violation.
func (s *Soak) drainServer(ctx context.Context, n *node) error {
	run := n.server
	run.stopAnnouncing()
	<-run.announcingDone

	for range maxAnnounceTries {
		if run.announcer.Announce(ctx, "draining") == nil {
			run.drainAcknowledged = time.Now()

			break
		}
	}

	task.Sleep(ctx, drainTime+drainSlack)

	if _, last := run.Served(); !run.drainAcknowledged.IsZero() && last.After(run.drainAcknowledged.Add(drainTime)) {
		s.results.addViolation("DRAIN", "%s got a request %s after the daemon acknowledged its drain",
			run.Name(), last.Sub(run.drainAcknowledged))
	}

	// Without an acknowledgement of the drain, only this call tells the daemon that the server leaves.
	_ = run.announcer.Withdraw(ctx)
	run.stop()

	return s.replaceServer(n)
}

const (
	// maxAnnounceTries is how often a server tries to announce that it drains.
	maxAnnounceTries = 3
	// drainTime is how long after the acknowledgement of its drain a server may still get requests.
	drainTime = 2500 * time.Millisecond
	// drainSlack is how much longer than drainTime the server runs, so that late requests are noticed.
	drainSlack = 700 * time.Millisecond
)
