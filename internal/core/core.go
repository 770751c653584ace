// Package core combines the reducers of routing, admission, health, suspects, membership, idempotency keys and rate
// limits into the single reducer of a daemon.
//
// A reducer takes events and returns effects, which are the actions that the daemon performs. It does no I/O and
// reads no clock: each event comes with the time. Equal events give equal effects, so a recording of the events can
// be replayed.
package core

import (
	"math/rand/v2"
	"net/netip"
	"reflect"
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
	"github.com/tarragonmill/tarragonmill/internal/quota"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/internal/times"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// CrashesServers is the reason for refusing a request that has crashed backend servers.
const CrashesServers = "crashes-servers"

// OwnerOutsideRegions is the reason for refusing a request whose idempotency key is owned in a region that may not store
// the response.
const OwnerOutsideRegions = "owner-outside-regions"

// Unauthenticated is the reason for refusing a request without an API key that is not a call of the backend server.
const Unauthenticated = "unauthenticated"

// Options configure New.
type Options struct {
	Self instance.Member
	// FixedSlots is the number of slots of a backend server that does not announce itself; zero for one that does.
	FixedSlots int
	// Queue is the number of requests that may wait for a server with FixedSlots.
	Queue int
	// QueuePerSlot is the number of requests that may wait for each slot of a server that announces its slots.
	QueuePerSlot int
	// Seeds are the addresses of daemons to contact first, in addition to those in the store.
	Seeds []netip.AddrPort
	// Announced is set if the backend server announces itself.
	Announced bool
	// ProbeInterval is the age of the last known load after which the daemon probes the server while the load is
	// needed; zero disables such probes.
	ProbeInterval time.Duration
	// Repeats limits retries and hedges.
	Repeats routing.Repeats
	// Seed initializes the random numbers, so that a replay draws the same ones.
	Seed uint64
}

// State combines the states of a daemon's reducers. It is not safe for concurrent use.
type State struct {
	options   Options
	routing   *routing.State
	admission *admission.State
	health    *health.State
	// concurrency measures how many slots of the local backend server are worth using.
	concurrency *concurrency.State
	// serverSlots is the number of slots that health last reported.
	serverSlots int
	// slotLimit is the number of requests that may run at the local backend server at once.
	slotLimit int
	// storedLimit is the concurrency limit in the daemon's entry in the store; zero if none was measured yet.
	storedLimit int
	findings    findings

	suspects   *suspects.State
	membership *membership.State
	// quota holds the rate limits of tenants. quotaListed is set once it knows the number of members.
	quota       *quota.State
	quotaListed bool
	// keyReducer is nil until a manifest uses idempotency keys.
	keyReducer *keyReducer
	// ready is set after the first attempt to read the entries of other daemons from the store, even if it failed.
	ready bool

	// requests holds the requests in progress that came from callers, or from other daemons because this one owns
	// their keys.
	requests map[request.ID]request.Request
	// localAttempts holds the attempts that wait for the local backend server or run there.
	localAttempts map[admission.Attempt]*localAttempt
	// attemptOrder lists the keys of localAttempts in order of arrival, so that effects do not depend on map order.
	attemptOrder []admission.Attempt
	// crashCount is the number of crashes of the local backend server. It is part of the crash IDs.
	crashCount int
	// splits holds, by route, the distribution of requests over services by weight.
	splits          map[string]*split
	random          *rand.Rand
	callRates       callRates
	origins         origins
	refusedRequests refusedRequests

	// version is that of the manifest in force; zero if there is none.
	version uint64
	// manifest is the manifest in force, and manifestEpoch the epoch of the store in which it was read last.
	manifest      manifest.Manifest
	manifestEpoch store.Epoch
	// replyLimiter limits the bytes of load reports in replies, crossRegionReplyLimiter those that go to other
	// regions.
	replyLimiter, crossRegionReplyLimiter *rate.Limiter

	// notices are what the replies of other daemons last said of their servers, if it restricts requests.
	notices map[instance.ID]backend.Notice
	// limitTimer is when the load has to be reported again because of the limit of the local backend server; zero if it
	// need not.
	limitTimer time.Time
	// limitRecheckAt is when the local backend server is reported with all of its slots despite its limit.
	limitRecheckAt time.Time
	// runTime is the moving average of the time that requests run at the local backend server.
	runTime time.Duration

	// draining is set once the daemon tells other daemons to send no more work.
	draining bool
	// closing is set once the daemon is about to exit: all attempts at the backend server are refused.
	closing bool
	// newestVersion is the highest manifest version heard from another daemon.
	newestVersion uint64
	// read is the position up to which the topic of the configuration was read, newestRead the newest one heard from
	// another daemon.
	read, newestRead store.Position
	evacuations      evacuations
	fetches          fetches
	// rereadAt is when to read the topic again; zero if no daemon has read more of it. rereadInterval is the time until the
	// read after that.
	rereadAt       time.Time
	rereadInterval time.Duration
	// epoch is the newest epoch that the store has stated, and heardEpoch the newest one heard from another daemon.
	epoch, heardEpoch store.Epoch
	// publishedReport is the load report that routing and the other daemons received last, publishedVersion the version of
	// the manifest, publishedEpoch the epoch of the store and publishedRead the position that the other daemons received
	// with it.
	publishedReport  load.Report
	publishedVersion uint64
	publishedEpoch   store.Epoch
	// publishedCold is set if the last report was that of a cold server whose requests are limited.
	publishedCold bool
	publishedRead store.Position
	// reportedServer is the backend server that the last ServerReplaced named.
	reportedServer   backend.ID
	nextSuspectsTick time.Time
}

// localAttempt is an attempt at the local backend server.
type localAttempt struct {
	request request.Request
	// started is set once admission has sent the attempt to the server.
	started bool
	// startedAt is that time, and start holds the counters of concurrency then.
	startedAt time.Time
	start     concurrency.RequestStart
	// crashID identifies the server crash that hit the attempt; empty if none did.
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
		quota:                   quota.New(options.Self),
		requests:                make(map[request.ID]request.Request),
		localAttempts:           make(map[admission.Attempt]*localAttempt),
		splits:                  make(map[string]*split),
		notices:                 make(map[instance.ID]backend.Notice),
		fetches:                 newFetches(options.Seed),
		random:                  rand.New(rand.NewPCG(options.Seed, splitRandomStream)),
		origins:                 origins{callerRoutes: make(map[string]bool)},
		refusedRequests:         refusedRequests{byFingerprint: make(map[request.Fingerprint]refusedRequest)},
		callRates:               callRates{counts: make(map[string]float64)},
		replyLimiter:            rate.NewLimiter(0, 0),
		crossRegionReplyLimiter: rate.NewLimiter(0, 0),
	}
}

