// Package core composes the reducers of routing, admission, health, suspects, membership and
// configuration into the one reducer of a daemon.
//
// It does no I/O and reads no clock: the daemon feeds events in and performs the effects that come
// out. Equal events give equal effects, so that a recording can be replayed.
package core

import (
	"math/rand/v2"
	"net/netip"
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/concurrency"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/internal/times"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// CrashesServers is the reason for refusing a request that crashed servers before.
const CrashesServers = "crashes-servers"

// Options are what a daemon starts with.
type Options struct {
	Self instance.Member
	// FixedSlots is the number of slots of a server that does not announce itself; zero for one that does.
	FixedSlots int
	// Queue is the number of requests that may wait for such a server.
	Queue int
	// QueuePerSlot is the number of requests that may wait for each slot of a server that announces its slots.
	QueuePerSlot int
	// Seeds are daemons to start from besides those that the store names.
	Seeds []netip.AddrPort
	// Announced is set if the backend server announces itself.
	Announced bool
	// ProbeInterval is the age of the load at which a watched server is probed; zero for never.
	ProbeInterval time.Duration
	Repeats       routing.Repeats
	Seed          uint64
}

// State is the whole state of a daemon's decisions. It is not safe for concurrent use.
type State struct {
	options   Options
	routing   *routing.State
	admission *admission.State
	health    *health.State
	// concurrency is that of the local backend server, stated the number of its slots and slots how many are used.
	concurrency *concurrency.State
	stated      int
	slots       int
	// limit is the finding that the own entry has; zero for none.
	limit    int
	findings findings

	suspects   *suspects.State
	membership *membership.State
	// keyed is nil until a manifest uses idempotency keys.
	keyed *keyed
	// ready is set once the entries of other daemons were read, or could not be.
	ready bool

	requests map[request.ID]request.Request
	serving  map[admission.Attempt]*served
	// order lists the attempts in service in order of arrival, so that effects do not depend on map order.
	order []admission.Attempt
	// crashes counts the crashes of the local backend server.
	crashes int
	splits  map[string]*split
	random  *rand.Rand
	calls   callRates
	origins origins
	// returning are the requests that were refused here.
	returning returning

	version  uint64
	services []manifest.Service
	// replies limits the load reports in replies, replyCross those that leave the region, in bytes.
	replies, replyCross *rate.Limiter

	draining bool
	// closing is set once the backend server takes no work any more, because the daemon is about to end.
	closing bool
	// newer is the version that another daemon has, and when it is time to look for it.
	newer   uint64
	newerAt time.Time
	// told is the load that others were told last.
	told load.Report
	// server is the backend server that connections lead to.
	server   backend.ID
	expiring time.Time
}

// served is an attempt at the local backend server.
type served struct {
	request request.Request
	started bool
	// begun is when the server got it.
	begun concurrency.RequestStart
	// crash identifies the crash that the attempt met, or is empty.
	crash string
}

// New returns the state of a daemon that has not started.
func New(options Options) *State {
	healthOptions := []health.Option{health.WithProbeInterval(options.ProbeInterval)}
	if options.FixedSlots > 0 {
		healthOptions = append(healthOptions, health.WithFixedServer(options.FixedSlots))
	}

	return &State{
		options: options,
		routing: routing.New(routing.WithSelf(options.Self), routing.WithSeed(options.Seed),
			routing.WithRepeats(options.Repeats)),
		admission: admission.New(),
		health:    health.New(healthOptions...),

		concurrency: concurrency.New(),
		slots:       1,
		findings:    make(findings),

		suspects:   suspects.New(),
		membership: membership.New(options.Self, options.Seed),
		requests:   make(map[request.ID]request.Request),
		serving:    make(map[admission.Attempt]*served),
		splits:     make(map[string]*split),
		random:     rand.New(rand.NewPCG(options.Seed, splitStream)),
		origins:    origins{callers: make(map[string]bool)},
		returning:  returning{since: make(map[request.Fingerprint]sending)},
		calls:      callRates{calls: make(map[string]float64)},
		replies:    rate.NewLimiter(0, 0),
		replyCross: rate.NewLimiter(0, 0),
	}
}

// Apply handles one event.
func (s *State) Apply(now time.Time, event Event) []Effect {
	effects := s.apply(now, event)

	return append(effects, s.settle(now)...)
}

func (s *State) apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Started:
		return s.fromMembership(now, s.membership.Apply(now, membership.Started{
			Seeds: s.options.Seeds, Announced: s.options.Announced,
		}))
	case RequestArrived:
		return s.requestArrived(now, e)
	case OwnedArrived:
		return s.ownedArrived(now, e.Request)
	case Answered:
		return s.answered(now, e)
	case RequestCancelled:
		return s.requestCancelled(now, e.ID)
	case AttemptEnded:
		return s.attemptEnded(now, e)
	case AttemptArrived:
		return s.attemptArrived(now, e)
	case AttemptServed:
		return s.attemptServed(now, e)
	case ServerCrashed:
		return s.serverCrashed(now)
	case ManifestRead:
		return s.manifestRead(now, e)
	case DrainStarted:
		return s.drain(now)
	case Closing:
		return s.close(now)
	case Resumed:
		return s.fromMembership(now, s.membership.Apply(now, membership.Resumed{}))
	case Tick:
		return s.tick(now)
	default:
		return s.delegate(now, event)
	}
}

