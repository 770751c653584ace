package backend

import "time"

// Limit bounds the requests that a server takes from all instances together.
type Limit struct {
	// Set is false if there is no limit.
	Set bool
	// PerSecond is the number of requests per second.
	PerSecond float64
}

// Statement is what one response says of the limit of its server. A response without a limit states that there is none.
type Statement struct {
	// Made is false if the response says nothing, because it is faulty.
	Made  bool
	Limit Limit
}

// Notice is what a server has last said of itself in its responses, as the daemon beside it passes it on to the daemons
// that send it requests. They return it with their attempts, in case that daemon has restarted and forgotten it.
type Notice struct {
	Server ID
	// Born is the start of the server, by its own clock; zero if unknown.
	Born time.Time
	// Leaving is set if the server has said that it leaves.
	Leaving bool
	Limit   Limit
}

// Update returns the notice with what a later one says. A zero notice says nothing, and a server that leaves does not
// come back in the same run.
func (n Notice) Update(later Notice) Notice {
	switch {
	case later == Notice{}:
		return n
	case !n.sameRun(later):
		return later
	}

	later.Leaving = later.Leaving || n.Leaving
	if later.Born.IsZero() {
		later.Born = n.Born
	}

	return later
}

// sameRun reports whether two notices may be of the same run of a server.
func (n Notice) sameRun(other Notice) bool {
	return n.Server == other.Server && (n.Born.IsZero() || other.Born.IsZero() || n.Born.Equal(other.Born))
}

// IsEmpty reports whether a notice says nothing that restricts requests.
func (n Notice) IsEmpty() bool { return !n.Leaving && !n.Limit.Set }
