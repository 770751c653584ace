// Package instance identifies a daemon and the backend server beside it.
package instance

import (
	"net/netip"
	"slices"
	"time"

	"github.com/cockroachdb/errors"
)

// ID names an instance, unique in the fleet.
type ID string

// Incarnation tells the runs of one daemon apart. A later run has a higher number.
type Incarnation uint64

// Status is what is known of a member.
type Status uint8

// Statuses are ordered: of two announcements with equal incarnation and counter, the higher one wins.
const (
	// Alive members take new work.
	Alive Status = iota
	// Accused members missed exchanges; they keep their place until the accusation stands.
	Accused
	// Draining members finish what they have and take no new work.
	Draining
	// Dead members are not contacted.
	Dead
	// Left members have shut down in order.
	Left
)

var statusNames = [...]string{"alive", "accused", "draining", "dead", "left"}

// String returns a lower-case name.
func (s Status) String() string {
	if int(s) < len(statusNames) {
		return statusNames[s]
	}

	return "unknown"
}

// MarshalText implements encoding.TextMarshaler, for dumps and recordings.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// UnmarshalText implements encoding.TextUnmarshaler.
func (s *Status) UnmarshalText(text []byte) error {
	at := slices.Index(statusNames[:], string(text))
	if at < 0 {
		return errors.Newf("%q: unknown status", text)
	}

	*s = Status(at)

	return nil
}

// Place is where an instance runs.
type Place struct {
	Region string
	Domain string
}

// Member is one daemon as the others know it. Values are immutable.
type Member struct {
	ID          ID
	Incarnation Incarnation
	// Counter orders announcements within an incarnation.
	Counter uint64
	Status  Status
	Service string
	Place   Place
	// Peer is the address at which other daemons reach it.
	Peer netip.AddrPort
	// Slots is the number of requests its backend server runs at once.
	Slots int
	// Started is when this incarnation started, by its own clock.
	Started time.Time
}

// WithStatus returns a copy with another status and counter.
func (m Member) WithStatus(status Status, counter uint64) Member {
	m.Status, m.Counter = status, counter

	return m
}

// Usable reports whether new work may be sent to the member.
func (m Member) Usable() bool { return m.Status == Alive || m.Status == Accused }
