package suspects

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

// Event is an input of State.Apply: a crash, reports of other daemons, the end of a request or a tick.
type Event interface{ isEvent() }

// Effect is an output of State.Apply: an action that the daemon performs.
type Effect interface{ isEffect() }

// Report says that a request was running when a backend server crashed, or that this suspicion no longer holds.
// Values are immutable.
type Report struct {
	Service     string
	Fingerprint request.Fingerprint
	// Source identifies the crash in the fleet, so that several reports of it count once.
	Source string
	// Alone is set if the request ran alone because it was suspect: it is the cause of the crash.
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
	// Crashed reports a crash of the local backend server, with all requests that were running. Source identifies the
	// crash.
	Crashed struct {
		Source   string
		Requests []request.Request
	}
	// Implicated reports that an attempt ended with the crash of a remote backend server.
	Implicated struct {
		Source  string
		Request request.Request
	}
	// ReportsHeard adds reports of other daemons.
	ReportsHeard struct{ Reports []Report }
	// Completed reports that a request has run to its end.
	Completed struct{ Request request.Request }
	// Tick removes expired reports.
	Tick struct{}
)

// Announce sends new or changed reports to the other daemons. Service is the service of the reported requests.
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
