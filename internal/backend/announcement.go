// Package backend implements the client for the backend server beside the daemon. It pools connections to the server,
// matches responses to requests, and reads what the server reports about itself.
package backend

import (
	"net/netip"
	"time"
)

// ID is the identifier that a backend server gives itself. A server may keep its ID across restarts.
type ID string

// Announcement is what a backend server periodically reports about itself.
type Announcement struct {
	ID ID
	// Born is the time at which the server process started, by the server's clock; zero if unknown.
	Born time.Time
	// Sequence increases with each announcement of one server process.
	Sequence int64
	Service  string
	// Version is the version of the server's software.
	Version string
	// Domain is the server's failure domain.
	Domain  string
	Address netip.AddrPort
	// Slots is the number of requests that the server runs concurrently.
	Slots int
	// Draining is set by a server that is about to leave the fleet.
	Draining bool
	// ColdFor is the remaining time for which the server is slow after its start.
	ColdFor time.Duration
	// ColdStated is set if the announcement states ColdFor, also if that is zero.
	ColdStated bool
}
