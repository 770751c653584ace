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
	concurrency    *concurrency.State
	announcedSlots int
	slotLimit      int
	// limit is the finding that the own entry has; zero for none.
	storedLimit int
	findings    findings

	suspects   *suspects.State
	membership *membership.State
	// keyed is nil until a manifest uses idempotency keys.
	keyReducer *keyReducer
	// ready is set once the entries of other daemons were read, or could not be.
	ready bool

	requests      map[request.ID]request.Request
	localAttempts map[admission.Attempt]*localAttempt
	// order lists the attempts in service in order of arrival, so that effects do not depend on map order.
	attemptOrder []admission.Attempt
	// crashes counts the crashes of the local backend server.
	crashCount int
	splits     map[string]*split
	random     *rand.Rand
	callRates  callRates
	origins    origins
	// returning are the requests that were refused here.
	refusedRequests refusedRequests

	version  uint64
	services []manifest.Service
	// replies limits the load reports in replies, replyCross those that leave the region, in bytes.
	replyLimiter, crossRegionReplyLimiter *rate.Limiter

	draining bool
	// closing is set once the backend server takes no work any more, because the daemon is about to end.
	closing bool
	// newer is the version that another daemon has, and when it is time to look for it.
	newestVersion uint64
	rereadAt      time.Time
	// told is the load that others were told last.
	publishedReport load.Report
	// server is the backend server that connections lead to.
	announcedServer  backend.ID
	nextSuspectsTick time.Time
}

// served is an attempt at the local backend server.
type localAttempt struct {
	request request.Request
	started bool
	// begun is when the server got it.
	start concurrency.RequestStart
	// crash identifies the crash that the attempt met, or is empty.
	crashID string
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
		slotLimit:   1,
		findings:    make(findings),

		suspects:                suspects.New(),
		membership:              membership.New(options.Self, options.Seed),
		requests:                make(map[request.ID]request.Request),
		localAttempts:           make(map[admission.Attempt]*localAttempt),
		splits:                  make(map[string]*split),
		random:                  rand.New(rand.NewPCG(options.Seed, splitRandomStream)),
		origins:                 origins{callerRoutes: make(map[string]bool)},
		refusedRequests:         refusedRequests{byFingerprint: make(map[request.Fingerprint]refusedRequest)},
		callRates:               callRates{counts: make(map[string]float64)},
		replyLimiter:            rate.NewLimiter(0, 0),
		crossRegionReplyLimiter: rate.NewLimiter(0, 0),
	}
}

// Apply handles one event.
func (s *State) Apply(now time.Time, event Event) []Effect {
	effects := s.apply(now, event)

	return append(effects, s.publishLoad(now)...)
}

func (s *State) apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Started:
		return s.handleMembershipEffects(now, s.membership.Apply(now, membership.Started{
			Seeds: s.options.Seeds, Announced: s.options.Announced,
		}))
	case RequestArrived:
		return s.handleRequestArrived(now, e)
	case OwnedArrived:
		return s.handleOwnedArrived(now, e.Request)
	case Answered:
		return s.handleAnswered(now, e)
	case RequestCancelled:
		return s.handleRequestCancelled(now, e.ID)
	case AttemptEnded:
		return s.handleAttemptEnded(now, e)
	case AttemptArrived:
		return s.handleAttemptArrived(now, e)
	case AttemptServed:
		return s.handleAttemptServed(now, e)
	case ServerCrashed:
		return s.handleServerCrashed(now)
	case ManifestRead:
		return s.handleManifestRead(now, e)
	case DrainStarted:
		return s.drain(now)
	case Closing:
		return s.close(now)
	case Resumed:
		return s.handleMembershipEffects(now, s.membership.Apply(now, membership.Resumed{}))
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
		return s.handleRoutingEffects(now, s.routing.Apply(now, e))
	case admission.Event:
		return s.applyAdmission(now, e)
	case health.Event:
		return s.applyHealth(now, e)
	case keys.Event:
		if s.keyReducer == nil {
			return nil
		}

		return s.applyKeys(now, e)
	case suspects.Event:
		return toEffects(s.suspects.Apply(now, e))
	case membership.Event:
		return s.handleMembershipEffects(now, s.membership.Apply(now, e))
	default:
		return nil
	}
}

