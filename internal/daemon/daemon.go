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
	"github.com/tarragonmill/tarragonmill/internal/memory"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// KeyedTopic is a topic of the platform's store of which only the newest record of each key is read.
type KeyedTopic interface {
	// Newest returns the newest record of each key.
	Newest(ctx context.Context) (store.Page, error)
	// Append appends all records or none. After an error, either is possible.
	Append(ctx context.Context, records ...store.Record) error
}

// ConfigurationTopic is the topic of the platform's store to which the operator publishes configurations.
type ConfigurationTopic interface {
	// Newest returns the newest record of each key, and the offset from which Await continues.
	Newest(ctx context.Context) (store.Page, error)
	// Await returns the records from a position on. If there is none, it waits up to the given time for one. It stops
	// waiting when the context waiting ends, but still reads a response that has begun. If the records at the position
	// have expired, it returns a *store.ExpiredError, and store.ErrReturned if the position is of another epoch.
	Await(ctx, waiting context.Context, from store.Position, wait time.Duration) (store.Page, error)
}

// AnnouncementReceiver receives the backend server's announcements of its state. If a method returns an error, the
// announcement has no effect.
type AnnouncementReceiver interface {
	// Announce handles an announcement of a server that runs. Its error text is sent to the server.
	Announce(ctx context.Context, a backend.Announcement) error
	// Withdraw handles the announcement that the server with an ID leaves for good. born is the start time of the server
	// by its own clock, or zero if unknown.
	Withdraw(ctx context.Context, id backend.ID, born time.Time) error
}

