package admission

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

// Event is something that happened to an attempt or to the backend server.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

// Attempt identifies one attempt of a request. Entry tells requests with equal IDs of different entry daemons
// apart.
type Attempt struct {
	Entry  string
	ID     request.ID
	Number int
}

type (
	// Arrived asks for a slot.
	Arrived struct {
		Attempt  Attempt
		Deadline time.Time
		// Rank orders what waits.
		Rank request.Rank
		// Priority orders attempts of the same rank; 0 is the highest.
		Priority int
		// Alone asks to run while nothing else does.
		Alone bool
		// Wait is the longest time in the queue.
		Wait time.Duration
		// Slowest is the slowness of the server above which the attempt is refused; zero for any.
		Slowest float64
	}
	// Done frees a slot: the backend server's answer was read whole, or the connection ended.
	Done struct{ Attempt Attempt }
	// Cancelled reports that the entry daemon no longer wants the attempt.
	Cancelled struct{ Attempt Attempt }
	// ServerChanged says what is known of the backend server.
	ServerChanged struct {
		// Closed is the reason for refusing all attempts, or empty.
		Closed Reason
		Slots  int
		Queue  int
		// Slowness of the server; 1 is as usual.
		Slowness float64
	}
	// Tick lets time pass.
	Tick struct{}
)

type (
	// Start sends an attempt to the backend server.
	Start struct{ Attempt Attempt }
	// Queued reports that an attempt waits for a slot.
	Queued struct{ Attempt Attempt }
	// Refuse turns an attempt down. It was not run.
	Refuse struct {
		Attempt Attempt
		Reason  Reason
		Waited  time.Duration
	}
	// Abort cancels an attempt that was started.
	Abort struct{ Attempt Attempt }
)

// Reason says why an attempt was refused.
type Reason string

// Reasons for Refuse.
const (
	QueueFull      Reason = "queue-full"
	WaitedTooLong  Reason = "waited"
	DeadlinePassed Reason = "deadline"
	TooSlow        Reason = "too-slow"
	Draining       Reason = "draining"
	ServerDown     Reason = "server-down"
	ServerFailing  Reason = "server-failing"
	ServerUnknown  Reason = "server-unknown"
	Busy           Reason = "busy"
)

func (Arrived) isEvent()       {}
func (Done) isEvent()          {}
func (Cancelled) isEvent()     {}
func (ServerChanged) isEvent() {}
func (Tick) isEvent()          {}

func (Start) isEffect()  {}
func (Queued) isEffect() {}
func (Refuse) isEffect() {}
func (Abort) isEffect()  {}
