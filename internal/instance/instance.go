// Package instance identifies a daemon and the backend server beside it.
package instance

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ID is the name of an instance, unique in the fleet.
type ID string

// Incarnation is the number of a run of one daemon. A later run has a higher number.
type Incarnation uint64

// Status is the state of a member as other daemons know it.
type Status uint8

// Statuses are ordered: of two announcements with the same incarnation and counter, the one with the higher status
// applies.
const (
	// Alive members accept new requests.
	Alive Status = iota
	// Accused members have sent no beat for some time and may have failed. They may still receive new requests.
	Accused
	// Draining members finish their requests and accept no new ones.
	Draining
	// Dead members are not contacted.
	Dead
	// Left members have shut down cleanly.
	Left
)

var statusNames = [...]string{"alive", "accused", "draining", "dead", "left"}

// String returns the lower-case name, or "unknown" for any other value.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}

	return "unknown"
}

// MarshalText implements encoding.TextMarshaler, for state dumps and recordings.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler. It returns an error for an unknown name.
func (s *Status) UnmarshalText(text []byte) error {
	at := slices.Index(statusNames[:], string(text))
	if at < 0 {
		return errors.Newf("%q: unknown status", text)
	}

	*s = Status(at)

	return nil
}

// Place is the location of an instance.
type Place struct {
	Region string
	// Domain is the failure domain.
	Domain string
}

// Member is a daemon as other daemons know it. Values are immutable.
type Member struct {
	ID          ID
	Incarnation Incarnation
	// Counter orders announcements within an incarnation.
	Counter uint64
	Status  Status
	// Service is the service of the backend server beside the daemon.
	Service string
	Place   Place
	// Peer is the address at which other daemons reach the member.
	Peer netip.AddrPort
	// Slots is the number of requests that its backend server runs at once.
	Slots int
	// Started is the start time of this incarnation by the member's own clock.
	Started time.Time
}

// WithStatus returns a copy with the given status and counter.
func (m Member) WithStatus(status Status, counter uint64) Member {
	m.Status, m.Counter = status, counter

	return m
}

// Usable reports whether new requests may be sent to the member.
func (m Member) Usable() bool { return m.Status == Alive || m.Status == Accused }