// Apply handles an event and returns the effects that the daemon performs.
func (s *State) Apply(now time.Time, event Event) []Effect {
	effects := s.apply(now, event)
	effects = append(effects, s.publishLoad(now)...)

	return s.returnTokens(now, effects)
}

func (s *State) apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Started:
		s.quota.Apply(now, quota.Tick{})

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
	case EvacuationsRead:
		return s.handleEvacuationsRead(now, e)
	case StoreRead:
		return s.handleStoreRead(now, e)
	case FetchEnded:
		return s.handleFetchEnded(now, e)
	case EpochSeen:
		return s.handleEpochSeen(now, e)
	case DrainStarted:
		return s.drain(now)
	case Closing:
		return s.close(now)
	case Resumed:
		effects := s.applyQuota(now, quota.Resumed{})

		return append(effects, s.handleMembershipEffects(now, s.membership.Apply(now, membership.Resumed{}))...)
	case Tick:
		return s.tick(now)
	default:
		return s.delegate(now, event)
	}
}

// delegate passes an event to the reducer of the package that declares it.
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
	case quota.Event:
		return s.applyQuota(now, e)
	case suspects.Event:
		return toEffects(s.suspects.Apply(now, e))
	case membership.EntryWritten:
		effects := s.handleMembershipEffects(now, s.membership.Apply(now, e))

		return append(effects, s.updateKeyMembers(now)...)
	case membership.Event:
		return s.handleMembershipEffects(now, s.membership.Apply(now, e))
	default:
		return nil
	}
}

