// Package fleet runs a log service stand-in, backend server stand-ins and their daemons in one process
// over loopback sockets, for the demo, measurements and tests. It does not simulate a network.
package fleet

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/logstore"
)

// fleetKey authenticates the daemons of one fleet to each other.
const fleetKey = "loopback-fleet-key"

// maxSeeds is the number of peers that a daemon is given to start from.
const maxSeeds = 3

// startTimeout bounds the time until all daemons know each other.
const startTimeout = 30 * time.Second

// pollInterval is the period at which conditions are checked.
const pollInterval = 10 * time.Millisecond

// Node describes one backend server with its daemon.
type Node struct {
	ID      instance.ID
	Service string
	Place   instance.Place
	Slots   int
	Queue   int
	// Behaviour of the backend server at the start.
	Behaviour backend.Behaviour
	// Trace records the events of the daemon.
	Trace settings.Trace
}

// Instance is a running backend server with its daemon.
type Instance struct {
	Node     Node
	Settings settings.Settings
	Server   *backend.Server
	Daemon   *daemon.Daemon

	stopDaemon context.CancelFunc
	daemonDone chan error
	stopServer context.CancelFunc
	serverDone chan error
}

// Caller returns the base URL at which the daemon takes requests.
func (i *Instance) Caller() string { return "http://" + i.Settings.Listen.Caller.String() }

// Fleet is a running fleet.
type Fleet struct {
	Log       *logstore.Store
	LogURL    string
	Instances []*Instance

	// seeds are the peers that every daemon is given to start from.
	seeds   []netip.AddrPort
	logger  zerolog.Logger
	observe func(instance.ID) daemon.Observer
	ctx     context.Context
	cancel  context.CancelFunc
	logDone chan error
	// retired are instances that Replace has put out of the list.
	retired []*Instance
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithLogger sets the logger of all daemons.
func WithLogger(logger zerolog.Logger) Option { return func(f *Fleet) { f.logger = logger } }

// WithObserver observes the reducer of each daemon.
func WithObserver(observe func(instance.ID) daemon.Observer) Option {
	return func(f *Fleet) { f.observe = observe }
}

// Start starts a log service and an instance for each node.
func Start(ctx context.Context, nodes []Node, options ...Option) (*Fleet, error) {
	f := &Fleet{Log: logstore.New(), logger: zerolog.Nop(), logDone: make(chan error, 1)}
	f.ctx, f.cancel = context.WithCancel(ctx)

	for _, option := range options {
		option(f)
	}

	listener, err := listen(ctx)
	if err != nil {
		return nil, err
	}

	f.LogURL = "http://" + listener.Addr().String()

	go func() { f.logDone <- f.Log.Serve(f.ctx, listener) }()

	sockets := make([]sockets, len(nodes))
	for n := range nodes {
		if sockets[n], err = openSockets(ctx); err != nil {
			return nil, errors.CombineErrors(err, f.Stop())
		}

		if n < maxSeeds {
			f.seeds = append(f.seeds, address(sockets[n].peer))
		}
	}

	for n, node := range nodes {
		if err := f.add(node, sockets[n]); err != nil {
			return nil, errors.CombineErrors(err, f.Stop())
		}
	}

	return f, f.waitComplete(ctx)
}

// waitComplete waits until every daemon knows all others.
func (f *Fleet) waitComplete(ctx context.Context) error {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()

	return f.Wait(ctx, func() bool {
		for _, i := range f.Instances {
			if i.Daemon.Members() < len(f.Instances) {
				return false
			}
		}

		return true
	})
}

func listen(ctx context.Context) (net.Listener, error) {
	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", "127.0.0.1:0")

	return listener, errors.Wrap(err, "open loopback socket")
}

func address(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}

// sockets of one instance.
type sockets struct{ caller, peer, server net.Listener }

func openSockets(ctx context.Context) (sockets, error) {
	var (
		opened sockets
		err    error
	)

	for _, socket := range []*net.Listener{&opened.caller, &opened.peer, &opened.server} {
		if *socket, err = listen(ctx); err != nil {
			return opened, err
		}
	}

	return opened, nil
}

// add starts an instance on open sockets.
func (f *Fleet) add(node Node, opened sockets) error {
	started := &Instance{Node: node, Server: backend.New(string(node.ID), node.Slots, node.Behaviour)}
	started.Settings = settings.Settings{
		ID: node.ID, Service: node.Service, Place: node.Place,
		Listen:    settings.Listen{Caller: address(opened.caller), Peer: address(opened.peer)},
		Advertise: address(opened.peer),
		Backend: settings.Backend{
			Address: address(opened.server), Slots: node.Slots, Queue: node.Queue, Connections: 200,
			Health: "/health", Interval: 100 * time.Millisecond,
		},
		Log: f.LogURL, Seeds: f.seeds, Key: fleetKey, Trace: node.Trace,
	}
	started.serveServer(f.ctx, opened.server)

	if err := f.runDaemon(started, daemon.Listeners{Caller: opened.caller, Peer: opened.peer}); err != nil {
		return err
	}

	f.Instances = append(f.Instances, started)

	return nil
}

func (i *Instance) serveServer(ctx context.Context, listener net.Listener) {
	ctx, i.stopServer = context.WithCancel(ctx)
	i.serverDone = make(chan error, 1)

	go func() { i.serverDone <- i.Server.Serve(ctx, listener) }()
}

func (f *Fleet) runDaemon(i *Instance, listeners daemon.Listeners) error {
	options := []daemon.Option{
		daemon.WithListeners(listeners),
		daemon.WithLogger(f.logger.With().Str("instance", string(i.Node.ID)).Logger()),
	}
	if f.observe != nil {
		options = append(options, daemon.WithObserver(f.observe(i.Node.ID)))
	}

	started, err := daemon.New(i.Settings, options...)
	if err != nil {
		return errors.Wrapf(err, "start daemon %s", i.Node.ID)
	}

	i.Daemon = started
	i.daemonDone = make(chan error, 1)

	ctx, cancel := context.WithCancel(f.ctx)
	i.stopDaemon = cancel

	go func() { i.daemonDone <- started.Run(ctx) }()

	return nil
}

// Restart stops a daemon in order and starts it again on the same addresses.
func (f *Fleet) Restart(ctx context.Context, i *Instance) error {
	i.stopDaemon()

	if err := <-i.daemonDone; err != nil {
		return errors.Wrapf(err, "stop daemon %s", i.Node.ID)
	}

	var (
		config    net.ListenConfig
		listeners daemon.Listeners
		err       error
	)

	if listeners.Caller, err = config.Listen(ctx, "tcp", i.Settings.Listen.Caller.String()); err != nil {
		return errors.Wrap(err, "reopen caller socket")
	}

	if listeners.Peer, err = config.Listen(ctx, "tcp", i.Settings.Listen.Peer.String()); err != nil {
		return errors.Wrap(err, "reopen peer socket")
	}

	return f.runDaemon(i, listeners)
}

// Leave stops an instance in order, daemon first, and takes it off the list.
func (f *Fleet) Leave(i *Instance) error {
	i.stopDaemon()
	err := <-i.daemonDone
	i.stopServer()
	f.retired = append(f.retired, i)

	for at, other := range f.Instances {
		if other == i {
			f.Instances = append(f.Instances[:at:at], f.Instances[at+1:]...)
		}
	}

	return errors.CombineErrors(err, <-i.serverDone)
}

// RestartServer starts a crashed backend server again on its address.
func (f *Fleet) RestartServer(ctx context.Context, i *Instance) error {
	if err := <-i.serverDone; err != nil {
		return errors.Wrapf(err, "stop server of %s", i.Node.ID)
	}

	var config net.ListenConfig

	listener, err := config.Listen(ctx, "tcp", i.Settings.Backend.Address.String())
	if err != nil {
		return errors.Wrap(err, "reopen server socket")
	}

	i.serveServer(f.ctx, listener)

	return nil
}

// Stop stops all daemons at the same time, then the servers and the log service.
func (f *Fleet) Stop() error {
	var failed error

	for _, i := range f.Instances {
		i.stopDaemon()
	}

	for _, i := range f.Instances {
		failed = errors.CombineErrors(failed, <-i.daemonDone)
	}

	for _, i := range f.Instances {
		i.stopServer()
		failed = errors.CombineErrors(failed, <-i.serverDone)
	}

	f.cancel()

	return errors.CombineErrors(failed, <-f.logDone)
}

// Publish publishes a manifest through the log service and waits until it is in force at every daemon.
func (f *Fleet) Publish(ctx context.Context, manifest string) (config.Result, error) {
	client, err := logservice.New(f.LogURL)
	if err != nil {
		return config.Result{}, errors.Wrap(err, "create log client")
	}

	defer client.Close()

	result, err := config.NewPublisher(client, config.WithCheck(core.CheckManifest)).Publish(ctx, manifest)
	if err != nil {
		return result, errors.Wrap(err, "publish manifest")
	}

	return result, f.Wait(ctx, func() bool {
		for _, i := range f.Instances {
			if i.Daemon.Version() < result.Version {
				return false
			}
		}

		return true
	})
}

// Wait waits until a condition holds.
func (f *Fleet) Wait(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()

	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "wait for fleet")
		}
	}

	return nil
}