func toEffects[T any](effects []T) []Effect {
	all := make([]Effect, len(effects))
	for i, effect := range effects {
		all[i] = effect
	}

	return all
}

// suspectsInterval is the time between two looks for suspicions that have expired.
const suspectsTickInterval = time.Minute

func (s *State) tick(now time.Time) []Effect {
	effects := s.handleRoutingEffects(now, s.routing.Apply(now, routing.Tick{}))
	effects = append(effects, s.applyAdmission(now, admission.Tick{})...)
	effects = append(effects, s.applyHealth(now, health.Tick{})...)
	effects = append(effects, s.handleMembershipEffects(now, s.membership.Apply(now, membership.Tick{}))...)
	effects = append(effects, s.requestNewerManifest(now)...)
	effects = append(effects, s.tickKeys(now)...)

	if !now.Before(s.nextSuspectsTick) {
		s.nextSuspectsTick = now.Add(suspectsTickInterval)
		effects = append(effects, toEffects(s.suspects.Apply(now, suspects.Tick{}))...)
	}

	return effects
}

// Next is when Tick is due; the zero time if nothing waits.
func (s *State) Next() time.Time {
	return times.Next(
		s.routing.Next(), s.admission.Next(), s.health.Next(), s.membership.Next(), s.rereadAt, s.nextKeysTick(),
	)
}

// manifestRead puts a configuration in force unless it is older than the one that is.
func (s *State) handleManifestRead(now time.Time, e ManifestRead) []Effect {
	if e.Version <= s.version {
		return nil
	}

	s.version, s.services = e.Version, e.Manifest.Services
	effects := s.applyMeasurementBudget(now)
	effects = append(effects, s.handleRoutingEffects(now, s.routing.Apply(now, routing.PolicyChanged{Services: e.Manifest.Services}))...)
	effects = append(effects, s.applyKeyPolicy(now, e.Manifest.Keys)...)

	return append(effects, ManifestChanged(e))
}

const (
	// newerWait is how long a version that another daemon has may take to arrive from the store by itself.
	newVersionWait = 400 * time.Millisecond
	// newerInterval is the time between two looks for it.
	rereadInterval = 2 * time.Second
)

func (s *State) handleVersionHeard(now time.Time, version uint64) {
	if version <= s.version || version <= s.newestVersion {
		return
	}

	s.newestVersion = version
	if s.rereadAt.IsZero() {
		s.rereadAt = now.Add(newVersionWait)
	}
}

// lookForNewer asks for the configuration once more if another daemon has had a newer one for some time.
func (s *State) requestNewerManifest(now time.Time) []Effect {
	switch {
	case s.newestVersion <= s.version:
		s.rereadAt = time.Time{}

		return nil
	case s.rereadAt.IsZero() || now.Before(s.rereadAt):
		return nil
	}

	s.rereadAt = now.Add(rereadInterval)

	return []Effect{RereadManifest{Version: s.newestVersion}}
}

func (s *State) drain(now time.Time) []Effect {
	s.draining = true
	effects := s.drainKeys(now)

	return append(effects, s.handleMembershipEffects(now, s.membership.Apply(now, membership.SelfChanged{Entry: s.ownEntry()}))...)
}

// close refuses what waits for the backend server and ends the requests of callers.
func (s *State) close(now time.Time) []Effect {
	s.closing = true

	return append(s.updateAdmission(now), s.handleRoutingEffects(now, s.routing.Apply(now, routing.Closing{}))...)
}

// entry describes the daemon for the store.
func (s *State) ownEntry() membership.Entry {
	entry := s.membership.Self()
	server, born, left := s.health.LastServer()
	entry.Server, entry.Born, entry.Left = string(server), born, left
	entry.Limit = s.storedLimit
	entry.Member.Slots = s.health.Slots()
	entry.Member.Status = instance.Alive

	if s.draining {
		entry.Member.Status = instance.Draining
	}

	return entry
}
