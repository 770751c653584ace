package routing

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Event is something that happened to a request or to a server.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

// Outcome is how an attempt ended.
type Outcome uint8

const (
	// Answered attempts brought a whole response of a backend server.
	Answered Outcome = iota
	// Refused attempts were turned away and not run.
	Refused
	// Unreachable attempts did not reach the daemon beside the server and were not run.
	Unreachable
	// Broken attempts were sent and brought no usable response.
	Broken
	// Aborted attempts were cancelled by this daemon.
	Aborted
)

// String returns the name used in logs and dumps.
func (o Outcome) String() string {
	return [...]string{"answered", "refused", "unreachable", "broken", "aborted"}[o]
}

type (
	// Arrived brings a request of a caller. Its service is already chosen.
	Arrived struct{ Request request.Request }
	// Accepted reports that the daemon beside the server has read an attempt, and whether it runs.
	Accepted struct {
		ID      request.ID
		Number  int
		Running bool
	}
	// Ended reports the end of an attempt; there is one for each Attempt.
	Ended struct {
		ID      request.ID
		Number  int
		Outcome Outcome
		Verdict verdict.Verdict
		// Failure is set if the response is one of a server that could not do its work.
		Failure bool
		// Unusable is set if the server will take no other attempt either until it says so.
		Unusable bool
		// Bytes of the response's body.
		Bytes int64
	}
	// Cancelled reports that the caller has left.
	Cancelled struct{ ID request.ID }
	// Reported brings the load of a server.
	Reported struct{ Report load.Report }
	// MembersChanged brings all members that may take work.
	MembersChanged struct{ Members []instance.Member }
	// PolicyChanged brings the services of the manifest in force.
	PolicyChanged struct{ Services []manifest.Service }
	// Restarted says that an earlier run of the daemon may have sent requests once more just now.
	Restarted struct{}
	// Closing ends all requests, because the daemon is about to end.
	Closing struct{}
	// Tick lets time pass.
	Tick struct{}
)

type (
	// Attempt sends a request to the daemon beside a server.
	Attempt struct {
		Request request.Request
		Number  int
		Target  instance.Member
		// Wait is the longest time that the attempt may wait for a slot there.
		Wait time.Duration
		// Slowest is the slowness of the server above which it is to refuse the attempt; zero for any.
		Slowest float64
		Why     Reason
		Basis   Basis
	}
	// CancelAttempt withdraws an attempt.
	CancelAttempt struct {
		ID     request.ID
		Number int
		Why    Reason
	}
	// Deliver passes the response of an attempt to the caller. Other attempts are withdrawn before it.
	Deliver struct {
		ID     request.ID
		Number int
	}
	// GiveUp ends a request without a response.
	GiveUp struct {
		ID      request.ID
		Verdict verdict.Verdict
		Reason  Reason
		// RetryAfter is when another try makes sense; zero if it makes none.
		RetryAfter time.Duration
	}
)

// Basis is what the choice of a server rests on.
type Basis struct {
	// Expected is the time that the request is expected to take there, Next the cost of the next best server.
	Expected, Next time.Duration
	// Ahead is the number of requests that run or wait there.
	Ahead, Slots int
	Slowness     float64
	Failing      float64
	// Age of the report that the figures rest on; negative if there is none.
	Age time.Duration
	// Candidates is the number of servers that were compared.
	Candidates int
	// Budget is the number of repeats that were left for the service.
	Budget float64
}

// Reason says why a decision was made.
type Reason string

// Reasons of attempts, withdrawals and final refusals.
const (
	First             Reason = "first"
	Retry             Reason = "retry"
	Hedge             Reason = "hedge"
	Moved             Reason = "moved"
	Silent            Reason = "silent"
	Superseded        Reason = "superseded"
	CallerLeft        Reason = "caller-left"
	DeadlinePassed    Reason = "deadline"
	NoServers         Reason = "no-servers"
	Overloaded        Reason = "overloaded"
	ConnectionLost    Reason = "connection-lost"
	AttemptsExhausted Reason = "attempts-exhausted"
	ShuttingDown      Reason = "shutting-down"
)

func (Arrived) isEvent()        {}
func (Accepted) isEvent()       {}
func (Ended) isEvent()          {}
func (Cancelled) isEvent()      {}
func (Reported) isEvent()       {}
func (MembersChanged) isEvent() {}
func (PolicyChanged) isEvent()  {}
func (Restarted) isEvent()      {}
func (Closing) isEvent()        {}
func (Tick) isEvent()           {}

func (Attempt) isEffect()       {}
func (CancelAttempt) isEffect() {}
func (Deliver) isEffect()       {}
func (GiveUp) isEffect()        {}