// delegate passes an event to the package that it belongs to.
func (s *State) delegate(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case routing.Event:
		return s.fromRouting(now, s.routing.Apply(now, e))
	case admission.Event:
		return s.toAdmission(now, e)
	case health.Event:
		return s.toHealth(now, e)
	case keys.Event:
		if s.keyed == nil {
			return nil
		}

		return s.toKeys(now, e)
	case suspects.Event:
		return list(s.suspects.Apply(now, e))
	case membership.Event:
		return s.fromMembership(now, s.membership.Apply(now, e))
	default:
		return nil
	}
}

func list[T any](effects []T) []Effect {
	all := make([]Effect, len(effects))
	for i, effect := range effects {
		all[i] = effect
	}

	return all
}

// suspectsInterval is the time between two looks for suspicions that have expired.
const suspectsInterval = time.Minute

func (s *State) tick(now time.Time) []Effect {
	effects := s.fromRouting(now, s.routing.Apply(now, routing.Tick{}))
	effects = append(effects, s.toAdmission(now, admission.Tick{})...)
	effects = append(effects, s.toHealth(now, health.Tick{})...)
	effects = append(effects, s.fromMembership(now, s.membership.Apply(now, membership.Tick{}))...)
	effects = append(effects, s.lookForNewer(now)...)
	effects = append(effects, s.tickKeys(now)...)

	if !now.Before(s.expiring) {
		s.expiring = now.Add(suspectsInterval)
		effects = append(effects, list(s.suspects.Apply(now, suspects.Tick{}))...)
	}

	return effects
}

// Next is when Tick is due; the zero time if nothing waits.
func (s *State) Next() time.Time {
	return times.Next(
		s.routing.Next(), s.admission.Next(), s.health.Next(), s.membership.Next(), s.newerAt, s.nextKeys(),
	)
}

// manifestRead puts a configuration in force unless it is older than the one that is.
func (s *State) manifestRead(now time.Time, e ManifestRead) []Effect {
	if e.Version <= s.version {
		return nil
	}

	s.version, s.services = e.Version, e.Manifest.Services
	effects := s.applyBudget(now)
	effects = append(effects, s.fromRouting(now, s.routing.Apply(now, routing.PolicyChanged{Services: e.Manifest.Services}))...)
	effects = append(effects, s.useKeys(now, e.Manifest.Keys)...)

	return append(effects, ManifestChanged(e))
}

const (
	// newerWait is how long a version that another daemon has may take to arrive from the store by itself.
	newerWait = 400 * time.Millisecond
	// newerInterval is the time between two looks for it.
	newerInterval = 2 * time.Second
)

func (s *State) versionHeard(now time.Time, version uint64) {
	if version <= s.version || version <= s.newer {
		return
	}

	s.newer = version
	if s.newerAt.IsZero() {
		s.newerAt = now.Add(newerWait)
	}
}

// lookForNewer asks for the configuration once more if another daemon has had a newer one for some time.
func (s *State) lookForNewer(now time.Time) []Effect {
	switch {
	case s.newer <= s.version:
		s.newerAt = time.Time{}

		return nil
	case s.newerAt.IsZero() || now.Before(s.newerAt):
		return nil
	}

	s.newerAt = now.Add(newerInterval)

	return []Effect{RereadManifest{Version: s.newer}}
}

func (s *State) drain(now time.Time) []Effect {
	s.draining = true
	effects := s.drainKeys(now)

	return append(effects, s.fromMembership(now, s.membership.Apply(now, membership.SelfChanged{Entry: s.entry()}))...)
}

// close refuses what waits for the backend server and ends the requests of callers.
func (s *State) close(now time.Time) []Effect {
	s.closing = true

	return append(s.tellAdmission(now), s.fromRouting(now, s.routing.Apply(now, routing.Closing{}))...)
}

// entry describes the daemon for the store.
func (s *State) entry() membership.Entry {
	entry := s.membership.Self()
	server, born, left := s.health.LastServer()
	entry.Server, entry.Born, entry.Left = string(server), born, left
	entry.Limit = s.limit
	entry.Member.Slots = s.health.Slots()
	entry.Member.Status = instance.Alive

	if s.draining {
		entry.Member.Status = instance.Draining
	}

	return entry
}
