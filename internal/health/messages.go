package health

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Event is an input of State.Apply: something that the daemon has learned of the backend server.
type Event interface{ isEvent() }

// Effect is an output of State.Apply: an action that the daemon performs.
type Effect interface{ isEffect() }

type (
	// Started reports which server an earlier run of the daemon has stored. Other events may come before it, while
	// the daemon reads the store.
	Started struct {
		// Last is the server of the daemon's own service that announced itself last.
		Last backend.ID
		// Born is the start of that server, by its own clock; zero if unknown.
		Born time.Time
		// Left is set if that server had left or was about to.
		Left bool
	}
	// Announced reports an announcement of a server.
	Announced struct{ Announcement backend.Announcement }
	// Withdrawn reports that a server is leaving for good.
	Withdrawn struct {
		ID backend.ID
		// Born is the start of the server, by its own clock; zero if unknown.
		Born time.Time
	}
	// Observed reports the load that a response carried.
	Observed struct{ Load dialect.Load }
	// LimitStated reports what a response says of the number of requests that the server allows.
	LimitStated struct{ Limit backend.Limit }
	// Leaving reports that the server has said in a response that it leaves for good. ID is empty if the response does
	// not name the server.
	Leaving struct{ ID backend.ID }
	// Noticed reports what another daemon remembers of the responses of the server, which an earlier run of this daemon
	// has passed on.
	Noticed struct{ Notice backend.Notice }
	// Ran reports the end of a request at the server.
	Ran struct {
		// Failed is set if the request got no usable response.
		Failed bool
		// Unserved is set if the server did not respond, or only refused the request.
		Unserved bool
	}
	// Refused reports that a connection to the server was refused or could not be established.
	Refused struct{}
	// Misdirected reports that another server than the known one has answered. ID is that of the other one; empty if
	// it is unknown.
	Misdirected struct{ ID backend.ID }
	// Probed reports the outcome of a probe.
	Probed struct {
		// Answered is set if there was an answer, Healthy if the server accepts requests according to the answer, and
		// Draining if it is about to leave.
		Answered, Healthy, Draining bool

		ID   backend.ID
		Load dialect.Load
		// Loaded is set if the answer carried Load.
		Loaded bool
		// Repeated is set if the probe was sent twice.
		Repeated bool
		// ColdStated is set if the answer stated ColdFor, the remaining time for which the server is cold.
		ColdStated bool
		ColdFor    time.Duration
	}
	// Busy sets whether the load is needed, by another daemon or for requests that run at the server. Running is set if
	// the server has requests; it matters only if the service limits the requests of cold servers.
	Busy struct{ Watched, Running bool }
	// ColdPolicyChanged sets for how long servers of the service are cold, and what they tolerate meanwhile.
	ColdPolicyChanged struct{ Cold manifest.Cold }
	// PaceChanged sets the least time between two probes; zero for no limit, negative for no probes.
	PaceChanged struct{ Interval time.Duration }
	// Tick handles timers that have expired, of probes and of the breaker; see State.Next.
	Tick struct{}
)

type (
	// Probe sends a probe to the server. Probed follows.
	Probe struct{}
	// Changed reports that the result of Server, RefusalReason or Slots has changed.
	Changed struct{}
	// ColdChanged reports that the server has become cold, for the stated time, or warm, if that is zero. It is reported
	// only if the service limits the requests of cold servers.
	ColdChanged struct{ ColdFor time.Duration }
)

func (Started) isEvent()           {}
func (Announced) isEvent()         {}
func (Withdrawn) isEvent()         {}
func (Observed) isEvent()          {}
func (LimitStated) isEvent()       {}
func (Leaving) isEvent()           {}
func (Noticed) isEvent()           {}
func (Ran) isEvent()               {}
func (Refused) isEvent()           {}
func (Misdirected) isEvent()       {}
func (Probed) isEvent()            {}
func (Busy) isEvent()              {}
func (ColdPolicyChanged) isEvent() {}
func (PaceChanged) isEvent()       {}
func (Tick) isEvent()              {}

func (Probe) isEffect()       {}
func (Changed) isEffect()     {}
func (ColdChanged) isEffect() {}
