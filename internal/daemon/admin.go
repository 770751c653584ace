package daemon

import (
	"context"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"github.com/tarragonmill/tarragonmill/internal/admin"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
)

// Dump is the state of a daemon that the admin interface shows.
type Dump struct {
	// Version is the version of the manifest in force.
	Version  uint64
	Now      time.Time
	Ready    bool
	Draining bool
	// Tasks holds the number of running goroutines by name.
	Tasks     map[string]int
	Traffic   Traffic
	Held      Held
	Decisions core.Dump
}

// Traffic counts connections, datagrams and log lines since the start.
type Traffic struct {
	// PeerDials and ServerDials are connections opened to other daemons and to the backend server.
	PeerDials   int64
	ServerDials int64
	// Foreign counts responses of the backend server that belonged to another request and were discarded.
	Foreign int64
	// Resumed counts downloads that broke off and were continued at another server.
	Resumed int64
	// BeatErrors counts datagrams that could not be sent or read.
	BeatErrors int64
	// Control is the control traffic in bytes: the datagrams and the calls to the store, in both directions.
	Control int64
	// LinesLeftOut counts log lines that the rate limits suppressed.
	LinesLeftOut uint64
}

// Dump returns the present state.
func (d *Daemon) Dump() Dump {
	d.mutex.Lock()
	decisions := d.state.Dump(d.now())
	d.mutex.Unlock()

	return Dump{
		Version: d.version.Load(), Now: d.now(), Ready: d.Ready(), Draining: d.drain.Load() != nil,
		Tasks: d.tasks.Running(), Traffic: d.traffic(), Held: d.held(), Decisions: decisions,
	}
}

func (d *Daemon) traffic() Traffic {
	return Traffic{
		PeerDials: d.attempts.Dials(), ServerDials: d.backend.Dials(), Foreign: d.backend.ForeignResponses(),
		BeatErrors: d.beatErrors.Load(), Resumed: d.resumedDownloads.Load(), LinesLeftOut: d.log.SuppressedLines(),
		Control: d.controlBytes(),
	}
}

func (d *Daemon) controlBytes() int64 {
	total := d.beatBytes.Load()

	if d.platform.StoreCounts != nil {
		counts := d.platform.StoreCounts()
		total += counts.BytesRead + counts.BytesWritten
	}

	return total
}

// newAdmin returns the server of the admin interface.
func (d *Daemon) newAdmin() *admin.Server {
	return admin.New(d.settings.Load().Key,
		admin.WithDump(func(context.Context) (any, error) { return d.Dump(), nil }),
		admin.WithReady(d.checkReady),
		admin.WithLogger(d.logger),
		admin.WithDrain(func(context.Context) error {
			d.log.Notable(eventlog.Stopping).Str("why", "operator").Send()

			// A drain ordered by an operator is the same as a termination signal.
			return errors.Wrap(unix.Kill(unix.Getpid(), syscall.SIGTERM), "end the process")
		}),
		admin.WithMetrics(http.HandlerFunc(d.serveMetrics)))
}
