// Package daemon runs one daemon: it feeds events to the reducer (package core) and performs the effects, serves
// callers, other daemons and the backend server, and shuts down gracefully.
package daemon

import (
	"context"
	"net/http"
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
	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// KeyedTopic is a topic of the platform's store of which only the newest record of each key is read.
type KeyedTopic interface {
	Newest(ctx context.Context) (store.Page, error)
	Append(ctx context.Context, records ...store.Record) error
}

// ConfigurationTopic is the topic of the platform's store to which the operator publishes configurations.
type ConfigurationTopic interface {
	Newest(ctx context.Context) (store.Page, error)
	// Await reads the records from an offset on. If there is none, it waits for one, for at most the given time. It stops
	// waiting when the context waiting ends, but still reads a response that has begun.
	Await(ctx, waiting context.Context, from int64, wait time.Duration) (store.Page, error)
}

// AnnouncementReceiver receives the backend server's announcements of its state. If a method returns an error, the
// announcement has no effect.
type AnnouncementReceiver interface {
	Announce(ctx context.Context, a backend.Announcement) error
	Withdraw(ctx context.Context, id backend.ID, born time.Time) error
}

// Platform connects the daemon to its environment: the topics of the store, the header fields and the configuration.
type Platform struct {
	// Dialect holds the names of the header fields.
	Dialect dialect.Dialect
	// Entries holds one membership entry for each daemon.
	Entries       KeyedTopic
	Configuration ConfigurationTopic
	// Grants orders the grants of key partitions, and Bases holds their newest snapshot. Both are used only if a manifest
	// has idempotency keys.
	Grants GrantTopic
	Bases  KeyedTopic
	// ConfigKey is the key of the configuration in its topic, and Decode decodes its record.
	ConfigKey string
	Decode    func(data []byte) (version uint64, m manifest.Manifest, err error)
	// AnnouncementHandler returns the handler of the backend server's announcements. It is nil if the server sends none.
	AnnouncementHandler func(to AnnouncementReceiver) http.Handler
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// StoreCounts returns the totals of the calls to the store. It is nil if the calls are not counted.
	StoreCounts func() StoreCounts
}

// DefaultPlatform returns a platform that uses the project's own header fields and follows the manifests that the
// project's own command publishes.
func DefaultPlatform(entries KeyedTopic, manifests ConfigurationTopic, grants GrantTopic, bases KeyedTopic) Platform {
	return Platform{
		Dialect: dialect.Default(), Entries: entries, Configuration: manifests, Grants: grants, Bases: bases,
		ConfigKey: config.Key, Decode: config.Decode, ReadyPath: "/ready",
	}
}

// Option configures a Daemon.
type Option func(*Daemon)

// WithLogger sets the logger; without it nothing is logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(d *Daemon) { d.logger, d.log = logger, eventlog.New(logger) }
}

// WithReload sets a function that reads the settings again.
func WithReload(reload func() (settings.Settings, error)) Option {
	return func(d *Daemon) { d.reload = reload }
}

// WithObserver calls observe with every event after it was applied and its effects. It runs in the event loop
// and must not block.
func WithObserver(observe Observer) Option {
	return func(d *Daemon) { d.observe = observe }
}

// Observer sees each step of the reducer.
type Observer func(now time.Time, event core.Event, effects []core.Effect)

// Daemon is one running daemon.
type Daemon struct {
	platform Platform
	log      *eventlog.Log
	// logger is for what other packages log.
	logger  zerolog.Logger
	metrics *metrics
	reload  func() (settings.Settings, error)
	resumes atomic.Int64
	started time.Time
	options core.Options
	observe Observer

	attempts *attempt.Client
	backend  *backend.Server
	callers  *http1.Server
	peers    *http1.Server
	sockets  Sockets
	tasks    *task.Group
	settings atomic.Pointer[settings.Settings]
	matcher  atomic.Pointer[manifest.Matcher]
	manifest atomic.Pointer[manifest.Manifest]
	version  atomic.Uint64
	// beatErrors counts datagrams that could not be sent or read.
	beatErrors atomic.Int64
	// beatBytes counts the bytes of datagrams in both directions.
	beatBytes atomic.Int64
	drain     atomic.Pointer[drain]
	// manifested is closed when the first manifest is in force.
	manifested chan struct{}
	// answered is closed when the store has answered the follower of the configuration for the first time.
	answered  chan struct{}
	answering sync.Once
	// entriesFailed is set once a call for entries has failed.
	entriesFailed atomic.Bool
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
	// loggedMembers are the members as they were logged last.
	loggedMembers map[instance.ID]instance.Status
}

