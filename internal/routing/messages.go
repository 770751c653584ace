package routing

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Event is something that happened to a request, a member or the configuration.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

// Outcome says how an attempt ended.
type Outcome uint8

const (
	// Succeeded attempts have an answer that can be delivered.
	Succeeded Outcome = iota
	// Refused attempts were turned down by the daemon beside the server, with a load hint.
	Refused
	// Failed attempts have an answer that reports a server error.
	Failed
	// Unreachable attempts never connected to the daemon beside the server.
	Unreachable
	// Lost attempts broke after the request may have been sent.
	Lost
	// TimedOut attempts reached their deadline.
	TimedOut
	// Aborted attempts were cancelled by CancelAttempt.
	Aborted
)

type (
	// Arrived starts routing a request.
	Arrived struct{ Request request.Request }
	// AttemptEnded reports the end of an attempt.
	AttemptEnded struct {
		ID      request.ID
		Number  int
		Target  instance.ID
		Verdict verdict.Verdict
		Outcome Outcome
		// Hint is valid if Hinted is set.
		Hint   load.Hint
		Hinted bool
		// Draining is set if the refusal said that the server takes no new work.
		Draining bool
		Elapsed  time.Duration
		// Bytes sent and received, including headers, for the budgets of the region link.
		Bytes int64
	}
	// Cancelled reports that the caller has gone away.
	Cancelled struct{ ID request.ID }
	// TimerFired follows StartTimer.
	TimerFired struct{ ID request.ID }
	// MembersChanged replaces the members of a service, sorted by ID.
	MembersChanged struct {
		Service string
		Members []instance.Member
	}
	// PolicyChanged replaces the configuration of all services.
	PolicyChanged struct{ Services []manifest.Service }
	// ProbeEnded reports a probe's result; Hint is valid if OK is set.
	ProbeEnded struct {
		Target  instance.ID
		Hint    load.Hint
		OK      bool
		Elapsed time.Duration
		Bytes   int64
	}
	// Tick lets time pass; sent every TickInterval.
	Tick struct{}
)

type (
	// Attempt sends a request to the daemon beside a server.
	Attempt struct {
		Request request.Request
		Number  int
		Target  instance.Member
		Hedge   bool
		// NoWait asks the daemon beside the server to refuse the attempt if it would have to wait.
		NoWait bool
		// Hint is set if a load hint on the answer has been paid for. Without it, the daemon beside
		// the server attaches none.
		Hint bool
	}
	// CancelAttempt cancels an attempt; the server is told.
	CancelAttempt struct {
		ID     request.ID
		Number int
	}
	// Deliver passes the answer of an attempt to the caller.
	Deliver struct {
		ID     request.ID
		Number int
	}
	// GiveUp ends a request without an answer from a server.
	GiveUp struct {
		ID         request.ID
		Verdict    verdict.Verdict
		Reason     Reason
		RetryAfter time.Duration
	}
	// StartTimer asks for TimerFired.
	StartTimer struct {
		ID    request.ID
		After time.Duration
	}
	// Probe asks the daemon beside a server for its load. It has been paid for.
	Probe struct{ Target instance.Member }
)

// Reason says why a request was given up.
type Reason string

// Reasons for GiveUp.
const (
	NoServers       Reason = "no-servers"
	Overloaded      Reason = "overloaded"
	DeadlinePassed  Reason = "deadline"
	AttemptsSpent   Reason = "attempts"
	RetryBudget     Reason = "retry-budget"
	ConnectionLost  Reason = "connection-lost"
	CallerCancelled Reason = "cancelled"
)

func (Arrived) isEvent()        {}
func (AttemptEnded) isEvent()   {}
func (Cancelled) isEvent()      {}
func (TimerFired) isEvent()     {}
func (MembersChanged) isEvent() {}
func (PolicyChanged) isEvent()  {}
func (ProbeEnded) isEvent()     {}
func (Tick) isEvent()           {}

func (Attempt) isEffect()       {}
func (CancelAttempt) isEffect() {}
func (Deliver) isEffect()       {}
func (GiveUp) isEffect()        {}
func (StartTimer) isEffect()    {}
func (Probe) isEffect()         {}
