// Package load describes the load of a backend server as the daemon beside it observes it.
package load

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

// Report is the load of a backend server as the daemon beside it tells other daemons.
type Report struct {
	Server      instance.ID
	Incarnation instance.Incarnation
	// Counter orders the reports of one incarnation.
	Counter uint64
	// Open is set while the server takes new work.
	Open bool
	// Running is the number of requests at the backend server.
	Running int
	// Waiting are those that wait for a slot.
	Waiting Waiting
	Slots   int
	// Slowness is how long work takes at present relative to the usual time; 1 is as usual.
	Slowness float64
	// Failing is the share of requests that recently got no usable response.
	Failing float64
	// Calls are those that a request of the server usually makes, by service. Only replies tell them.
	Calls []Calls
	// ColdFor is how much longer the server is slow after its start.
	ColdFor time.Duration
	// Found is the number of slots that were found to be worth using; its limit is zero if none was found yet.
	Found Finding
}

// Finding is the number of a server's slots that were found to be worth using.
type Finding struct{ Slots, Limit int }

// Newer reports whether r supersedes another report of the same server.
func (r Report) Newer(other Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}

	return r.Counter > other.Counter
}

// Busy is the number of requests at the server, those that wait included.
func (r Report) RequestCount() int { return r.Running + r.Waiting.Total() }

// Ahead is the number of requests at the server that go before a new one of a rank.
func (r Report) Ahead(rank request.Rank) int { return r.Running + r.Waiting.Ahead(rank) }

const (
	// slownessStep is the relative change of the slowness that matters to a choice between servers.
	slownessStep = 1.15
	// failingStep is the change of the share of failures that matters.
	failingStep = 0.08
)

// PaceDiffers reports whether the server works differently from what another report says, whatever the number of
// its requests.
func (r Report) CapacityDiffers(other Report) bool {
	if r.Slots != other.Slots {
		return true
	}

	if r.Slowness > other.Slowness*slownessStep || r.Slowness*slownessStep < other.Slowness {
		return true
	}

	diff := r.Failing - other.Failing

	return diff > failingStep || diff < -failingStep
}
