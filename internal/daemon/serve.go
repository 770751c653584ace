package daemon

import (
	"context"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// localAttempt is an attempt at the backend server beside this daemon.
type localAttempt struct {
	// decisions receives the decisions of admission. Its buffer has room for all of them, so that sending never blocks.
	decisions chan decision
	cancel    context.CancelFunc
}

// decision is a decision of admission: that an attempt waits in the queue, starts, or is refused.
type decision struct {
	queued, start bool
	// refusal is valid if neither queued nor start is set.
	refusal admission.Refuse
}

// sendDecision passes a decision of admission to the attempt. The caller holds the mutex.
func (d *Daemon) sendDecision(id admission.Attempt, outcome decision) {
	if local, ok := d.localAttempts[id]; ok {
		local.decisions <- outcome
	}
}

// serveAttempt runs a call at the backend server beside this daemon, or refuses it.
func (d *Daemon) serveAttempt(ctx context.Context, call attempt.Call, in attempt.IncomingCall) attempt.Answer {
	if call.To != d.options.Self.ID || call.Request.Service != d.options.Self.Service {
		return d.refuseAttempt(call, verdict.NotRun, misdirected)
	}

	if draining := d.drain.Load(); draining != nil && !draining.accepts(call.Request, call.Timeout) {
		return d.refuseAttempt(call, verdict.NotRun, string(admission.Draining))
	}

	id := admission.Attempt{Entry: string(call.From), ID: call.Request.ID, Number: call.Number}
	call.Request.Deadline = d.now().Add(call.Timeout)

	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer func() {
		// The end of ctx would close the connection from which the rest of a large response body is still to be read.
		if ctx.Err() != nil {
			cancel()
		}
	}()

	local := &localAttempt{decisions: make(chan decision, 2), cancel: cancel}
	if !d.addLocalAttempt(id, local, core.AttemptArrived{
		Attempt: id, Request: call.Request, Wait: call.MaxWait, Slowest: call.MaxSlowness, Notice: call.Notice,
	}) {
		return d.refuseAttempt(call, verdict.MayHaveRun, duplicateAttempt)
	}

	ended := false

	defer func() {
		if !ended {
			// After a panic, the slot must become free.
			d.apply(admission.Cancelled{Attempt: id})
			d.apply(core.AttemptServed{Attempt: id, Ran: true, Failed: true})
		}

		d.removeLocalAttempt(id)
	}()

	answer := d.awaitAndExecute(ctx, cancel, call, id, local, in)
	ended = true

	return answer
}

// awaitAndExecute waits for a slot and then runs an attempt.
func (d *Daemon) awaitAndExecute(
	ctx context.Context, cancel context.CancelFunc, call attempt.Call, id admission.Attempt, local *localAttempt,
	in attempt.IncomingCall,
) attempt.Answer {
	arrived := time.Now()

	if reason, started := d.awaitSlot(ctx, id, local, in); !started {
		return d.refuseAttempt(call, verdict.NotRun, reason)
	}

	d.metrics.queueTime.RecordDuration(time.Since(arrived))

	return d.execute(ctx, cancel, call, id, in)
}

// awaitSlot waits until an attempt has a slot and reports whether it got one. If not, it returns the reason.
func (d *Daemon) awaitSlot(
	ctx context.Context, id admission.Attempt, local *localAttempt, in attempt.IncomingCall,
) (string, bool) {
	for {
		select {
		case outcome := <-local.decisions:
			switch {
			case outcome.start:
				return "", true
			case outcome.queued:
				// The error can be ignored: if the entry daemon is gone, ctx ends.
				_ = in.SendQueued()
			default:
				return string(outcome.refusal.Reason), false
			}
		case <-ctx.Done():
			return withdrawn, d.cancelUnlessStarted(id, local)
		}
	}
}

// cancelUnlessStarted cancels an attempt that waits for a slot. It returns true if the attempt already has one.
func (d *Daemon) cancelUnlessStarted(id admission.Attempt, local *localAttempt) bool {
	d.apply(admission.Cancelled{Attempt: id})

	for {
		select {
		case outcome := <-local.decisions:
			if outcome.start {
				return true
			}
		default:
			// If the decision was lost by a panic, the attempt has a slot of which nobody knows.
			d.apply(core.AttemptServed{Attempt: id})

			return false
		}
	}
}

// addLocalAttempt adds an attempt and passes it to the reducer. It returns false if the same attempt is in progress.
func (d *Daemon) addLocalAttempt(id admission.Attempt, local *localAttempt, arrival core.AttemptArrived) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if _, ok := d.localAttempts[id]; ok {
		return false
	}

	d.localAttempts[id] = local
	d.applyLocked(arrival)

	return true
}

func (d *Daemon) removeLocalAttempt(id admission.Attempt) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	delete(d.localAttempts, id)
}
