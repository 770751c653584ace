package fleet

import (
	"cmp"
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/bind"

	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/platform"
)

// Instance is a running backend server with its daemon.
type Instance struct {
	Node     Node
	Settings settings.Settings
	Server   *backend.Server
	// Announcer sends the announcements of the server; nil if it does not announce itself.
	Announcer *backend.Announcer
	Daemon    *daemon.Daemon

	store          *platform.Store
	stopDaemon     context.CancelFunc
	daemonDone     chan error
	stopServer     context.CancelFunc
	serverDone     chan error
	stopAnnouncing context.CancelFunc
}

// CallerURL returns the base URL at which the daemon accepts requests from callers.
func (i *Instance) CallerURL() string { return "http://" + i.Settings.Listen.Caller.String() }

// Add starts a backend server and its daemon, and adds them to Instances. It returns an error if one of them does not
// start.
func (f *Fleet) Add(node Node) error {
	i := &Instance{Node: node}

	if err := f.startServer(i); err != nil {
		return err
	}

	f.Instances = append(f.Instances, i)

	return f.startDaemon(i)
}

// startServer starts the backend server. After a first start, it reuses the address.
func (f *Fleet) startServer(i *Instance) error {
	listener, err := listen(f.ctx, i.Settings.Backend.Address)
	if err != nil {
		return err
	}

	if i.Server == nil {
		i.Server = backend.New(string(i.Node.ID)+"-server", i.Node.Slots, i.Node.Behaviour,
			backend.WithDialect(bind.Platform(f.headerFields, f.client).Dialect))
	}

	i.Settings.Backend.Address = addressOf(listener)

	var ctx context.Context

	ctx, i.stopServer = context.WithCancel(f.ctx)
	i.serverDone = make(chan error, 1)
	done := i.serverDone

	go func() { done <- i.Server.Serve(ctx, listener) }()

	return nil
}

// startDaemon starts the daemon. After a first start, it reuses the addresses.
func (f *Fleet) startDaemon(i *Instance) error {
	sockets, err := openSockets(f.ctx, i.Settings.Listen)
	if err != nil {
		return err
	}

	if !i.Settings.Advertise.IsValid() {
		i.Settings = f.settings(i, sockets)
	}

	i.store = platform.NewStore(f.StoreAddress)

	options := []daemon.Option{
		daemon.WithLogger(f.logger.With().Str("instance", string(i.Node.ID)).Logger()), daemon.WithSockets(sockets),
	}
	if f.observe != nil {
		options = append(options, daemon.WithObserver(f.observe(i.Node.ID)))
	}

	bound := bind.Platform(f.headerFields, i.store)
	if f.changePlatform != nil {
		f.changePlatform(&bound)
	}

	if i.Daemon, err = daemon.New(i.Settings, bound, options...); err != nil {
		return err
	}

	var ctx context.Context

	ctx, i.stopDaemon = context.WithCancel(f.ctx)
	i.daemonDone = make(chan error, 1)
	done, run := i.daemonDone, i.Daemon

	go func() { done <- run.Run(ctx) }()

	f.startAnnouncing(i)

	return nil
}

// startAnnouncing starts the announcements of the server on the users' platform. Otherwise it does nothing.
func (f *Fleet) startAnnouncing(i *Instance) {
	if f.headerFields != settings.PlatformFields {
		return
	}

	if i.stopAnnouncing != nil {
		i.stopAnnouncing()
	}

	born := time.Now()
	if i.Announcer != nil {
		born = i.Announcer.Born
	}

	i.Announcer = i.Server.NewAnnouncer(backend.Announcer{
		DaemonAddress: i.Settings.Listen.Announce, Address: i.Settings.Backend.Address, Service: i.Node.Service,
		Domain: i.Node.Place.Domain, Interval: announceInterval, Born: born,
	})

	var ctx context.Context

	ctx, i.stopAnnouncing = context.WithCancel(f.ctx)
	announcer := i.Announcer

	go announcer.Run(ctx)
}

// openSockets opens the sockets of a daemon at the given addresses. An address that is not set gets a free port.
func openSockets(ctx context.Context, at settings.Listen) (daemon.Sockets, error) {
	var sockets daemon.Sockets

	if !at.Peer.IsValid() {
		if err := openPeerSockets(ctx, &sockets); err != nil {
			return daemon.Sockets{}, err
		}
	}

	for _, address := range []*netip.AddrPort{&at.Caller, &at.Ready, &at.Announce, &at.Admin} {
		if !address.IsValid() {
			*address = freePort()
		}
	}

	err := sockets.Open(ctx, at)

	return sockets, err
}

