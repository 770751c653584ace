package health

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
)

// Event is something that was learned of the server.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

type (
	// Started begins the life of the daemon with what an earlier run has stored.
	Started struct {
		// Last is the server that announced itself last, for the daemon's own service.
		Last backend.ID
		Born time.Time
		// Left is set if that server had left or was about to.
		Left bool
	}
	// Announced brings what the server says of itself.
	Announced struct{ Announcement backend.Announcement }
	// Withdrawn reports that a server says that it is leaving for good.
	Withdrawn struct {
		ID   backend.ID
		Born time.Time
	}
	// Observed brings the load that a response carried.
	Observed struct{ Load dialect.Load }
	// Ran reports the end of a request at the server.
	Ran struct {
		// Failed is set if it got no usable response.
		Failed bool
		// Unserved is set if the server did not respond to it, or only to refuse it.
		Unserved bool
	}
	// Refused reports that a connection to the server was refused or could not be made.
	Refused struct{}
	// Misdirected reports that another server is at the address.
	Misdirected struct{ ID backend.ID }
	// Probed is the outcome of a probe.
	Probed struct {
		// Answered is set if there was an answer, Healthy if it says that the server takes work, and Draining if
		// it says that the server is about to leave.
		Answered, Healthy, Draining bool

		ID     backend.ID
		Load   dialect.Load
		Loaded bool
	}
	// Busy says whether somebody wants to know the load soon.
	Busy struct{ Watched bool }
	// PaceChanged limits probes to one in each interval; zero for no limit, negative for no probes.
	PaceChanged struct{ Interval time.Duration }
	// Tick lets time pass.
	Tick struct{}
)

type (
	// Probe asks for the health of the server.
	Probe struct{}
	// Changed reports that the answer of Server or Closed has changed.
	Changed struct{}
)

func (Started) isEvent()     {}
func (Announced) isEvent()   {}
func (Withdrawn) isEvent()   {}
func (Observed) isEvent()    {}
func (Ran) isEvent()         {}
func (Refused) isEvent()     {}
func (Misdirected) isEvent() {}
func (Probed) isEvent()      {}
func (Busy) isEvent()        {}
func (PaceChanged) isEvent() {}
func (Tick) isEvent()        {}

func (Probe) isEffect()   {}
func (Changed) isEffect() {}