// Executions adds up how often each idempotency key ran at the backend servers, also at those that
// have left.
func (f *Fleet) Executions() map[string]int {
	total := make(map[string]int)

	for _, i := range append(append([]*Instance{}, f.Instances...), f.retired...) {
		for key, count := range i.Server.Executions() {
			total[key] += count
		}
	}

	return total
}

// Association returns the nodes of the Association's fleet: stockdesk with 7 servers and routehall with
// 4, of 6 slots each, in two regions with two failure domains each.
func Association(service time.Duration) []Node {
	places := []instance.Place{
		{Region: "west-lakes", Domain: "Milwaukee"},
		{Region: "east-lakes", Domain: "Cleveland"},
		{Region: "west-lakes", Domain: "Grand Rapids"},
		{Region: "east-lakes", Domain: "Toronto"},
	}

	var nodes []Node

	for _, group := range []struct {
		service string
		servers int
	}{{"stockdesk", 7}, {"routehall", 4}} {
		for n := range group.servers {
			nodes = append(nodes, Node{
				ID:      instance.ID(fmt.Sprintf("%s-%d", group.service, n+1)),
				Service: group.service, Place: places[n%len(places)], Slots: 6, Queue: 12,
				Behaviour: backend.Behaviour{Service: service},
			})
		}
	}

	return nodes
}

// Client returns an HTTP client for callers of the fleet.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true}}
}
