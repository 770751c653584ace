package quota

import (
	"net/netip"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Event is an input to State.Apply.
type Event interface{ isEvent() }

// Effect is an action that the caller of State.Apply performs.
type Effect interface{ isEffect() }

// Reason is why a request was refused.
type Reason string

// Reasons of Refuse.
const (
	// RateLimit means that the tenant has used up its limit.
	RateLimit Reason = "rate-limit"
	// MembersUnknown means that the daemon does not know its share of the limit yet.
	MembersUnknown Reason = "members-unknown"
	// PoolSilent means that no daemon that keeps the tokens has answered in time. The tenant may be below its limit.
	PoolSilent Reason = "rate-limit-unknown"
	// ShuttingDown means that the daemon is about to exit.
	ShuttingDown Reason = "shutting-down"
)

type (
	// Arrived reports a request of a tenant.
	Arrived struct {
		ID     request.ID
		Tenant string
		// Target is the time by which the caller wants the response. The request waits for a token for a part of the time
		// until then.
		Target time.Time
	}
	// Cancelled reports that the caller no longer waits for the request.
	Cancelled struct{ ID request.ID }
	// Returned reports that an admitted request was refused and has not run.
	Returned struct{ ID request.ID }
	// MembersChanged lists all members, this daemon included, sorted by ID.
	MembersChanged struct {
		Members []instance.Member
		// Listed is set once the store has listed this daemon and those that started before it.
		Listed bool
	}
	// Contacted reports that all other members have been heard since this daemon started, so that they know that its
	// earlier run has ended.
	Contacted struct{}
	// PolicyChanged lists the tenants of the manifest in force.
	PolicyChanged struct{ Tenants []manifest.Tenant }
	// Heard reports a datagram of another daemon.
	Heard struct{ Message Message }
	// Resumed reports that the process was suspended for some time.
	Resumed struct{}
	// Closing refuses all waiting requests, because the daemon is about to exit.
	Closing struct{}
	// Tick handles timers that have expired; see State.Next.
	Tick struct{}
)

type (
	// Admit lets a request continue. It has taken a token if its tenant is limited.
	Admit struct{ ID request.ID }
	// Refuse ends a request, which has not run.
	Refuse struct {
		ID     request.ID
		Reason Reason
		// RetryAfter is the time after which a retry has a chance; always positive.
		RetryAfter time.Duration
	}
	// Send sends a datagram.
	Send struct {
		To      netip.AddrPort
		Message Message
	}
	// PoolChanged reports, for the log, that this daemon has started to keep a pool or has given it up.
	PoolChanged struct{ Started bool }
	// PoolChosen reports, for the log, that this daemon takes its tokens from another pool than before.
	PoolChosen struct{ Pool instance.ID }
)

func (Arrived) isEvent()        {}
func (Cancelled) isEvent()      {}
func (Returned) isEvent()       {}
func (MembersChanged) isEvent() {}
func (Contacted) isEvent()      {}
func (PolicyChanged) isEvent()  {}
func (Heard) isEvent()          {}
func (Resumed) isEvent()        {}
func (Closing) isEvent()        {}
func (Tick) isEvent()           {}

func (Admit) isEffect()       {}
func (Refuse) isEffect()      {}
func (Send) isEffect()        {}
func (PoolChanged) isEffect() {}
func (PoolChosen) isEffect()  {}