// Platform connects the daemon to its environment: the topics of the store, the header fields and the configuration.
type Platform struct {
	// Dialect holds the names of the header fields.
	Dialect dialect.Dialect
	// Entries holds one membership entry for each daemon.
	Entries       KeyedTopic
	Configuration ConfigurationTopic
	// Grants orders the grants of key partitions, and Bases holds their newest snapshot. Both are used only if a
	// manifest has idempotency keys.
	Grants GrantTopic
	Bases  KeyedTopic
	// ConfigKey is the key of the configuration in its topic, and Decode decodes its record.
	ConfigKey string
	// EvacuatedDomain returns the failure domain that a record with a key in the topic of the configuration evacuates. It
	// returns false for other keys. It is nil if there are no such records.
	EvacuatedDomain func(key string) (domain string, ok bool)
	Decode          func(data []byte) (version uint64, m manifest.Manifest, err error)
	// AnnouncementHandler returns the handler of the backend server's announcements. It is nil if the server sends
	// none.
	AnnouncementHandler func(to AnnouncementReceiver) http.Handler
	// ReadyPath is the path of the readiness check.
	ReadyPath string
	// StoreCounts returns the totals of the calls to the store. It is nil if the calls are not counted.
	StoreCounts func() StoreCounts
	// ObserveEpoch sets a function that is called with each newer epoch that the store states in any response, before
	// that response is returned. It is nil if the store states none.
	ObserveEpoch func(observe func(store.Epoch))
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

// WithLogger sets the logger. Without it, nothing is logged.
func WithLogger(logger zerolog.Logger) Option {
	return func(d *Daemon) { d.logger, d.log = logger, eventlog.New(logger) }
}

// WithReload sets the function that reads the settings again. Without it, they never change.
func WithReload(reload func() (settings.Settings, error)) Option {
	return func(d *Daemon) { d.reload = reload }
}

// WithObserver sets a function that is called with each event after it was applied, and with its effects. It is called
// in the event loop and must not block.
func WithObserver(observe Observer) Option {
	return func(d *Daemon) { d.observe = observe }
}

// Observer is called for each step of the reducer.
type Observer func(now time.Time, event core.Event, effects []core.Effect)

// Daemon is one running daemon.
type Daemon struct {
	platform Platform
	log      *eventlog.Log
	// logger is passed to other packages.
	logger  zerolog.Logger
	metrics *metrics
	// reload is nil if the settings never change.
	reload           func() (settings.Settings, error)
	resumedDownloads atomic.Int64
	started          time.Time
	options          core.Options
	observe          Observer

	// memory is the account for the bytes of callers and other daemons.
	memory          *memory.Account
	memoryAvailable int64
	// callerConnections and peerConnections bound the open connections; zero for no limit.
	callerConnections, peerConnections int
	// boundsReached is the number of refusals and closed connections that were last logged. Only updateGauges uses it.
	boundsReached int64

	attempts *attempt.Client
	backend  *backend.Server
	callers  *http1.Server
	peers    *http1.Server
	sockets  Sockets
	tasks    *task.Group
	settings atomic.Pointer[settings.Settings]
	matcher  atomic.Pointer[manifest.Matcher]
	manifest atomic.Pointer[manifest.Manifest]
	// record is the record of the configuration in force; nil if there is none.
	record  atomic.Pointer[configRecord]
	version atomic.Uint64
	// beatErrors counts datagrams that could not be sent or read.
	beatErrors atomic.Int64
	// beatBytes counts the bytes of datagrams in both directions.
	beatBytes atomic.Int64
	// quotaBytes counts the part of them that rate limits need.
	quotaBytes atomic.Int64
	// drain is nil until the shutdown begins.
	drain atomic.Pointer[drain]
	// manifestReady is closed when the first manifest is in force.
	manifestReady chan struct{}
	// storeAnswered is closed when the store has answered a read of the configuration for the first time.
	storeAnswered     chan struct{}
	storeAnsweredOnce sync.Once
	// entryCallFailed is set once a read or write of membership entries has failed.
	entryCallFailed atomic.Bool
	// rereadConfig receives a value when the store may have a newer configuration.
	rereadConfig chan reread
	configReads  configReads
	// rereadGrants receives an epoch when the store has come back from an older copy.
	rereadGrants chan store.Epoch
	// storeEpoch is the newest epoch that the store has stated, and storeReturns counts how often it rose in this run.
	storeEpoch, storeReturns atomic.Uint64

	// mutex guards the fields below.
	mutex sync.Mutex
	state *core.State
	// incoming is the record of the configuration that is being applied; nil if there is none.
	incoming *configRecord
	// pending holds events that are not applied yet. applying is set while a goroutine applies them.
	pending  []core.Event
	applying bool
	timer    *time.Timer
	// timerDue is the time for which timer is set, or zero.
	timerDue time.Time
	requests map[request.ID]*activeRequest
	// localAttempts holds the attempts at the backend server beside this daemon.
	localAttempts map[admission.Attempt]*localAttempt
	// loggedMembers holds the members as they were last logged.
	loggedMembers map[instance.ID]instance.Status
}

// New returns a daemon that Run starts. It returns an error if the metrics cannot be created.
func New(initial settings.Settings, platform Platform, options ...Option) (*Daemon, error) {
	d := &Daemon{
		platform:     platform,
		log:          eventlog.New(zerolog.Nop()),
		logger:       zerolog.Nop(),
		started:      time.Now(),
		rereadConfig: make(chan reread, 1),
		rereadGrants: make(chan store.Epoch, 1),

		manifestReady: make(chan struct{}),
		storeAnswered: make(chan struct{}),
		requests:      make(map[request.ID]*activeRequest),
		localAttempts: make(map[admission.Attempt]*localAttempt),
	}

	for _, option := range options {
		option(d)
	}

	m, err := newMetrics(d.logger)
	if err != nil {
		return nil, err
	}

	d.metrics = m
	d.settings.Store(&initial)
	if d.memoryAvailable = initial.Limits.Memory; d.memoryAvailable == 0 {
		d.memoryAvailable = memory.Available()
	}

	d.memory = memory.New(memory.Capacity(d.memoryAvailable))
	d.callerConnections, d.peerConnections = maxConnections(initial.Limits)
	d.attempts = attempt.NewClient(initial.Key)

	if platform.ObserveEpoch != nil {
		platform.ObserveEpoch(d.noteEpoch)
	}
	d.backend = backend.NewServer(initial.Backend.Address, initial.Backend.Connections, platform.Dialect)

	self := instance.Member{
		ID:          initial.ID,
		Incarnation: instance.Incarnation(d.started.UnixNano()),
		Service:     initial.Service,
		Place:       initial.Place,
		Peer:        initial.Advertise,
		Slots:       initial.Backend.Slots,
		Started:     d.started.Round(0).UTC(),
	}
	d.options = core.Options{
		Self: self, FixedSlots: initial.Backend.Slots, Queue: initial.Backend.Queue,
		QueuePerSlot: initial.Backend.Backlog, Seeds: initial.Seeds,
		Announced:     platform.AnnouncementHandler != nil && initial.Backend.Slots == 0,
		ProbeInterval: initial.Backend.Interval,
		Repeats: routing.Repeats{
			Share: initial.Repeat.Share, Slack: initial.Repeat.Slack, Window: initial.Repeat.Window,
		},
		Seed: uint64(self.Incarnation),
	}
	d.state = core.New(d.options)

	d.callers = http1.NewServer(d.newCallerHandler(initial), http1.WithLimits(d.callerLimits),
		http1.WithMemory(d.memory), http1.WithPanicHandler(d.handlePanic))
	d.peers = http1.NewServer(attempt.NewHandler(initial.Key, d.serveAttempt, d.serveOwned, d.receiveHandover,
		attempt.WithConfiguration(d.heldConfiguration)),
		http1.WithSkippedBody(), http1.WithMemory(d.memory), http1.WithPanicHandler(d.handlePanic),
		http1.WithLimits(d.peerLimits))

	return d, nil
}

func (d *Daemon) newCallerHandler(initial settings.Settings) *caller.Handler {
	options := []caller.Option{
		caller.WithDialect(d.platform.Dialect), caller.WithOrigin(initial.Service),
		caller.WithObserver(d.observeResult), caller.WithNewerManifest(d.manifestBehind),
	}

	// On loopback, callers and the backend server have the same address, which cannot tell them apart.
	if address := initial.Backend.Address.Addr(); !address.IsLoopback() {
		options = append(options, caller.WithInstanceAddress(address))
	}

	return caller.NewHandler(d.currentMatcher, d, d, d.now, options...)
}

// now returns the start time plus the elapsed monotonic time, so that it never goes back.
func (d *Daemon) now() time.Time {
	return d.started.Add(time.Since(d.started)).Round(0).UTC()
}

func (d *Daemon) currentMatcher() caller.Matcher {
	if matcher := d.matcher.Load(); matcher != nil {
		return matcher
	}

	return nil
}

// manifestBehind reports whether another daemon has a newer manifest in force.
func (d *Daemon) manifestBehind() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.state.ManifestBehind()
}

