// Package settings defines the settings that a daemon reads from its INI file.
package settings

import (
	"net/netip"
	"reflect"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Settings are the settings of one daemon. The daemon checks them before it opens a socket.
type Settings struct {
	ID      instance.ID
	Service string
	Place   instance.Place
	Listen  Listen
	// Advertise is the peer address at which other daemons reach this one.
	Advertise netip.AddrPort
	Backend   Backend
	// Store is the address of the platform's log service.
	Store netip.AddrPort
	// Seeds are the peer addresses of daemons that a starting daemon contacts to join the fleet.
	Seeds []netip.AddrPort
	// Key is the shared secret of the fleet, which peers and remote admin clients have to present.
	Key   string
	Trace Trace
	// Level is the log level, a level name of zerolog.
	Level string
	// Fields selects the header fields that callers and backend servers use: OwnFields or PlatformFields.
	Fields string
	Repeat Repeat
	Hedge  Hedge
	Limits Limits
	// Grace is the time from SIGTERM until the supervisor kills the process.
	Grace time.Duration
}

// Repeat limits repeats per service. A repeat is an attempt for a request that has already reached a server.
type Repeat struct {
	// Share is the maximum number of repeats per request on average.
	Share float64
	// Slack is the number of repeats that the whole fleet may make in each window in addition to Share.
	Slack float64
	// Window is the time over which requests and repeats are counted.
	Window time.Duration
}

// Hedge limits attempts that are hedged after a delay, for services whose manifest comes from the platform, which has no
// such limits. The zero value means that none is hedged.
type Hedge struct {
	// Share is the maximum number of such attempts per request on average.
	Share float64
	// Quantile of the recent response times of a route is the delay.
	Quantile float64
	// Work is the maximum share of the time that servers run requests which hedged attempts may use.
	Work float64
}

// Limits bounds what callers and other daemons can make a daemon hold. Zero in a field means the default of the daemon.
type Limits struct {
	// Memory is what the process may use, in bytes.
	Memory int64
	// Connections is the largest number of connections of callers. Other daemons may have half as many.
	Connections int
	// Fields is the largest number of header fields of a request.
	Fields int
	// Rate is the least rate of a request's body in bytes per second, after its first ten seconds.
	Rate int64
}

// Listen holds the addresses on which a daemon listens.
type Listen struct {
	// Caller is for the requests of callers.
	Caller netip.AddrPort
	// Peer is for other daemons.
	Peer netip.AddrPort
	// Admin is for operators: metrics, state dumps and draining.
	Admin netip.AddrPort
	// Ready is for the readiness checks of the platform, which ask whether the daemon accepts requests of callers. Zero
	// disables it.
	Ready netip.AddrPort
	// Announce is for the announcements of the backend server; zero if the server does not announce itself.
	Announce netip.AddrPort
}

// Backend describes the backend server beside the daemon.
type Backend struct {
	Address netip.AddrPort
	// Slots is the number of requests that the server runs at once; zero if the server announces it.
	Slots int
	// Queue is the maximum number of requests that wait for a slot. It applies if Slots is set.
	Queue int
	// Backlog is the maximum number of waiting requests per slot. It applies if the server announces its slots.
	Backlog int
	// Connections is the maximum number of connections to the server.
	Connections int
	// Health is the path of health requests, whose responses tell whether the server is up and whether it is
	// draining. If it is empty, a server that accepts connections counts as up.
	Health string
	// Interval is the time between health requests.
	Interval time.Duration
}

// Trace configures the recording of events.
type Trace struct {
	// File is the path of the recording; empty disables recording.
	File string
	// Limit is the maximum size of the file in bytes.
	Limit int64
}

// Equal reports whether two settings have the same values.
func (s Settings) Equal(other Settings) bool { return reflect.DeepEqual(s, other) }

// CanReload reports whether a running daemon can change from one of the settings to the other without a restart. This
// requires that identity, place, addresses, key, backend server, store, header fields and memory are the same in both.
func CanReload(a, b Settings) bool {
	return a.ID == b.ID && a.Service == b.Service && a.Place == b.Place && a.Listen == b.Listen &&
		a.Advertise == b.Advertise && a.Backend == b.Backend && a.Store == b.Store &&
		a.Key == b.Key && a.Fields == b.Fields && a.Limits.Memory == b.Limits.Memory
}
