// Package load describes the load of a backend server as the daemon beside it observes it.
package load

import "time"

// Hint is attached to every answer and refusal between daemons.
type Hint struct {
	// InFlight is the exact number of requests at the backend server.
	InFlight int
	// Queue is the number of requests that wait for a slot.
	Queue int
	// Limit is the number of requests that may be in flight now.
	Limit int
	// Latency is the recent service time of successful requests.
	Latency time.Duration
	// Draining is set while no new work is accepted.
	Draining bool
}

// Full reports whether the next request would have to wait.
func (h Hint) Full() bool { return h.InFlight >= h.Limit }