// maxPortTries is the largest number of ports that are tried for the sockets for other daemons.
const maxPortTries = 20

// openPeerSockets opens the sockets for other daemons at a port that is free for both of them. The system chooses one that is
// free for connections, at which another process may receive datagrams.
func openPeerSockets(ctx context.Context, sockets *daemon.Sockets) error {
	var failed error

	for range maxPortTries {
		listener, err := listen(ctx, netip.AddrPort{})
		if err != nil {
			return err
		}

		beats, err := net.ListenUDP("udp", net.UDPAddrFromAddrPort(addressOf(listener)))
		if err == nil {
			sockets.Peer, sockets.Beats = listener, beats

			return nil
		}

		failed = errors.CombineErrors(err, listener.Close())
	}

	return errors.Wrap(failed, "listen for datagrams")
}

func (f *Fleet) settings(i *Instance, sockets daemon.Sockets) settings.Settings {
	result := settings.Settings{
		ID: i.Node.ID, Service: i.Node.Service, Place: i.Node.Place,
		Listen: settings.Listen{
			Caller: addressOf(sockets.Caller), Peer: addressOf(sockets.Peer), Ready: addressOf(sockets.Ready),
			Announce: addressOf(sockets.Announce), Admin: addressOf(sockets.Admin),
		},
		Advertise: addressOf(sockets.Peer), Key: fleetKey, Store: f.StoreAddress, Trace: i.Node.Trace, Level: "info",
		Fields: f.headerFields, Repeat: settings.Repeat{Share: 0.2, Slack: 50, Window: 10 * time.Second},
		Grace: cmp.Or(i.Node.Grace, defaultStopGrace),
		Backend: settings.Backend{
			Address: i.Settings.Backend.Address, Slots: i.Node.Slots, Queue: i.Node.Slots * i.Node.Backlog,
			Backlog: i.Node.Backlog, Connections: 100,
			Health: "/health", Interval: 100 * time.Millisecond,
		},
	}

	if f.headerFields == settings.PlatformFields {
		result.Backend.Slots = 0
	}

	return result
}

// waitDaemon waits until the daemon has stopped.
func (i *Instance) waitDaemon() error {
	err := <-i.daemonDone
	i.store.Close()

	return errors.Wrapf(err, "daemon %s", i.Node.ID)
}

func (i *Instance) shutDownServer() error {
	if i.stopAnnouncing != nil {
		i.stopAnnouncing()
	}

	i.stopServer()

	return errors.Wrapf(<-i.serverDone, "server of %s", i.Node.ID)
}

// RestartDaemon shuts the daemon of an instance down gracefully and starts it again. The backend server keeps running.
// It returns an error if the daemon ended with one or does not start.
func (f *Fleet) RestartDaemon(i *Instance) error {
	i.stopDaemon()

	if err := i.waitDaemon(); err != nil {
		return err
	}

	return f.startDaemon(i)
}

// RestartServer starts a backend server again after a crash, with the same name and address. It returns an error if the
// server ended with one or does not start.
func (f *Fleet) RestartServer(i *Instance) error {
	if err := <-i.serverDone; err != nil {
		return err
	}

	if err := f.startServer(i); err != nil {
		return err
	}

	if i.Announcer != nil {
		i.Announcer.Born = time.Now()
		f.startAnnouncing(i)
	}

	return nil
}

// Drain makes the backend server of an instance report that it drains, as before a planned shutdown. It returns an
// error if the daemon does not acknowledge the announcement.
func (f *Fleet) Drain(ctx context.Context, i *Instance) error {
	if i.Announcer == nil {
		behaviour := i.Server.Behaviour()
		behaviour.Draining = true
		i.Server.SetBehaviour(behaviour)

		return nil
	}

	i.stopAnnouncing()

	return i.Announcer.Announce(ctx, "draining")
}

// Retire shuts an instance down gracefully, first the daemon and then the server, and removes it from Instances. It
// returns the errors with which they ended.
func (f *Fleet) Retire(i *Instance) error {
	i.stopDaemon()

	err := errors.CombineErrors(i.waitDaemon(), i.shutDownServer())

	for n, other := range f.Instances {
		if other == i {
			f.Instances = append(f.Instances[:n:n], f.Instances[n+1:]...)
		}
	}

	f.retired = append(f.retired, i)

	return err
}
