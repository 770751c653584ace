// Package daemon runs the reducer of one daemon: it feeds events in and performs the effects, serves
// callers and other daemons, and shuts down without cutting off a request.
package daemon

import (
	"context"
	"log"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/peer"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	// drainPeriod is how long a leaving daemon goes on answering, so that every other daemon has heard
	// of it before its sockets close. No new work has to arrive within 2 s.
	drainPeriod = 2 * time.Second
	// drainLimit bounds the wait for requests in flight.
	drainLimit = 60 * time.Second

	// startLimit is the longest time that callers wait for a daemon that starts.
	startLimit    = 2 * time.Second
	readyInterval = 10 * time.Millisecond

	headerTimeout = 5 * time.Second
	// bodyTimeout bounds the time for a whole request of a caller.
	bodyTimeout = 30 * time.Second
	idleTimeout = 2 * time.Minute
	maxHeader   = 64 << 10
)

// unset is the text of an address that was not set.
var unset = netip.AddrPort{}.String()

// Listeners are the open sockets of a daemon.
type Listeners struct {
	Caller net.Listener
	Peer   net.Listener
	Admin  net.Listener
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithListeners uses sockets that are already open.
func WithListeners(listeners Listeners) Option {
	return func(d *Daemon) { d.listeners = listeners }
}

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(d *Daemon) { d.logger = logger }
}

// WithObserver calls observe with every event before it is applied and its effects. It runs in the
// event loop and must not block.
func WithObserver(observe Observer) Option {
	return func(d *Daemon) { d.observe = observe }
}

// Observer sees each step of the reducer.
type Observer func(now time.Time, event core.Event, effects []core.Effect)

// Daemon is one running daemon.
type Daemon struct {
	settings  settings.Settings
	logger    zerolog.Logger
	listeners Listeners
	observe   Observer
	started   time.Time
	options   core.Options

	attempts *attempt.Client
	control  *peer.Client
	backend  *backend.Client
	log      *logservice.Client
	server   *peer.Server
	callers  *http.Server
	open     *caller.Connections
	tasks    *task.Group
	matcher  atomic.Pointer[manifest.Matcher]
	version  atomic.Uint64
	ready    atomic.Bool
	calls    atomic.Uint64
	resumes  atomic.Int64
	drained  chan struct{}
	// unlistened is closed when no further connection of a caller is accepted.
	unlistened chan struct{}
	// superseded is closed when a later run of this daemon was seen.
	superseded chan struct{}

	// mutex makes the holder the owner of the state and of the fields below.
	mutex    sync.Mutex
	state    *core.State
	pending  []core.Event
	applying bool
	entries  map[request.ID]*entry
	jobs     map[admission.Attempt]*job
	replies  map[uint64]any
	draining bool
	// serverDown is the last known state of the backend server.
	serverDown bool
}

// New returns a daemon that has not started.
func New(chosen settings.Settings, options ...Option) (*Daemon, error) {
	d := &Daemon{
		settings:   chosen,
		logger:     zerolog.Nop(),
		started:    time.Now(),
		drained:    make(chan struct{}),
		unlistened: make(chan struct{}),
		superseded: make(chan struct{}),
		entries:    make(map[request.ID]*entry),
		jobs:       make(map[admission.Attempt]*job),
		replies:    make(map[uint64]any),
	}

	for _, option := range options {
		option(d)
	}

	if err := d.connect(); err != nil {
		return nil, err
	}

	self := instance.Member{
		ID:          chosen.ID,
		Incarnation: instance.Incarnation(d.started.UnixNano()),
		Service:     chosen.Service,
		Place:       chosen.Place,
		Peer:        chosen.Advertise,
		Slots:       chosen.Backend.Slots,
		Started:     d.started.Round(0).UTC(),
	}
	d.options = core.Options{
		Self: self, Seeds: chosen.Seeds, Queue: chosen.Backend.Queue, Seed: uint64(self.Incarnation),
	}
	d.state = core.New(d.options)
	d.open = caller.NewConnections()
	d.callers = &http.Server{
		ConnState:         d.open.Track,
		Handler:           caller.NewHandler(d.currentMatcher, d, d, d.now),
		Protocols:         callerProtocols(),
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       bodyTimeout,
		IdleTimeout:       idleTimeout,
		MaxHeaderBytes:    maxHeader,
	}

	return d, nil
}

func callerProtocols() *http.Protocols {
	protocols := new(http.Protocols)
	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)

	return protocols
}

// connect creates the clients; none of them opens a connection yet.
func (d *Daemon) connect() error {
	var err error

	if d.control, err = peer.NewClient(d.settings.Key); err != nil {
		return errors.Wrap(err, "create peer client")
	}

	if d.log, err = logservice.New(d.settings.Log); err != nil {
		return errors.Wrap(err, "create log client")
	}

	d.attempts = attempt.NewClient(d.settings.Key)
	d.backend = backend.New(d.settings.Backend.Address, d.settings.Backend.Connections)

	data := http.NewServeMux()
	data.Handle(attempt.Path, attempt.Handler(d.settings.Key, d.serveAttempt))
	data.Handle(attempt.OwnedPath, attempt.Handler(d.settings.Key, d.serveOwned))

	d.server, err = peer.NewServer(d.settings.Key, control{d}, peer.WithData(data),
		peer.WithErrorLog(log.New(d.logger, "", 0)))

	return errors.Wrap(err, "create peer server")
}