// Ready reports whether the daemon accepts requests of callers.
func (d *Daemon) Ready() bool { return d.checkReady() == nil }

// checkReady returns an error if the daemon does not accept requests of callers.
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

// Members returns the number of known daemons, including this one.
func (d *Daemon) Members() int {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.state.MemberCount()
}

// Version returns the version of the manifest in force, or zero if there is none.
func (d *Daemon) Version() uint64 { return d.version.Load() }

// Options returns the options of the reducer.
func (d *Daemon) Options() core.Options { return d.options }

// Run serves until ctx ends and then shuts down gracefully. It returns an error if a socket cannot be opened, the
// recording cannot be started, or a server fails.
func (d *Daemon) Run(ctx context.Context) error {
	// Tasks outlive ctx: requests in flight finish after it has ended.
	d.tasks = task.NewGroup(context.WithoutCancel(ctx), task.WithPanicHandler(d.handlePanic))

	if err := d.sockets.Open(ctx, d.settings.Load().Listen); err != nil {
		return err
	}

	stopRecording, err := d.startRecording(ctx)
	if err != nil {
		return err
	}

	d.mutex.Lock()
	d.timer = time.AfterFunc(time.Hour, d.tick)
	d.mutex.Unlock()

	d.log.Notable(eventlog.Started).Uint64("run", uint64(d.options.Self.Incarnation)).
		Str("service", d.options.Self.Service).Int64("memory", d.memory.State().Capacity).Send()
	d.apply(core.Started{})

	if current := *d.settings.Load(); current.Hedge != (settings.Hedge{}) {
		d.applyHedgeLimits(current)
	}

	var group run.Group

	addActor(ctx, &group, func(ctx context.Context) error { return d.peers.Serve(ctx, d.sockets.Peer) })
	addActor(ctx, &group, d.serveCallers)

	for name, actor := range map[string]func(context.Context) error{
		"beats": d.readBeats, "configuration": d.followConfiguration, "resume": d.watchResume,
		"gauges": d.updateGauges, "settings": d.watchSettings,
	} {
		addActor(ctx, &group, d.restartOnPanic(name, actor))
	}

	for _, server := range d.auxiliaryServers() {
		addActor(ctx, &group, server)
	}

	group.Add(func() error { return d.waitAndDrain(ctx) }, func(error) {})

	err = group.Run()

	d.mutex.Lock()
	d.timer.Stop()
	d.mutex.Unlock()
	d.tasks.Stop()

	// A recording that could not be written does not make Run fail.
	if recordErr := stopRecording(); recordErr != nil {
		d.log.Warn(eventlog.OperationFailed).Str("what", "recording").AnErr("error", recordErr).Send()
	}

	d.attempts.Close()
	d.backend.Close()
	d.log.Notable(eventlog.Stopped).AnErr("error", err).Send()

	return err
}

// addActor adds actor to the group. The actor's context does not end with ctx, because the drain comes first; it ends
// when the group is interrupted.
func addActor(ctx context.Context, group *run.Group, actor func(context.Context) error) {
	inner, cancel := context.WithCancel(context.WithoutCancel(ctx))

	group.Add(func() error { return actor(inner) }, func(error) { cancel() })
}

// Errors of the readiness check.
var (
	ErrNoManifest = errors.New("no manifest yet")
	ErrDraining   = errors.New("draining")
)
