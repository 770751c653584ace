package soak

import (
	"context"
	"fmt"
	"net"
	"net/netip"
	"os"
	"path/filepath"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/platform"
)

const (
	// announceInterval is the time between two announcements of a backend server.
	announceInterval = 300 * time.Millisecond
	// grace is the time from SIGTERM until a daemon is ended by force.
	stopGrace   = 6 * time.Second
	serverSlots = 6
)

// node is an instance: a backend server, its daemon, and proxies on the links between them and the others.
type node struct {
	name, service, region, domain string

	caller, ready, announce netip.AddrPort
	daemon                  *process
	// server is reached by the daemon through toServer, the store through toStore, and the daemon by the others through
	// toPeer.
	toServer, toStore, toPeer *proxy

	// server is the run of the backend server in progress; earlier ones have ended.
	server        *serverRun
	earlierRuns   []*serverRun
	serverAddress netip.AddrPort
	// busy is held by the event that happens to the node.
	eventMutex sync.Mutex
}

// serverRun is one run of a backend server.
type serverRun struct {
	*backend.Server

	announcer *backend.Announcer
	stop      context.CancelFunc
	ended     chan struct{}
	// silence stops the announcements, silent is closed when they have ended.
	stopAnnouncing context.CancelFunc
	announcingDone chan struct{}
	// leaving is when the daemon acknowledged that the server leaves; zero if it did not.
	drainAcknowledged time.Time
}

const (
	// firstPort and lastPort bound the ports of a soak. The system gives ports above 32767 to sockets that name none,
	// also at all addresses of the machine at once, between the choice of an address here and its use.
	firstPort = 20000
	lastPort  = 32000
)

// addresses hands out addresses on one loopback IP, so that no other program takes them.
type addresses struct {
	ctx  context.Context //nolint:containedctx // One use of the type lasts as long as one call.
	host netip.Addr
	// last is the port that was handed out last; zero if none was.
	last uint16
	err  error
}

// next returns an address at which nobody listens.
func (a *addresses) next() netip.AddrPort {
	for a.last = max(a.last, firstPort-1); a.err == nil; {
		if a.last++; a.last > lastPort {
			a.err = errors.New("no free address")

			break
		}

		address := netip.AddrPortFrom(a.host, a.last)

		listener, err := new(net.ListenConfig).Listen(a.ctx, "tcp", address.String())
		if err != nil {
			// Another program listens at the port of all addresses.
			continue
		}

		a.err = listener.Close()

		return address
	}

	return netip.AddrPort{}
}

// newNode makes the proxies, starts the backend server and writes the settings of the daemon.
func (s *Soak) newNode(free *addresses, name, service, region, domain string) (*node, error) {
	n := &node{
		name: name, service: service, region: region, domain: domain,
		caller: free.next(), ready: free.next(), announce: free.next(), serverAddress: free.next(),
	}
	peer, admin := free.next(), free.next()
	peerFront, serverFront, storeFront := free.next(), free.next(), free.next()

	if free.err != nil {
		return nil, free.err
	}

	var err error
	if n.toPeer, err = newProxy(s.ctx, peerFront, peer, true); err != nil {
		return nil, err
	}

	if n.toServer, err = newProxy(s.ctx, serverFront, n.serverAddress, false); err != nil {
		return nil, err
	}

	if n.toStore, err = newProxy(s.ctx, storeFront, s.storeAddress, false); err != nil {
		return nil, err
	}

	text := fmt.Sprintf(settingsTemplate, name, service, region, domain, n.caller, peer, n.ready, n.announce, admin,
		peerFront, serverFront, storeFront, stopGrace)
	path := filepath.Join(s.options.Dir, name+".ini")

	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return nil, errors.Wrap(err, "write settings")
	}

	n.daemon = &process{binary: s.options.Daemon, settings: path, log: filepath.Join(s.options.Dir, name+".log")}

	return n, s.startServer(n)
}

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

// startServer starts the next run of the backend server, under a name of its own.
func (s *Soak) startServer(n *node) error {
	listener, err := new(net.ListenConfig).Listen(s.ctx, "tcp", n.serverAddress.String())
	if err != nil {
		return errors.Wrap(err, "start backend server")
	}

	name := fmt.Sprintf("%s-server-%d", n.name, len(n.earlierRuns)+1)
	run := &serverRun{ended: make(chan struct{})}
	run.Server = backend.New(name, serverSlots, normalBehaviour, backend.WithDialect(platform.Dialect()))
	run.announcer = run.NewAnnouncer(backend.Announcer{
		DaemonAddress: n.announce, Address: n.toServer.address, Service: n.service, Domain: n.domain, Interval: announceInterval,
		Born: time.Now(),
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
		// A crash is an end like any other.
		_ = run.Serve(ctx, listener)

		run.stop()
		<-run.announcingDone
		close(run.ended)
	}()

	n.server = run

	return nil
}

// usualBehaviour is that of a server that is well.
var normalBehaviour = backend.Behaviour{ServiceTime: 120 * time.Millisecond}

// replaceServer starts another run after the present one has ended.
func (s *Soak) replaceServer(n *node) error {
	<-n.server.ended

	n.earlierRuns = append(n.earlierRuns, n.server)

	return s.startServer(n)
}

// drainServer lets the server say that it leaves, serve on for the time that is promised, and end.
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
		s.results.addViolation("DRAIN", "%s got a request %s after it had said that it leaves", run.Name(), last.Sub(run.drainAcknowledged))
	}

	// Nobody has been told that it has gone if there was no acknowledgement.
	_ = run.announcer.Withdraw(ctx)
	run.stop()

	return s.replaceServer(n)
}

const (
	maxAnnounceTries = 3
	// drainTime is how long after the acknowledgement a server still gets requests.
	drainTime = 2500 * time.Millisecond
	// drainSlack is how much longer it serves.
	drainSlack = 700 * time.Millisecond
)
