package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/membership"
)

// leavePeriod lets the announcement that this daemon has left reach its neighbours.
const leavePeriod = 200 * time.Millisecond

// releaseLimit bounds the wait for the handover of the key table.
const releaseLimit = 3 * time.Second

// quietInterval is the period at which the end of the last request or of the handover is looked for.
const quietInterval = 5 * time.Millisecond

// ErrSuperseded is returned if a later run with the same instance ID was seen.
var ErrSuperseded = errors.New("a later run of this instance exists")

// waitAndDrain waits for the end of ctx and then leaves in order: no new work for the server, requests
// in flight finish, the caller's socket closes, the others are told.
func (d *Daemon) waitAndDrain(ctx context.Context) error {
	var result error

	select {
	case <-ctx.Done():
	case <-d.superseded:
		result = ErrSuperseded
	}

	begun := time.Now()
	limited, cancel := context.WithTimeout(context.WithoutCancel(ctx), drainLimit)

	defer cancel()

	d.logger.Info().Msg("draining")
	d.Drain()
	d.callers.SetKeepAlivesEnabled(false)

	select {
	case <-d.drained:
	case <-limited.Done():
		d.logger.Error().Msg("requests are still in flight at the end of the drain period")
	}

	sleep(limited, drainPeriod-time.Since(begun))
	d.waitReleased(limited)

	if err := d.stopCallers(limited); err != nil {
		result = errors.CombineErrors(result, err)
	}

	d.waitEntries(limited)
	d.apply(membership.LeaveStarted{})
	sleep(limited, leavePeriod)
	d.logger.Info().Dur("took", time.Since(begun)).Msg("stopped")

	return result
}

// waitReleased waits until the key table was handed over, so that its keys are answered by a successor and
// not in doubt. Without a successor, or while the log is down, the wait is given up.
func (d *Daemon) waitReleased(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, releaseLimit)
	defer cancel()

	for ctx.Err() == nil {
		d.mutex.Lock()
		released := d.state.Released()
		d.mutex.Unlock()

		if released {
			return
		}

		sleep(ctx, quietInterval)
	}

	d.logger.Warn().Msg("key table was not handed over in time; its keys are in doubt")
}

// waitEntries waits for requests that other daemons have forwarded because this one owns their keys.
func (d *Daemon) waitEntries(ctx context.Context) {
	for ctx.Err() == nil {
		d.mutex.Lock()
		left := len(d.entries)
		d.mutex.Unlock()

		if left == 0 {
			return
		}

		sleep(ctx, quietInterval)
	}
}

// stopCallers accepts the connections that wait, closes the socket, waits for the requests in flight and
// only then calls Shutdown, after which net/http drops requests that it still reads. Connections end after
// one request by then, because keep-alive is off.
func (d *Daemon) stopCallers(ctx context.Context) error {
	if err := d.listeners.Caller.Close(); err != nil {
		return errors.Wrap(err, "close caller socket")
	}

	select {
	case <-d.unlistened:
	case <-ctx.Done():
	}

	for !d.open.Quiet(time.Now()) && ctx.Err() == nil {
		sleep(ctx, quietInterval)
	}

	return errors.Wrap(d.callers.Shutdown(ctx), "shut down caller interface")
}

// Drain stops new work for the backend server. It can be called more than once.
func (d *Daemon) Drain() {
	d.mutex.Lock()
	first := !d.draining
	d.draining = true
	d.mutex.Unlock()

	if first {
		d.apply(core.DrainStarted{})
	}
}

func (d *Daemon) isDraining() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.draining
}

func sleep(ctx context.Context, period time.Duration) {
	if period <= 0 {
		return
	}

	timer := time.NewTimer(period)
	defer timer.Stop()

	select {
	case <-timer.C:
	case <-ctx.Done():
	}
}
