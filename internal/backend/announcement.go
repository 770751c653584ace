// Package backend speaks to the backend server that the daemon stands beside. It keeps its connections and reads
// what the server tells of itself.
package backend

import (
	"net/netip"
	"time"
)

// ID names one backend server, as it names itself. A server that starts again may keep its ID.
type ID string

// Announcement is what a backend server says of itself from time to time.
type Announcement struct {
	ID ID
	// Born is when this run of the server started, by its own clock; zero if unknown.
	Born time.Time
	// Sequence increases with each announcement of a run.
	Sequence int64
	Service  string
	// Version of the server's software.
	Version string
	Domain  string
	Address netip.AddrPort
	// Slots is the number of requests that the server runs at once.
	Slots int
	// Draining is set by a server that is about to leave.
	Draining bool
	// ColdFor is how much longer the server is slow after its start.
	ColdFor time.Duration
}
