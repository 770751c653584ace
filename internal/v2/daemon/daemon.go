// Package daemon runs the reducer of one daemon: it feeds events in and performs the effects, serves
// callers, other daemons and the backend server, and shuts down without cutting off a request.
package daemon

import (
	"context"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/oklog/run"
	"github.com/rs/zerolog"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/internal/v2/admission"
	"github.com/tarragonmill/tarragonmill/internal/v2/attempt"
	"github.com/tarragonmill/tarragonmill/internal/v2/caller"
	"github.com/tarragonmill/tarragonmill/internal/v2/core"
	"github.com/tarragonmill/tarragonmill/internal/v2/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Entries is the topic of the platform's store in which each daemon keeps an entry.
type Entries interface {
	Newest(ctx context.Context) (store.Page, error)
	Append(ctx context.Context, records ...store.Record) error
}

// Configuration is the topic of the platform's store in which the operator publishes.
type Configuration interface {
	Newest(ctx context.Context) (store.Page, error)
	Read(ctx context.Context, from int64, wait time.Duration) (store.Page, error)
}

// Announcements takes what the backend server says of itself. An error means that nothing was accepted.
type Announcements interface {
	Announce(ctx context.Context, a backend.Announcement) error
	Withdraw(ctx context.Context, id backend.ID, born time.Time) error
}

// Platform is what the daemon runs on.
type Platform struct {
	Dialect       dialect.Dialect
	Entries       Entries
	Configuration Configuration
	// ConfigKey is the key of the configuration in its topic, and Decode reads its record.
	ConfigKey string
	Decode    func(data []byte) (version uint64, m manifest.Manifest, err error)
	// Announced returns the handler of the calls by which the backend server announces itself; nil if it does
	// not.
	Announced func(to Announcements) http.Handler
	// ReadyPath is asked whether callers are to be sent here.
	ReadyPath string
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(d *Daemon) { d.log = eventlog.New(logger) }
}

// WithReload sets a function that reads the settings again.
func WithReload(reload func() (settings.Settings, error)) Option {
	return func(d *Daemon) { d.reload = reload }
}

// Daemon is one running daemon.
type Daemon struct {
	platform Platform
	log      *eventlog.Log
	reload   func() (settings.Settings, error)
	started  time.Time
	options  core.Options

	attempts *attempt.Client
	backend  *backend.Server
	callers  *http1.Server
	peers    *http1.Server
	beats    *net.UDPConn
	tasks    *task.Group
	settings atomic.Pointer[settings.Settings]
	matcher  atomic.Pointer[manifest.Matcher]
	manifest atomic.Pointer[manifest.Manifest]
	version  atomic.Uint64
	// beatErrors counts datagrams that could not be sent or read.
	beatErrors atomic.Int64
	drain      atomic.Pointer[drain]
	// reread tells the follower of the configuration that there may be a newer one.
	reread chan struct{}

	// mutex makes the holder the owner of the state and of the fields below.
	mutex    sync.Mutex
	state    *core.State
	pending  []core.Event
	applying bool
	timer    *time.Timer
	armed    time.Time
	entries  map[request.ID]*entry
	jobs     map[admission.Attempt]*job
}

// New returns a daemon that has not started.
func New(chosen settings.Settings, platform Platform, options ...Option) *Daemon {
	d := &Daemon{
		platform: platform,
		log:      eventlog.New(zerolog.Nop()),
		started:  time.Now(),
		reread:   make(chan struct{}, 1),
		entries:  make(map[request.ID]*entry),
		jobs:     make(map[admission.Attempt]*job),
	}

	for _, option := range options {
		option(d)
	}

	d.settings.Store(&chosen)
	d.attempts = attempt.NewClient(chosen.Key)
	d.backend = backend.NewServer(chosen.Backend.Address, chosen.Backend.Connections, platform.Dialect)

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
		Self: self, QueuePerSlot: chosen.Backend.Backlog, FixedSlots: chosen.Backend.Slots,
		ProbeInterval: chosen.Backend.Interval,
		Repeats: routing.Repeats{
			Share: chosen.Repeat.Share, Slack: chosen.Repeat.Slack, Window: chosen.Repeat.Window,
		},
		Seed: uint64(self.Incarnation),
	}
	d.state = core.New(d.options)

	d.callers = http1.NewServer(d.newCallerHandler(chosen), http1.WithLimits(d.callerLimits))
	d.peers = http1.NewServer(attempt.Handler(chosen.Key, d.serveRemote), http1.WithSkippedBody(),
		http1.WithLimits(func() http1.Limits { return peerLimits }))

	return d
}

func (d *Daemon) newCallerHandler(chosen settings.Settings) *caller.Handler {
	options := []caller.Option{
		caller.WithDialect(d.platform.Dialect), caller.WithOrigin(chosen.Service),
		caller.WithObserver(d.observeResult),
	}

	// On loopback, callers and the backend server have the same address.
	if address := chosen.Backend.Address.Addr(); !address.IsLoopback() {
		options = append(options, caller.WithNestedFrom(address))
	}

	return caller.NewHandler(d.currentMatcher, d, d, d.now, options...)
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

// Ready reports whether callers are to be sent here.
func (d *Daemon) Ready() bool { return d.matcher.Load() != nil && d.drain.Load() == nil }

// Run serves until ctx ends and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	// Tasks outlive ctx: requests in flight finish after it has ended.
	d.tasks = task.NewGroup(context.WithoutCancel(ctx))

	sockets, err := d.listen(ctx)
	if err != nil {
		return err
	}

	d.mutex.Lock()
	d.timer = time.AfterFunc(time.Hour, d.tick)
	d.mutex.Unlock()

	d.log.Notable(eventlog.Started).Str("instance", string(d.options.Self.ID)).
		Uint64("run", uint64(d.options.Self.Incarnation)).Str("service", d.options.Self.Service).Send()
	d.apply(core.Started{})

	var group run.Group

	addActor(ctx, &group, func(ctx context.Context) error { return d.peers.Serve(ctx, sockets.peer) })
	addActor(ctx, &group, func(ctx context.Context) error { return d.callers.Serve(ctx, sockets.caller) })
	addActor(ctx, &group, d.readBeats)
	addActor(ctx, &group, d.followConfiguration)
	addActor(ctx, &group, d.watchResume)
	addActor(ctx, &group, d.watchSettings)

	for _, small := range sockets.small {
		addActor(ctx, &group, small.serve)
	}

	group.Add(func() error { return d.waitAndDrain(ctx) }, func(error) {})

	err = group.Run()

	d.mutex.Lock()
	d.timer.Stop()
	d.mutex.Unlock()
	d.tasks.Stop()
	d.attempts.Close()
	d.backend.Close()
	d.log.Notable(eventlog.Stopped).AnErr("error", err).Send()

	return err
}

// addActor runs actor with a context that ends when the group is interrupted, and not when the daemon
// is told to stop, because the drain comes first.
func addActor(ctx context.Context, group *run.Group, actor func(context.Context) error) {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))

	group.Add(func() error { return actor(inner) }, func(error) { cancel() })
}

var errNotReady = errors.New("no configuration yet, or shutting down")