// New returns a daemon that has not started.
func New(chosen settings.Settings, platform Platform, options ...Option) (*Daemon, error) {
	d := &Daemon{
		platform: platform,
		log:      eventlog.New(zerolog.Nop()),
		logger:   zerolog.Nop(),
		started:  time.Now(),
		reread:   make(chan struct{}, 1),

		manifested: make(chan struct{}),
		answered:   make(chan struct{}),
		entries:    make(map[request.ID]*entry),
		jobs:       make(map[admission.Attempt]*job),
	}

	for _, option := range options {
		option(d)
	}

	counted, err := newMetrics(d.logger)
	if err != nil {
		return nil, err
	}

	d.metrics = counted
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
		Self: self, FixedSlots: chosen.Backend.Slots, Queue: chosen.Backend.Queue,
		QueuePerSlot: chosen.Backend.Backlog, Seeds: chosen.Seeds, Announced: platform.AnnouncementHandler != nil,
		ProbeInterval: chosen.Backend.Interval,
		Repeats: routing.Repeats{
			Share: chosen.Repeat.Share, Slack: chosen.Repeat.Slack, Window: chosen.Repeat.Window,
		},
		Seed: uint64(self.Incarnation),
	}
	d.state = core.New(d.options)

	d.callers = http1.NewServer(d.newCallerHandler(chosen), http1.WithLimits(d.callerLimits), http1.WithPanicked(d.panicked))
	d.peers = http1.NewServer(attempt.NewHandler(chosen.Key, d.serveRemote, d.serveOwned, d.takeHandover), http1.WithSkippedBody(),
		http1.WithPanicked(d.panicked), http1.WithLimits(func() http1.Limits { return peerLimits }))

	return d, nil
}

func (d *Daemon) newCallerHandler(chosen settings.Settings) *caller.Handler {
	options := []caller.Option{
		caller.WithDialect(d.platform.Dialect), caller.WithOrigin(chosen.Service),
		caller.WithObserver(d.observeResult),
	}

	// On loopback, callers and the backend server have the same address.
	if address := chosen.Backend.Address.Addr(); !address.IsLoopback() {
		options = append(options, caller.WithLocal(address))
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
func (d *Daemon) Ready() bool { return d.checkReady() == nil }

func (d *Daemon) checkReady() error {
	switch {
	case d.drain.Load() != nil:
		return ErrDraining
	case d.matcher.Load() == nil:
		return ErrNoManifest
	default:
		return nil
	}
}

// Members returns the number of daemons known, this one included.
func (d *Daemon) Members() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.state.Members()
}

// Version returns the version of the manifest in force, or zero.
func (d *Daemon) Version() uint64 { return d.version.Load() }

// Options returns what the reducer started from.
func (d *Daemon) Options() core.Options { return d.options }

// Run serves until ctx ends and then shuts down gracefully.
func (d *Daemon) Run(ctx context.Context) error {
	// Tasks outlive ctx: requests in flight finish after it has ended.
	d.tasks = task.NewGroup(context.WithoutCancel(ctx), task.WithPanicHandler(d.panicked))

	if err := d.sockets.Open(ctx, d.settings.Load().Listen); err != nil {
		return err
	}

	stopRecording, err := d.record(ctx)
	if err != nil {
		return err
	}

	d.mutex.Lock()
	d.timer = time.AfterFunc(time.Hour, d.tick)
	d.mutex.Unlock()

	d.log.Notable(eventlog.Started).Uint64("run", uint64(d.options.Self.Incarnation)).Str("service", d.options.Self.Service).Send()
	d.apply(core.Started{})

	var group run.Group

	addActor(ctx, &group, func(ctx context.Context) error { return d.peers.Serve(ctx, d.sockets.Peer) })
	addActor(ctx, &group, d.serveCallers)

	for name, actor := range map[string]func(context.Context) error{
		"beats": d.readBeats, "configuration": d.followConfiguration, "resume": d.watchResume,
		"gauges": d.updateGauges, "settings": d.watchSettings,
	} {
		addActor(ctx, &group, d.restarted(name, actor))
	}

	for _, small := range d.smallActors() {
		addActor(ctx, &group, small)
	}

	group.Add(func() error { return d.waitAndDrain(ctx) }, func(error) {})

	err = group.Run()

	d.mutex.Lock()
	d.timer.Stop()
	d.mutex.Unlock()
	d.tasks.Stop()

	// A recording that could not be written is no failure of the daemon.
	if failed := stopRecording(); failed != nil {
		d.log.Warn(eventlog.OperationFailed).Str("what", "recording").AnErr("error", failed).Send()
	}

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

// Errors of the ready check.
var (
	ErrNoManifest = errors.New("no manifest yet")
	ErrDraining   = errors.New("draining")
)
