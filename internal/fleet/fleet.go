// Package fleet runs a store stand-in, backend server stand-ins and their daemons in one process, connected by loopback
// sockets. The demo, measurements and tests use it. It does not simulate a network.
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
	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/store"
	"github.com/tarragonmill/tarragonmill/platform"
)

const (
	// fleetKey is the shared key with which the daemons of a fleet authenticate to each other.
	fleetKey = "loopback-fleet-key"
	// startTimeout bounds the time until all daemons know each other.
	startTimeout = 30 * time.Second
	// pollInterval is the time between two checks of a condition.
	pollInterval = 10 * time.Millisecond
	// publishTimeout bounds a publish.
	publishTimeout = 10 * time.Second
	// announceInterval is the time between two announcements of a backend server.
	announceInterval = 200 * time.Millisecond
	// defaultStopGrace is the time that a stopping daemon gives open requests before it cuts them off.
	defaultStopGrace = 10 * time.Second
)

// Node describes a backend server and its daemon before they start.
type Node struct {
	ID      instance.ID
	Service string
	Place   instance.Place
	Slots   int
	// Backlog is the number of requests that may wait for each slot.
	Backlog int
	// Behaviour is the behaviour of the backend server at the start.
	Behaviour backend.Behaviour
	// Trace is where the daemon records its events; the zero value disables that.
	Trace settings.Trace
	// Grace is the time that the stopping daemon gives open requests before it cuts them off; zero for the default.
	Grace time.Duration
}

// Fleet is a running fleet.
type Fleet struct {
	Store        *store.Store
	StoreAddress netip.AddrPort
	Instances    []*Instance

	// headerFields names the set of header fields that callers and backend servers use, as in the settings.
	headerFields string
	logger       zerolog.Logger
	observe      func(instance.ID) daemon.Observer
	// changePlatform modifies the platform of each daemon before it starts; nil for none.
	changePlatform func(*daemon.Platform)
	client         *platform.Store
	ctx            context.Context
	cancel         context.CancelFunc
	done           chan error
	// retired are the instances that Retire has removed from Instances. Their executions still count.
	retired []*Instance
}

// Option configures a Fleet.
type Option func(*Fleet)

// WithLogger sets the logger of all daemons.
func WithLogger(logger zerolog.Logger) Option { return func(f *Fleet) { f.logger = logger } }

// WithPlatform makes callers and backend servers use the header fields of the users' platform, and makes backend
// servers announce themselves to their daemons.
func WithPlatform() Option { return func(f *Fleet) { f.headerFields = settings.PlatformFields } }

// WithObserver sets a function that returns the observer of each daemon's reducer.
func WithObserver(observe func(instance.ID) daemon.Observer) Option {
	return func(f *Fleet) { f.observe = observe }
}

// WithPlatformChange sets a function that modifies the platform of each daemon before it starts.
func WithPlatformChange(change func(*daemon.Platform)) Option {
	return func(f *Fleet) { f.changePlatform = change }
}

// Start starts a store and an instance for each node, and waits until all daemons know each other. It returns an error
// if a part does not start or that takes longer than startTimeout.
func Start(ctx context.Context, nodes []Node, options ...Option) (*Fleet, error) {
	f := &Fleet{Store: store.New(), headerFields: settings.OwnFields, logger: zerolog.Nop(), done: make(chan error, 1)}
	f.ctx, f.cancel = context.WithCancel(ctx)

	for _, option := range options {
		option(f)
	}

	listener, err := listen(ctx, netip.AddrPort{})
	if err != nil {
		return nil, err
	}

	f.StoreAddress = addressOf(listener)
	f.client = platform.NewStore(f.StoreAddress)

	go func() { f.done <- f.Store.Serve(f.ctx, listener) }()

	for _, node := range nodes {
		if err := f.Add(node); err != nil {
			return nil, errors.CombineErrors(err, f.Stop())
		}
	}

	return f, f.WaitMembers(ctx)
}

