// Package core composes the reducers of routing, admission, idempotency keys, suspects, membership and
// configuration into the one reducer of a daemon.
//
// It does no I/O and reads no clock: the daemon feeds events in and performs the effects that come
// out. Equal events give equal effects, so that a recording can be replayed.
package core

import (
	"net/netip"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// CrashesServers is the reason for refusing a request that crashed servers before.
const CrashesServers = "crashes-servers"

// ownerRetry is the Retry-After while the owner of a key cannot be reached.
const ownerRetry = time.Second

// State is the whole state of a daemon's decisions. It is not safe for concurrent use.
type State struct {
	self       instance.Member
	seeds      []netip.AddrPort
	routing    *routing.State
	admission  *admission.State
	keys       *keys.State
	suspects   *suspects.State
	membership *membership.State
	config     *config.State
	relay      *logrelay.State

	requests map[request.ID]*tracked
	serving  map[admission.Attempt]*served
	// order lists the attempts in service in order of arrival, so that effects do not depend on map
	// order.
	order []admission.Attempt
	// crashes counts the crashes of the local backend server.
	crashes int

	// ready is set once the member table was pulled, or no peer answered.
	ready      bool
	isRelay    bool
	neighbours []instance.ID
	// token numbers the appends of this daemon.
	token    uint64
	combined combined
	// parsed is the last valid manifest, whose text is parsedText.
	parsed     manifest.Manifest
	parsedText string
	// slowTick is when the packages with a longer tick interval were last told the time.
	slowTick time.Time
	// contacted is when contacts were last written to the log.
	contacted time.Time
}

// tracked is a request in progress at this daemon as entry or owner.
type tracked struct {
	request request.Request
	// admitted requests hold their idempotency key, which has to be told the outcome.
	admitted bool
	// attempted is set once an attempt was sent.
	attempted bool
}

// served is an attempt at the local backend server.
type served struct {
	request request.Request
	started bool
	// crash identifies the crash that the attempt met, or is empty.
	crash string
}

// Apply handles one event.
func (s *State) Apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Started:
		return s.start(now)
	case RequestArrived:
		return s.requestArrived(now, e.Request)
	case OwnedArrived:
		return s.ownedArrived(now, e.Request)
	case RequestCancelled:
		return s.requestCancelled(now, e.ID)
	case RequestEnded:
		delete(s.requests, e.ID)
	case Answered:
		return s.answered(now, e)
	case AttemptEnded:
		return s.attemptEnded(now, e)
	case AttemptArrived:
		return s.attemptArrived(now, e)
	case ServerCrashed:
		return s.serverCrashed(now, e.Only)
	case ExchangeArrived:
		return s.exchangeArrived(now, e)
	case ExchangeEnded:
		return s.exchangeEnded(now, e)
	case GrantsArrived:
		return s.grantsArrived(now, e.Record)
	case DrainStarted:
		return s.drain(now)
	case Tick:
		return s.tick(now)
	default:
		return s.delegate(now, event)
	}

	return nil
}

// delegate passes an event to the package that it belongs to.
func (s *State) delegate(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case routing.Event:
		return s.fromRouting(now, s.routing.Apply(now, e))
	case admission.Event:
		return s.toAdmission(now, e)
	case keys.Event:
		return s.fromKeys(now, s.keys.Apply(now, e))
	case suspects.Event:
		return list(s.suspects.Apply(now, e))
	case membership.Event:
		return s.fromMembership(now, s.membership.Apply(now, e))
	case config.Event:
		return s.fromConfig(now, s.config.Apply(now, e))
	case logrelay.Event:
		return s.fromRelay(now, s.relay.Apply(now, e))
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
