package admission

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

// Event is an input of State.Apply: something that happened to an attempt or to the backend server.
type Event interface{ isEvent() }

// Effect is an output of State.Apply: an action that the daemon performs.
type Effect interface{ isEffect() }

// Attempt identifies one attempt at a request. Entry distinguishes requests of different entry daemons that have the
// same ID.
type Attempt struct {
	Entry  string
	ID     request.ID
	Number int
}

type (
	// Arrived reports an attempt that needs a slot.
	Arrived struct {
		Attempt  Attempt
		Deadline time.Time
		// Rank orders waiting attempts; the lowest rank goes first.
		Rank request.Rank
		// Priority orders attempts of the same rank; 0 is the highest.
		Priority int
		// Tenant is the tenant whose attempts get slots in turn with those of others of the same rank and priority. It is
		// empty in a fleet without tenants.
		Tenant string
		// Alone is set if the attempt has to run while no other one does.
		Alone bool
		// Wait is the longest time that the attempt may wait for a slot; zero if it may not wait.
		Wait time.Duration
		// Slowest is the slowness of the server above which the attempt is refused or, once queued, not started;
		// zero for no limit.
		Slowest float64
	}
	// Done reports that a started attempt has ended: the backend server's whole response was read, or the connection
	// ended.
	Done struct {
		Attempt Attempt
		// Misdirected is set if another server than the expected one has refused the attempt by status 421. It does not
		// count as a start then.
		Misdirected bool
	}
	// Cancelled reports that the entry daemon has cancelled an attempt.
	Cancelled struct{ Attempt Attempt }
	// ServerChanged reports the state of the backend server.
	ServerChanged struct {
		// Closed is the reason for refusing all attempts; empty if the server is open.
		Closed Reason
		// Slots is the number of attempts that may run at once, and Queue the number that may wait. Nested calls may
		// exceed Queue.
		Slots int
		Queue int
		// Slowness is how long work takes at the server relative to the usual time; 1 is usual.
		Slowness float64
		// Limited is set if the server takes only PerSecond requests per second.
		Limited   bool
		PerSecond float64
		// ColdRate is the number of requests per second that the server tolerates while it is cold, which it is until
		// ColdUntil; zero for no limit. At least one request starts per second.
		ColdRate  float64
		ColdUntil time.Time
		// ColdUnknown is set if the server only may be cold. No attempt is refused for that, because it is known soon.
		// ColdFrom is when it was warm for certain: starts before do not count. It is zero if all count.
		ColdUnknown bool
		ColdFrom    time.Time
	}
	// Tick handles attempts whose wait has expired; see State.Next.
	Tick struct{}
)

type (
	// Start sends an attempt to the backend server.
	Start struct{ Attempt Attempt }
	// Queued reports to the entry daemon that an attempt waits for a slot.
	Queued struct{ Attempt Attempt }
	// Refuse refuses an attempt, which was not run.
	Refuse struct {
		Attempt Attempt
		Reason  Reason
		// Waited is how long the attempt waited for a slot.
		Waited time.Duration
	}
	// Abort aborts an attempt that was started. Done still follows.
	Abort struct{ Attempt Attempt }
)

// Reason is why an attempt is refused.
type Reason string

// Reasons of Refuse and of ServerChanged.
const (
	// QueueFull means that the queue is full, or that another attempt displaced this one from the full queue.
	QueueFull Reason = "queue-full"
	// WaitedTooLong means that Arrived.Wait has passed without a free slot.
	WaitedTooLong Reason = "waited"
	// DeadlinePassed means that the attempt's deadline has passed.
	DeadlinePassed Reason = "deadline"
	// TooSlow means that the server is slower than Arrived.Slowest allows.
	TooSlow Reason = "too-slow"
	// Draining means that the daemon or the backend server finishes its work and takes no more.
	Draining Reason = "draining"
	// Evacuated means that the failure domain is evacuated.
	Evacuated Reason = "evacuated"
	// ServerDown means that the backend server cannot be reached.
	ServerDown Reason = "server-down"
	// ServerFailing means that the circuit breaker of the backend server is open.
	ServerFailing Reason = "server-failing"
	// ServerUnknown means that the state of the backend server is not known yet.
	ServerUnknown Reason = "server-unknown"
	// OverLimit means that the server allows no more requests at present.
	OverLimit Reason = "over-limit"
	// Busy means that no slot is free for an attempt that may not wait, or that another attempt already runs alone or
	// waits to do so.
	Busy Reason = "busy"
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
