// Package settings holds what a daemon reads from its INI file.
package settings

import (
	"net/netip"
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
	// Log is the base URL of the log service.
	Log string
	// Seeds are peer addresses to start from.
	Seeds []netip.AddrPort
	// Key is the fleet's shared secret, which peer and remote admin traffic has to present.
	Key   string
	Trace Trace
	// Level is a zerolog level name.
	Level string
}

// Listen holds the listen addresses.
type Listen struct {
	Caller netip.AddrPort
	Peer   netip.AddrPort
	Admin  netip.AddrPort
}

// Backend describes the backend server beside the daemon.
type Backend struct {
	Address netip.AddrPort
	// Slots is the number of requests that it runs at once.
	Slots int
	// Queue is the number of requests that may wait for a slot.
	Queue int
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
