// Package settings holds what a daemon reads from its INI file.
package settings

import (
	"net/netip"
	"reflect"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Settings of one daemon. Values are checked before any socket opens.
type Settings struct {
	ID      instance.ID
	Service string
	Place   instance.Place
	Listen  Listen
	// Advertise is the peer address that other daemons use.
	Advertise netip.AddrPort
	Backend   Backend
	// Store is the address of the platform's log service.
	Store netip.AddrPort
	// Seeds are peer addresses to start from.
	Seeds []netip.AddrPort
	// Key is the fleet's shared secret, which peer and remote admin traffic has to present.
	Key   string
	Trace Trace
	// Level is a zerolog level name.
	Level string
	// Fields selects the header fields of callers and backend servers: "own" or "platform".
	Fields string
	Repeat Repeat
	// Grace is the time from SIGTERM until the process is killed.
	Grace time.Duration
}

// Repeat limits how often requests are sent once more, for each service.
type Repeat struct {
	// Share is the number of repeats allowed per request.
	Share float64
	// Slack is the number of repeats that the whole fleet is allowed in each window besides.
	Slack  float64
	Window time.Duration
}

// Listen holds the listen addresses.
type Listen struct {
	Caller netip.AddrPort
	Peer   netip.AddrPort
	Admin  netip.AddrPort
	// Ready is asked by the platform whether callers are to be sent here; not set for none.
	Ready netip.AddrPort
	// Announce is where the backend server announces itself; not set for a server that does not.
	Announce netip.AddrPort
}

// Backend describes the backend server beside the daemon.
type Backend struct {
	Address netip.AddrPort
	// Slots is the number of requests that it runs at once; zero if the server announces it.
	Slots int
	// Queue is the number of requests that may wait for a slot, for a server with a set number of slots.
	Queue int
	// Backlog is the number of requests that may wait for each slot, for a server that announces its slots.
	Backlog int
	// Connections is the largest number of connections to it.
	Connections int
	// Health is the path that is asked whether the server is up and whether it drains; empty for none.
	Health string
	// Interval between health requests.
	Interval time.Duration
}

// Trace configures the recording of events; an empty file name turns it off.
type Trace struct {
	File string
	// Limit is the largest size of the file in bytes.
	Limit int64
}

// Equal reports whether two settings are the same.
func (s Settings) Equal(other Settings) bool { return reflect.DeepEqual(s, other) }

// CanReload reports whether a running daemon can change from one of the settings to the other without a restart:
// its identity, its addresses and key, the backend server, the store and the header fields are the same in both.
func CanReload(a, b Settings) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Place == b.Place && a.Listen == b.Listen &&
		a.Advertise == b.Advertise && a.Backend == b.Backend && a.Store == b.Store &&
		a.Key == b.Key && a.Fields == b.Fields
}
