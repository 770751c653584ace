package suspects

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

// Event is a crash, a report or the passing of time.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

// Report says that a request was in flight when a backend server died, or that such a suspicion no
// longer holds. Values are immutable.
type Report struct {
	Service     string
	Fingerprint request.Fingerprint
	// Source identifies the crash in the fleet, so that several reports of it count once.
	Source string
	// Alone is set if nothing else was in flight: the request is the cause.
	Alone bool
	// Cleared is set once the request has completed after this crash.
	Cleared bool
	Expires time.Time
}

// WithCleared returns a copy that withdraws the suspicion.
func (r Report) WithCleared() Report {
	r.Cleared = true

	return r
}

type (
	// Crashed reports a crash of the local backend server with everything that was in flight.
	Crashed struct {
		Source   string
		Requests []request.Request
	}
	// Implicated reports that an attempt ended with the crash of a remote backend server.
	Implicated struct {
		Source  string
		Request request.Request
	}
	// ReportsHeard brings reports of other daemons.
	ReportsHeard struct{ Reports []Report }
	// Completed reports that a request ran to its end.
	Completed struct{ Request request.Request }
	// Tick lets time pass.
	Tick struct{}
)

// Announce passes new reports to the other daemons of the service.
type Announce struct {
	Service string
	Reports []Report
}

func (Crashed) isEvent()      {}
func (Implicated) isEvent()   {}
func (ReportsHeard) isEvent() {}
func (Completed) isEvent()    {}
func (Tick) isEvent()         {}

func (Announce) isEffect() {}
