package admission

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

// Event is something that happened to an attempt or to the backend server.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

// Attempt identifies one attempt of a request.
type Attempt struct {
	ID     request.ID
	Number int
}

type (
	// Arrived asks for a slot.
	Arrived struct {
		Attempt  Attempt
		Deadline time.Time
		// Nested calls go before new ones, so that work already begun completes.
		Nested bool
		// Alone asks to run while nothing else does.
		Alone bool
		// NoWait asks for a refusal (Busy) instead of a place in the queue.
		NoWait bool
	}
	// Done frees a slot: the backend server's answer was read whole, or the connection ended.
	Done struct {
		Attempt Attempt
		Elapsed time.Duration
		Failed  bool
	}
	// Cancelled reports that the entry daemon no longer wants the attempt.
	Cancelled struct{ Attempt Attempt }
	// DrainStarted stops new work.
	DrainStarted struct{}
	// LimitsChanged sets the number of slots and the length of the queue.
	LimitsChanged struct{ Slots, Queue int }
	// ServerChanged reports whether the backend server accepts connections.
	ServerChanged struct{ Up bool }
	// Tick lets time pass.
	Tick struct{}
)

type (
	// Start sends an attempt to the backend server.
	Start struct{ Attempt Attempt }
	// Refuse turns an attempt down. It was not run.
	Refuse struct {
		Attempt Attempt
		Reason  Reason
		Hint    load.Hint
	}
	// Abort cancels an attempt that was started.
	Abort struct{ Attempt Attempt }
	// Drained follows DrainStarted once nothing is in flight.
	Drained struct{}
)

// Reason says why an attempt was refused.
type Reason string

// Reasons for Refuse.
const (
	QueueFull      Reason = "queue-full"
	Sojourn        Reason = "sojourn"
	DeadlinePassed Reason = "deadline"
	IsDraining     Reason = "draining"
	ServerDown     Reason = "server-down"
	Busy           Reason = "busy"
)

func (Arrived) isEvent()       {}
func (Done) isEvent()          {}
func (Cancelled) isEvent()     {}
func (DrainStarted) isEvent()  {}
func (LimitsChanged) isEvent() {}
func (ServerChanged) isEvent() {}
func (Tick) isEvent()          {}

func (Start) isEffect()   {}
func (Refuse) isEffect()  {}
func (Abort) isEffect()   {}
func (Drained) isEffect() {}