// WaitMembers waits until every daemon knows all others. It returns an error if ctx ends or startTimeout passes before.
func (f *Fleet) WaitMembers(ctx context.Context) error {
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

// Wait waits until a condition holds. It returns an error if ctx ends before.
func (f *Fleet) Wait(ctx context.Context, condition func() bool) error {
	ticker := time.NewTicker(pollInterval)
	defer ticker.Stop()

	for !condition() {
		select {
		case <-ticker.C:
		case <-ctx.Done():
			return errors.Wrap(ctx.Err(), "condition does not hold")
		}
	}

	return nil
}

// Publish publishes a manifest and waits until every daemon uses it. It returns an error if the manifest is not
// accepted or ctx ends before.
func (f *Fleet) Publish(ctx context.Context, text string) (config.Publish, error) {
	publisher := config.NewPublisher(f.client.Topic(platform.ManifestTopic), publishTimeout)

	result, err := publisher.Publish(ctx, text, nil)
	if err != nil {
		return config.Publish{}, err
	}

	if result.Outcome != config.Accepted {
		return config.Publish{}, errors.New("publish was not accepted")
	}

	return result.Publish, f.Wait(ctx, func() bool {
		for _, i := range f.Instances {
			if i.Daemon.Version() < result.Publish.Version {
				return false
			}
		}

		return true
	})
}

// Executions returns how often each order ran on all backend servers together, by its idempotency key.
func (f *Fleet) Executions() map[string]int {
	total := make(map[string]int)

	for _, i := range append(f.Instances[:len(f.Instances):len(f.Instances)], f.retired...) {
		for key, count := range i.Server.Executions() {
			total[key] += count
		}
	}

	return total
}

// Stop shuts all daemons down gracefully, then the backend servers and the store. It returns the errors with which they
// ended.
func (f *Fleet) Stop() error {
	var failed error

	for _, i := range f.Instances {
		if i.daemonDone != nil {
			i.stopDaemon()
		}
	}

	for _, i := range f.Instances {
		if i.daemonDone != nil {
			failed = errors.CombineErrors(failed, i.waitDaemon())
		}

		failed = errors.CombineErrors(failed, i.shutDownServer())
	}

	f.cancel()
	f.client.Close()

	return errors.CombineErrors(failed, <-f.done)
}

// listen opens a TCP socket at an address, or at a free port on loopback if the address is not set.
func listen(ctx context.Context, address netip.AddrPort) (net.Listener, error) {
	if !address.IsValid() {
		address = freePort()
	}

	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address.String())

	return listener, errors.Wrap(err, "listen")
}

// freePort returns the loopback address with port 0, for which the system chooses a free port.
func freePort() netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), 0)
}

func addressOf(listener net.Listener) netip.AddrPort {
	return netip.MustParseAddrPort(listener.Addr().String())
}

// Client returns an HTTP client that keeps connections to all daemons open.
func Client() *http.Client {
	return &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}}
}

// ExampleNodes returns the nodes of the example fleet: two services in two regions with two failure domains each. A
// server needs the given service time for a request.
func ExampleNodes(service time.Duration) []Node {
	domains := []instance.Place{
		{Region: "west-lakes", Domain: "milwaukee"},
		{Region: "west-lakes", Domain: "grand-rapids"},
		{Region: "east-lakes", Domain: "cleveland"},
		{Region: "east-lakes", Domain: "toronto"},
	}

	var nodes []Node

	add := func(service string, count int, work time.Duration) {
		for n := range count {
			nodes = append(nodes, Node{
				ID: instance.ID(fmt.Sprintf("%s-%d", service, n+1)), Service: service, Place: domains[n%len(domains)],
				Slots: 6, Backlog: 2, Behaviour: backend.Behaviour{ServiceTime: work},
			})
		}
	}

	add("stockdesk", 7, service)
	add("routehall", 4, service)

	return nodes
}
