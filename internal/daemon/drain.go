package daemon

import (
	"context"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

const (
	// noticePeriod is how long a leaving daemon takes new connections, until whoever sends callers here has
	// seen twice in a row, a second apart, that it is not ready.
	noticePeriod = 2300 * time.Millisecond
	// takePeriod is how long a leaving daemon takes every request. Callers may still be sent here because the
	// other daemons of the failure domain are leaving, too.
	takePeriod = 2800 * time.Millisecond
	// openPeriod is how long the backend server of a leaving daemon takes requests of other daemons. It ends
	// before noticePeriod, so that they know of it when the sockets close.
	openPeriod = 1900 * time.Millisecond
	// drainMargin is kept between the end of the drain and the time at which the process is killed.
	drainMargin = 400 * time.Millisecond
	drainStep   = 25 * time.Millisecond
	acceptPause = 20 * time.Millisecond
	// answerTime is how long before the end of the drain what is still in progress gets an answer of the daemon. A
	// connection that ends without one says less to its caller.
	answerTime = 200 * time.Millisecond
	// leaveWait is the time for the last call to the store.
	leaveWait = 100 * time.Millisecond
	// keysWait is how long a daemon without requests waits for its keys to be handed over, for which it needs the
	// store. After that its keys are refused until its grants end, as after a crash.
	keysWait = 3 * time.Second

	// resumeInterval is the time between two looks at whether the process stood still.
	resumeInterval = 500 * time.Millisecond
)

// waitAndDrain waits for the end of ctx, and then until no request is in progress.
func (d *Daemon) waitAndDrain(ctx context.Context) error {
	<-ctx.Done()

	begun := time.Now()
	limit := begun.Add(d.settings.Load().Grace - drainMargin)

	d.log.Notable(eventlog.Stopping).Int("requests", d.callers.OpenRequests()).Int("calls", d.peers.OpenRequests()).Send()
	d.drain.Store(&drain{begun: begun, limit: limit})
	d.callers.Drain()

	time.Sleep(time.Until(times.Earlier(begun.Add(openPeriod), limit)))
	d.apply(core.DrainStarted{})
	time.Sleep(time.Until(times.Earlier(begun.Add(noticePeriod), limit)))
	d.finishDrain(limit)

	return nil
}

// finishDrain closes the sockets in order: what was read until then is answered.
func (d *Daemon) finishDrain(limit time.Time) {
	d.callers.Stop()
	d.peers.Stop()
	d.apply(membership.Left{})

	time.Sleep(min(leaveWait, time.Until(limit)))
	waitWhile(d.busy, limit.Add(-answerTime))

	if d.busy() {
		d.apply(core.Closing{})
		waitWhile(d.busy, limit)
	}

	waitWhile(d.holdsKeys, times.Earlier(time.Now().Add(keysWait), limit))
}

// waitWhile returns when a condition no longer holds, or at a time.
func waitWhile(holds func() bool, until time.Time) {
	for holds() && time.Now().Before(until) {
		time.Sleep(drainStep)
	}
}

// drain is a shutdown in progress.
type drain struct {
	begun time.Time
	// limit is when requests in progress are cut off.
	limit time.Time
}

// takes reports whether a request that arrives now can be finished before the process ends.
func (s *drain) takes(left time.Duration) bool {
	now := time.Now()

	return now.Sub(s.begun) < takePeriod || now.Add(left).Before(s.limit)
}

func (d *Daemon) busy() bool {
	if d.callers.OpenRequests() > 0 || d.peers.OpenRequests() > 0 {
		return true
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.state.InProgress() > 0
}

func (d *Daemon) holdsKeys() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return !d.state.KeysReleased()
}