// toEffects converts the effects of another package.
func toEffects[T any](effects []T) []Effect {
	all := make([]Effect, len(effects))
	for i, effect := range effects {
		all[i] = effect
	}

	return all
}

// suspectsTickInterval is the time between two removals of expired suspect reports.
const suspectsTickInterval = time.Minute

// tick passes the tick to all reducers.
func (s *State) tick(now time.Time) []Effect {
	effects := s.handleRoutingEffects(now, s.routing.Apply(now, routing.Tick{}))
	effects = append(effects, s.applyAdmission(now, admission.Tick{})...)
	effects = append(effects, s.applyHealth(now, health.Tick{})...)
	effects = append(effects, s.handleMembershipEffects(now, s.membership.Apply(now, membership.Tick{}))...)
	effects = append(effects, s.requestNewerManifest(now)...)
	effects = append(effects, s.startFetch(now)...)
	effects = append(effects, s.tickKeys(now)...)
	effects = append(effects, s.applyQuota(now, quota.Tick{})...)

	if !now.Before(s.nextSuspectsTick) {
		s.nextSuspectsTick = now.Add(suspectsTickInterval)
		effects = append(effects, toEffects(s.suspects.Apply(now, suspects.Tick{}))...)
	}

	return effects
}

// Next returns when Tick is due; the zero time if no Tick is needed.
func (s *State) Next() time.Time {
	return times.Next(
		s.routing.Next(), s.admission.Next(), s.health.Next(), s.membership.Next(), s.rereadAt, s.nextKeysTick(),
		s.limitTimer, s.quota.Next(), s.fetches.dueAt,
	)
}

// handleManifestRead puts a manifest in force unless its version is the present one or older.
func (s *State) handleManifestRead(now time.Time, e ManifestRead) []Effect {
	if e.End > 0 {
		s.recordRead(store.Position{Epoch: e.Epoch, Offset: e.End})
	}

	if e.Version < s.version || e.Version == s.version && !s.replacesManifest(e) {
		return nil
	}

	s.version, s.manifest, s.manifestEpoch = e.Version, e.Manifest, e.Epoch
	effects := s.applyMeasurementBudget(now)
	effects = append(effects, s.handleRoutingEffects(now, s.routing.Apply(now, routing.PolicyChanged{
		Services: e.Manifest.Services, Routes: e.Manifest.Routes,
	}))...)
	effects = append(effects, s.applyKeyPolicy(now, e.Manifest.Keys)...)
	effects = append(effects, s.applyColdPolicy(now)...)
	effects = append(effects, s.applyQuota(now, quota.PolicyChanged{Tenants: e.Manifest.Tenants})...)
	effects = append(effects, s.updateQuotaMembers(now)...)

	return append(effects, ManifestChanged{Version: e.Version, Manifest: e.Manifest})
}

// replacesManifest reports whether a manifest replaces another one of the same version. An operator who writes a lost
// version again writes the same manifest. A different one comes from a publish that the store has performed late, after it
// came back from an older copy without the first one; then all daemons follow the store.
func (s *State) replacesManifest(e ManifestRead) bool {
	if e.Epoch <= s.manifestEpoch || s.version == 0 {
		return false
	}

	s.manifestEpoch = e.Epoch

	return !reflect.DeepEqual(e.Manifest, s.manifest)
}