// now never goes back: it is the start time plus elapsed monotonic time.
func (d *Daemon) now() time.Time {
	return d.started.Add(time.Since(d.started)).Round(0).UTC()
}

func (d *Daemon) currentMatcher() caller.Matcher {
	if matcher := d.matcher.Load(); matcher != nil {
		return matcher
	}

	return nil
}

// Options returns what the reducer started from.
func (d *Daemon) Options() core.Options { return d.options }

// Ready reports whether the daemon knows other members, or that there are none, and a manifest.
func (d *Daemon) Ready() bool { return d.ready.Load() && d.matcher.Load() != nil }

// Members returns the number of daemons known that take new work, this one included.
func (d *Daemon) Members() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.state.Usable()
}

// Version returns the version of the manifest in force, or zero.
func (d *Daemon) Version() uint64 { return d.version.Load() }

// Run runs a daemon until ctx ends.
func Run(ctx context.Context, chosen settings.Settings, logger zerolog.Logger) error {
	d, err := New(chosen, WithLogger(logger.With().Str("instance", string(chosen.ID)).Logger()))
	if err != nil {
		return err
	}

	return d.Run(ctx)
}

// Run serves until ctx ends and then shuts down gracefully. It opens the sockets that it was not given.
func (d *Daemon) Run(ctx context.Context) error {
	if err := d.listen(ctx); err != nil {
		return err
	}

	stopRecording, err := d.record(ctx)
	if err != nil {
		return err
	}

	// Tasks outlive ctx: requests in flight finish after it has ended.
	d.tasks = task.NewGroup(context.WithoutCancel(ctx))
	d.apply(core.Started{})

	var group run.Group

	addActor(ctx, &group, func(ctx context.Context) error { return d.server.Serve(ctx, d.listeners.Peer) })
	addActor(ctx, &group, d.serveCallers)
	addActor(ctx, &group, d.tick)

	if d.listeners.Admin != nil {
		operators, err := d.newAdmin()
		if err != nil {
			return err
		}

		addActor(ctx, &group, func(ctx context.Context) error { return operators.serve(ctx, d.listeners.Admin) })
	}

	addActor(ctx, &group, d.watchServer)
	group.Add(func() error { return d.waitAndDrain(ctx) }, func(error) {})

	err = group.Run()
	d.tasks.Stop()

	// A recording that could not be written is no failure of the daemon.
	if err := stopRecording(); err != nil {
		d.logger.Error().Err(err).Msg("recording failed")
	}

	d.attempts.Close()
	d.control.Close()
	d.backend.Close()
	d.log.Close()

	return err
}

// addActor runs actor with a context that ends when the group is interrupted, and not when the daemon
// is told to stop, because the drain comes first.
func addActor(ctx context.Context, group *run.Group, actor func(context.Context) error) {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))

	group.Add(func() error { return actor(inner) }, func(error) { cancel() })
}

func (d *Daemon) listen(ctx context.Context) error {
	var config net.ListenConfig

	for _, socket := range []struct {
		listener *net.Listener
		address  string
	}{
		{&d.listeners.Caller, d.settings.Listen.Caller.String()},
		{&d.listeners.Peer, d.settings.Listen.Peer.String()},
		{&d.listeners.Admin, d.settings.Listen.Admin.String()},
	} {
		// Daemons of tests have no admin address.
		if *socket.listener != nil || socket.address == unset {
			continue
		}

		opened, err := config.Listen(ctx, "tcp", socket.address)
		if err != nil {
			return errors.Wrap(err, "open socket")
		}

		*socket.listener = opened
	}

	return nil
}

// serveCallers takes requests once the member table and a manifest are there; until then connections
// wait in the socket's queue. After startLimit requests are refused rather than kept waiting.
func (d *Daemon) serveCallers(ctx context.Context) error {
	d.waitReady(ctx)

	d.listeners.Caller = caller.NewListener(d.listeners.Caller)
	ended := make(chan error, 1)

	go func() { ended <- d.callers.Serve(d.listeners.Caller) }()

	select {
	case err := <-ended:
		close(d.unlistened)

		if errors.Is(err, net.ErrClosed) {
			<-ctx.Done()

			return nil
		}

		return errors.Wrap(err, "serve callers")
	case <-ctx.Done():
		_ = d.callers.Close()

		if err := <-ended; !errors.Is(err, http.ErrServerClosed) {
			return errors.Wrap(err, "serve callers")
		}

		return nil
	}
}

func (d *Daemon) waitReady(ctx context.Context) {
	limit := time.Now().Add(startLimit)

	for !d.Ready() && ctx.Err() == nil && time.Now().Before(limit) {
		sleep(ctx, readyInterval)
	}
}

func (d *Daemon) tick(ctx context.Context) error {
	ticker := time.NewTicker(routing.TickInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
			d.apply(core.Tick{})
		case <-ctx.Done():
			return nil
		}
	}
}
