package daemon

import (
	"context"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

const (
	// listenPeriod is how long a draining daemon accepts new connections. Callers are directed here until two
	// readiness checks in a row, a second apart, have failed.
	listenPeriod = 2300 * time.Millisecond
	// acceptAllPeriod is how long a draining daemon accepts idempotent requests whatever their deadline. Callers may still
	// come here because the other daemons of the failure domain are draining, too.
	acceptAllPeriod = 2800 * time.Millisecond
	// serverOpenPeriod is how long the backend server of a draining daemon accepts attempts of other daemons. It ends
	// before listenPeriod, so that they know of it when the sockets close.
	serverOpenPeriod = 1900 * time.Millisecond
	// drainMargin is the time between the end of the drain and the time at which the process is killed.
	drainMargin = 400 * time.Millisecond
	// drainPollInterval is the time between two checks of whether the drain can go on.
	drainPollInterval = 25 * time.Millisecond
	// errorPause is the pause after a socket error or a panic, before the next try.
	errorPause = 20 * time.Millisecond
	// finalAnswerMargin is how long before the end of the drain the daemon itself answers the requests that are still in
	// progress. A connection that closes without a response tells the caller less.
	finalAnswerMargin = 200 * time.Millisecond
	// storeCallWait is the time that a call to the store gets to end if it is in progress when the sockets close.
	storeCallWait = 100 * time.Millisecond
	// keyHandoverWait is how long a daemon without requests waits until its keys are handed over, which needs the store.
	// After that, requests with its keys are refused until its grants end, as after a crash.
	keyHandoverWait = 3 * time.Second

	// resumeCheckInterval is the time between two checks of whether the machine was suspended.
	resumeCheckInterval = 500 * time.Millisecond
)

// waitAndDrain waits until ctx ends, and then drains the daemon.
func (d *Daemon) waitAndDrain(ctx context.Context) error {
	<-ctx.Done()

	startedAt := time.Now()
	deadline := startedAt.Add(d.settings.Load().Grace - drainMargin)

	d.log.Notable(eventlog.Stopping).Int("requests", d.callers.OpenRequests()).Int("calls", d.peers.OpenRequests()).Send()
	d.drain.Store(&drain{startedAt: startedAt, deadline: deadline})
	d.callers.Drain()

	time.Sleep(time.Until(times.Earlier(startedAt.Add(serverOpenPeriod), deadline)))
	d.apply(core.DrainStarted{})
	time.Sleep(time.Until(times.Earlier(startedAt.Add(listenPeriod), deadline)))
	d.finishDrain(deadline)

	return nil
}

// finishDrain closes the sockets, and waits until the requests read so far are answered and the keys are handed over.
func (d *Daemon) finishDrain(deadline time.Time) {
	d.callers.Stop()
	d.peers.Stop()
	d.apply(membership.Left{})

	time.Sleep(min(storeCallWait, time.Until(deadline)))
	waitWhile(d.busy, deadline.Add(-finalAnswerMargin))

	if d.busy() {
		d.apply(core.Closing{})
		waitWhile(d.busy, deadline)
	}

	waitWhile(d.holdsKeys, times.Earlier(time.Now().Add(keyHandoverWait), deadline))
}

// waitWhile waits while a condition holds, but no longer than until the given time.
func waitWhile(condition func() bool, until time.Time) {
	for condition() && time.Now().Before(until) {
		time.Sleep(drainPollInterval)
	}
}

// drain is a shutdown in progress.
type drain struct {
	startedAt time.Time
	// deadline is the time at which requests in progress are aborted.
	deadline time.Time
}

// accepts reports whether the daemon still accepts a request with that much time left until its deadline. A request that
// may not end before the process does is accepted only in the first part of the drain, and only if its caller may send it
// again after it was cut off.
func (s *drain) accepts(r request.Request, timeLeft time.Duration) bool {
	now := time.Now()
	endsInTime := now.Add(timeLeft).Before(s.deadline.Add(-finalAnswerMargin))

	return endsInTime || r.Idempotent() && now.Sub(s.startedAt) < acceptAllPeriod
}

// busy reports whether requests or attempts are in progress.
func (d *Daemon) busy() bool {
	if d.callers.OpenRequests() > 0 || d.peers.OpenRequests() > 0 {
		return true
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.state.InProgress() > 0
}

// holdsKeys reports whether keys are not yet handed over to another daemon.
func (d *Daemon) holdsKeys() bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return !d.state.KeysReleased()
}
