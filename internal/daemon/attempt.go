package daemon

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// startAttempt sends a request to the daemon beside a server. The mutex is held.
func (d *Daemon) startAttempt(e routing.Attempt) {
	current, ok := d.entries[e.Request.ID]
	if !ok {
		// The entry is kept until its last attempt has ended, so routing has no reason to ask.
		d.pending = append(d.pending, core.AttemptEnded{Ended: routing.Ended{
			ID: e.Request.ID, Number: e.Number, Verdict: verdict.NotRun, Outcome: routing.Aborted,
		}})

		return
	}

	out := &outgoing{}
	current.outgoing = append(current.outgoing, out)

	d.logSent(e)

	ctx, cancel := context.WithCancel(context.Background())
	out.cancel = cancel
	call := d.newCall(current.submission, e)

	if !d.start("attempt", func(group context.Context) {
		stop := context.AfterFunc(group, cancel)
		defer stop()

		d.runAttempt(ctx, e, call, out)
	}, func() { d.attemptFailed(e, out) }) {
		cancel()
	}
}

// attemptFailed ends an attempt of which nobody knows how far it went.
func (d *Daemon) attemptFailed(e routing.Attempt, out *outgoing) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if out.ended {
		return
	}

	out.ended = true
	out.cancel()
	d.applyLocked(core.AttemptEnded{Ended: routing.Ended{
		ID: e.Request.ID, Number: e.Number, Verdict: verdict.MayHaveRun, Outcome: routing.Broken,
	}, Alone: e.Request.Alone})

	if current, ok := d.entries[e.Request.ID]; ok {
		d.release(e.Request.ID, current)
	}
}

// newCall describes an attempt to another daemon.
func (d *Daemon) newCall(s caller.Submission, e routing.Attempt) attempt.Call {
	return attempt.Call{
		Request: e.Request, Number: e.Number, MaxWait: e.Wait, MaxSlowness: e.Slowest,
		Timeout: e.Request.Deadline.Sub(d.now()), From: d.options.Self.ID, To: e.Target.ID,
		Method: s.Method, Target: s.Target, Host: s.Host, Header: s.Header, Body: s.Body,
	}
}

// runAttempt makes the call and reports its end. A response is kept for Deliver.
func (d *Daemon) runAttempt(ctx context.Context, e routing.Attempt, call attempt.Call, out *outgoing) {
	response, err := d.call(ctx, e, call, out)

	ended := core.AttemptEnded{
		Ended: routing.Ended{ID: e.Request.ID, Number: e.Number}, Alone: e.Request.Alone,
	}

	reason := ""

	if err == nil {
		reason = response.Reply.Reason
		response, err = examine(response, &ended)
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	if err != nil {
		ended.Ended.Verdict = verdict.Of(err)
		ended.Ended.Outcome = outcomeOf(ended.Ended.Verdict, out.aborted || ctx.Err() != nil)
	}

	if ended.Ended.Outcome != routing.Answered {
		d.logAttemptEnded(e, ended, reason, err)
	}

	out.ended = true
	out.response = response

	// The body of a larger response is still read from the connection.
	if response == nil || isWhole(response.Body) {
		out.cancel()
	}

	d.applyLocked(ended)

	if current, ok := d.entries[e.Request.ID]; ok {
		d.release(e.Request.ID, current)
	} else if out.response != nil {
		_ = out.response.Body.Close()
	}
}

// call reaches the daemon beside the server, which may be this one.
func (d *Daemon) call(
	ctx context.Context, e routing.Attempt, call attempt.Call, out *outgoing,
) (*attempt.Response, error) {
	sent := time.Now()
	progress := func(running bool) bool {
		d.metrics.acceptTime.RecordDuration(time.Since(sent))
		d.mutex.Lock()
		defer d.mutex.Unlock()

		if !out.aborted {
			d.applyLocked(routing.Accepted{ID: e.Request.ID, Number: e.Number, Running: running})
		}

		return !out.aborted
	}

	if e.Target.ID == d.options.Self.ID {
		return d.serveLocal(ctx, call, progress), nil
	}

	return d.attempts.Do(ctx, e.Target.Peer, call, progress)
}

// examine reads a reply: a refusal gives no response, a small response is read to its end.
func examine(response *attempt.Response, ended *core.AttemptEnded) (*attempt.Response, error) {
	reply := response.Reply
	ended.Ended.Verdict = reply.Verdict
	ended.Ended.Unusable = reply.Unusable
	ended.Report = reply.Report
	ended.Crash = reply.Crash

	if reply.Status == 0 {
		_, _, err := readWhole(response.Body, response.Length)

		ended.Ended.Outcome = routing.Broken
		if reply.Verdict == verdict.NotRun {
			ended.Ended.Outcome = routing.Refused
		}

		// The body of a refusal is empty; whether it was read to its end matters only to the connection.
		_ = err

		return nil, nil
	}

	ended.Ended.Outcome = routing.Answered
	ended.Ended.Failure = isFailure(reply.Status)

	body, length, err := readWhole(response.Body, response.Length)
	if err != nil {
		return nil, verdict.WithError(verdict.MayHaveRun, errors.Wrap(err, "response broke off"))
	}

	ended.Ended.Bytes = max(0, length)
	response.Body, response.Length = body, length

	return response, nil
}

func isWhole(body io.ReadCloser) bool {
	_, whole := body.(*wholeBody)

	return whole
}

// isFailure reports whether a status means that the server could not do its work.
func isFailure(status int) bool { return status >= http.StatusInternalServerError }

func outcomeOf(judged verdict.Verdict, aborted bool) routing.Outcome {
	switch {
	case aborted:
		return routing.Aborted
	case judged == verdict.NotRun:
		return routing.Unreachable
	default:
		return routing.Broken
	}
}

func (d *Daemon) cancelAttempt(e routing.CancelAttempt) {
	current, ok := d.entries[e.ID]
	if !ok || e.Number >= len(current.outgoing) {
		return
	}

	if out := current.outgoing[e.Number]; !out.ended {
		d.logWithdrawn(e)

		out.aborted = true
		out.cancel()
	}
}
