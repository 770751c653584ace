package daemon

import (
	"cmp"
	"net/http"

	"golang.org/x/sys/unix"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/memory"
	"github.com/tarragonmill/tarragonmill/internal/settings"
)

const (
	// minBodyRate is the default least rate of a body in bytes per second.
	minBodyRate = 1 << 10
	// callerShare and peerShare are the inverses of the shares of the process's descriptors that connections of callers and
	// of other daemons may use. The rest is for connections to other daemons and the backend server.
	callerShare, peerShare = 2, 4
	// auxConnections bounds the connections of each server for readiness checks, announcements and operators.
	auxConnections = 64
	// auxMaxBody is the largest body in bytes that those servers read.
	auxMaxBody = 128 << 10
)

// MemoryAvailable returns the memory that the daemon may use, in bytes.
func (d *Daemon) MemoryAvailable() int64 { return d.memoryAvailable }

// maxConnections returns the largest number of connections of callers and of other daemons. Zero means no limit.
func maxConnections(limits settings.Limits) (callers, peers int) {
	if limits.Connections > 0 {
		return limits.Connections, limits.Connections / (peerShare / callerShare)
	}

	var descriptors unix.Rlimit
	if unix.Getrlimit(unix.RLIMIT_NOFILE, &descriptors) != nil {
		return 0, 0
	}

	const unlimited = 1 << 20

	usable := int(min(descriptors.Cur, unlimited))

	return usable / callerShare, usable / peerShare
}

// limitCallers adds the limits in the settings that hold for the connections of callers.
func (d *Daemon) limitCallers(limits http1.Limits) http1.Limits {
	set := d.settings.Load().Limits
	limits.Fields, limits.Rate = set.Fields, cmp.Or(set.Rate, minBodyRate)
	limits.Connections = d.callerConnections

	return limits
}

// limitBodies bounds the bodies that a handler reads. A request with a body that its path does
// not expect is the last one of its connection, so that the body need not be read.
func limitBodies(handler http.Handler, expectsBody bool) http.Handler {
	limited := http.MaxBytesHandler(handler, auxMaxBody)

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !expectsBody && r.ContentLength != 0 {
			w.Header().Set("Connection", "close")
		}

		limited.ServeHTTP(w, r)
	})
}

// Held is the state of the bounds on what callers and other daemons can make the daemon hold.
type Held struct {
	Memory memory.State
	// CallerConnections and PeerConnections are open connections.
	CallerConnections, PeerConnections int
	// Closed counts the connections of callers and other daemons that were closed, by reason.
	Closed map[string]int64
}

func (d *Daemon) held() Held {
	held := Held{
		Memory: d.memory.State(), CallerConnections: d.callers.Connections(), PeerConnections: d.peers.Connections(),
		Closed: make(map[string]int64),
	}

	for _, reason := range http1.CloseReasons() {
		held.Closed[reason.String()] = d.callers.Closed(reason) + d.peers.Closed(reason)
	}

	return held
}

// exportHeld exports the state of the bounds, and logs that callers or daemons have reached one since the last export.
func (d *Daemon) exportHeld() {
	held, m := d.held(), d.metrics
	m.scope.Gauge("memory_capacity_bytes").Update(float64(held.Memory.Capacity))
	m.scope.Gauge("memory_held_bytes").Update(float64(held.Memory.Used))
	m.scope.Gauge("caller_connections").Update(float64(held.CallerConnections))
	m.scope.Gauge("peer_connections").Update(float64(held.PeerConnections))
	m.exportTotal("memory_refusals_total", "", "", held.Memory.Refused)

	total := held.Memory.Refused

	for reason, count := range held.Closed {
		m.exportTotal("connections_closed_total", reasonLabel, reason, count)

		total += count
	}

	if total == d.boundsReached {
		return
	}

	d.boundsReached = total
	line := d.log.Warn(eventlog.BoundReached).Int64("held", held.Memory.Used).Int64("refused", held.Memory.Refused)

	for _, reason := range http1.CloseReasons() {
		line = line.Int64(reason.String(), held.Closed[reason.String()])
	}

	line.Send()
}
