// Package load defines the load of a backend server as observed by the daemon beside it.
package load

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

// Report is the load of a backend server that the daemon beside it sends to other daemons.
type Report struct {
	Server      instance.ID
	Incarnation instance.Incarnation
	// Counter orders the reports of one incarnation.
	Counter uint64
	// Open is set while the server accepts new requests.
	Open bool
	// Running is the number of requests in progress at the backend server.
	Running int
	// Waiting is the number of requests of each rank that wait for a slot.
	Waiting Waiting
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Slowness is the present duration of requests relative to the usual one; 1 is as usual.
	Slowness float64
	// Failing is the fraction of recent requests that got no usable response.
	Failing float64
	// Calls holds the number of calls that a request of the server usually makes to each service. Beats do not carry
	// it, only the replies to attempts do.
	Calls []Calls
	// ColdFor is the remaining time for which the server is slow after its start.
	ColdFor time.Duration
	// Found is the finding on the server's slots; its limit is zero if there is none yet.
	Found Finding
}

// Finding says that using Limit of a server's Slots gives the best throughput.
type Finding struct{ Slots, Limit int }

// Newer reports whether r is later than another report of the same server.
func (r Report) Newer(other Report) bool {
	if r.Incarnation != other.Incarnation {
		return r.Incarnation > other.Incarnation
	}

	return r.Counter > other.Counter
}

// RequestCount returns the number of requests at the server, including those that wait for a slot.
func (r Report) RequestCount() int { return r.Running + r.Waiting.Total() }

// Ahead returns the number of requests at the server that are served before a new one of the given rank.
func (r Report) Ahead(rank request.Rank) int { return r.Running + r.Waiting.Ahead(rank) }

const (
	// slownessStep is the ratio of two values of Slowness above which a choice between servers may change.
	slownessStep = 1.15
	// failingStep is the difference of two values of Failing above which a choice between servers may change.
	failingStep = 0.08
)

// CapacityDiffers reports whether slots, slowness or failures of the server differ significantly between two reports.
// It ignores the number of requests.
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
