package routing

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Event is an input of State.Apply: something that happened to a request, a server or the daemon.
type Event interface{ isEvent() }

// Effect is an output of State.Apply: an action that the daemon performs.
type Effect interface{ isEffect() }

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Answered means that the whole response of a backend server has arrived.
	Answered Outcome = iota
	// Refused means that the server or its daemon refused the attempt. It was not run.
	Refused
	// Unreachable means that the attempt did not reach the daemon beside the server. It was not run.
	Unreachable
	// Broken means that the attempt was sent and brought no usable response.
	Broken
	// Aborted means that this daemon cancelled the attempt.
	Aborted
)

// String returns the lower-case name that logs and dumps use.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "unreachable", "broken", "aborted"}[o]
}

type (
	// Arrived reports a new request of a caller, whose service is already chosen.
	Arrived struct{ Request request.Request }
	// Accepted reports that the daemon beside the server has acknowledged an attempt. Running is set if the server
	// runs it.
	Accepted struct {
		ID      request.ID
		Number  int
		Running bool
	}
	// Ended reports the end of an attempt. Each Attempt is followed by one Ended, also if it is cancelled.
	Ended struct {
		ID      request.ID
		Number  int
		Outcome Outcome
		Verdict verdict.Verdict
		// Failure is set if the response says that the server failed to handle the request.
		Failure bool
		// Unusable is set if the server takes no attempt at all until it reports that it is open.
		Unusable bool
		// Evacuated is set if the attempt was refused because the failure domain of the server is evacuated.
		Evacuated bool
		// Dropped is set if the server probably dropped the connection before the request; see backend.ErrDropped.
		Dropped bool
		// Bytes is the size of the response body.
		Bytes int64
	}
	// Cancelled reports that the caller no longer waits for the request.
	Cancelled struct{ ID request.ID }
	// Reported reports the load of a server.
	Reported struct{ Report load.Report }
	// MembersChanged lists all members that may take work; members that it omits are removed.
	MembersChanged struct{ Members []instance.Member }
	// PolicyChanged lists the services and routes of the manifest in force, with their limits.
	PolicyChanged struct {
		Services []manifest.Service
		Routes   []manifest.Route
	}
	// HedgeChanged states the limits on hedged attempts of all services for which the manifest states none: Quantile,
	// Delayed and Work. The zero value removes them.
	HedgeChanged struct{ Limits manifest.Hedge }
	// EvacuationsChanged lists all failure domains whose servers get no new attempts.
	EvacuationsChanged struct{ Domains []string }
	// Restarted reports that the daemon has restarted; its previous run may have sent repeats a moment ago.
	Restarted struct{}
	// Closing gives up all requests, because the daemon is about to exit.
	Closing struct{}
	// Tick handles timers that have expired; see State.Next.
	Tick struct{}
)

type (
	// Attempt sends a request to the daemon beside a server.
	Attempt struct {
		Request request.Request
		Number  int
		Target  instance.Member
		// Wait is the longest time that the attempt may wait for a slot; the server's daemon refuses it afterwards.
		Wait time.Duration
		// Slowest is the slowness above which the server's daemon refuses the attempt; zero for no limit. A slowness
		// of 1 is usual.
		Slowest float64
		// Why is First, Retry, Hedge, Moved or Silent.
		Why   Reason
		Basis Basis
	}
	// CancelAttempt cancels an attempt. An Ended with its verdict follows.
	CancelAttempt struct {
		ID     request.ID
		Number int
		Why    Reason
	}
	// Deliver passes the response of an attempt to the caller. Other live attempts are cancelled before it.
	Deliver struct {
		ID     request.ID
		Number int
	}
	// GiveUp ends a request without a response of a server.
	GiveUp struct {
		ID      request.ID
		Verdict verdict.Verdict
		Reason  Reason
		// RetryAfter is the time after which the caller may retry. It is positive, so that refused callers do not
		// return before the load can have changed.
		RetryAfter time.Duration
	}
)

// Basis holds the figures on which the choice of a server was based, for logs and recordings.
type Basis struct {
	// Expected is the expected response time at the chosen server. Next is the cost of the next best server; zero if
	// there is none.
	Expected, Next time.Duration
	// Ahead is the number of requests that run or wait before this one at the server. Slots is how many it runs at
	// once.
	Ahead, Slots int
	// Slowness is how long work takes relative to the usual time, and Failing the share of requests that fail there.
	Slowness float64
	Failing  float64
	// Age is the age of the load report used; negative if there is none.
	Age time.Duration
	// Candidates is the number of servers that were compared.
	Candidates int
	// Budget is the number of repeats left for the service.
	Budget float64
}

// Reason is why an attempt was sent or cancelled, or why a request was given up.
type Reason string

// Reasons of Attempt, CancelAttempt and GiveUp.
const (
	// First is the reason of the first attempt.
	First Reason = "first"
	// Retry is the reason of an attempt after an earlier one failed or no server took the request.
	Retry Reason = "retry"
	// Hedge is the reason of a second attempt while the first one runs at a slow server.
	Hedge Reason = "hedge"
	// Moved is the reason of an attempt that replaces a cancelled silent one.
	Moved Reason = "moved"
	// Silent is the reason for cancelling an attempt that was not acknowledged in time, or, if the request is
	// idempotent, for sending another one beside it.
	Silent Reason = "silent"
	// Superseded is the reason for cancelling an attempt after another one has responded.
	Superseded Reason = "superseded"
	// CallerLeft is the reason for cancelling attempts whose caller no longer waits.
	CallerLeft Reason = "caller-left"
	// DeadlinePassed means that there was no response by the deadline.
	DeadlinePassed Reason = "deadline"
	// NoServers means that the service has no servers.
	NoServers Reason = "no-servers"
	// Evacuated means that all failure domains with servers of the service are evacuated.
	Evacuated Reason = "evacuated"
	// Overloaded means that no server takes the request in time.
	Overloaded Reason = "overloaded"
	// ConnectionLost means that an attempt may have run, brought no response and must not be repeated.
	ConnectionLost Reason = "connection-lost"
	// AttemptsExhausted means that the limit on attempts or the budget for repeats is used up.
	AttemptsExhausted Reason = "attempts-exhausted"
	// ShuttingDown means that this daemon is about to exit.
	ShuttingDown Reason = "shutting-down"
)

func (Arrived) isEvent()            {}
func (Accepted) isEvent()           {}
func (Ended) isEvent()              {}
func (Cancelled) isEvent()          {}
func (Reported) isEvent()           {}
func (MembersChanged) isEvent()     {}
func (PolicyChanged) isEvent()      {}
func (HedgeChanged) isEvent()       {}
func (EvacuationsChanged) isEvent() {}
func (Restarted) isEvent()          {}
func (Closing) isEvent()            {}
func (Tick) isEvent()               {}

func (Attempt) isEffect()       {}
func (CancelAttempt) isEffect() {}
func (Deliver) isEffect()       {}
func (GiveUp) isEffect()        {}
