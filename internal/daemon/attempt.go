package daemon

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// startAttempt starts sending a request to the daemon beside a server. The caller holds the mutex.
func (d *Daemon) startAttempt(e routing.Attempt) {
	current, ok := d.requests[e.Request.ID]
	if !ok {
		// This should not happen: a request is kept until its last attempt has ended.
		d.pending = append(d.pending, core.AttemptEnded{Ended: routing.Ended{
			ID: e.Request.ID, Number: e.Number, Verdict: verdict.NotRun, Outcome: routing.Aborted,
		}})

		return
	}

	out := &outgoingAttempt{}
	current.attempts = append(current.attempts, out)

	d.logSent(e)

	ctx, cancel := context.WithCancel(context.Background())
	out.cancel = cancel
	call := d.newCall(current.submission, e)
	call.Notice = d.state.NoticeOf(e.Target.ID)

	if !d.startTask("attempt", func(group context.Context) {
		stop := context.AfterFunc(group, cancel)
		defer stop()

		d.runAttempt(ctx, e, call, out)
	}, func() { d.failAttempt(e, out) }) {
		cancel()
	}
}

// failAttempt ends an attempt whose goroutine panicked. The request may have run.
func (d *Daemon) failAttempt(e routing.Attempt, out *outgoingAttempt) {
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

	if current, ok := d.requests[e.Request.ID]; ok {
		d.release(e.Request.ID, current)
	}
}

// newCall returns the call that sends an attempt to the daemon beside the server.
func (d *Daemon) newCall(s caller.Submission, e routing.Attempt) attempt.Call {
	return attempt.Call{
		Request: e.Request, Number: e.Number, MaxWait: e.Wait, MaxSlowness: e.Slowest,
		Timeout: e.Request.Deadline.Sub(d.now()), From: d.options.Self.ID, To: e.Target.ID,
		Method: s.Method, Target: s.Target, Host: s.Host, Header: s.Header, Body: s.Body,
	}
}

// runAttempt makes the call and applies its end as an event. It keeps a response until the effect routing.Deliver.
func (d *Daemon) runAttempt(ctx context.Context, e routing.Attempt, call attempt.Call, out *outgoingAttempt) {
	response, err := d.call(ctx, e, call, out)

	ended := core.AttemptEnded{
		Ended: routing.Ended{ID: e.Request.ID, Number: e.Number}, Alone: e.Request.Alone, From: e.Target.ID,
	}

	reason := ""

	if err == nil {
		reason = response.Reply.Reason
		response, err = readReply(response, &ended)
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

	// The context must outlive an attempt whose response body is still being read from the connection.
	if response == nil || isBuffered(response.Body) {
		out.cancel()
	}

	d.applyLocked(ended)

	if current, ok := d.requests[e.Request.ID]; ok {
		d.release(e.Request.ID, current)
	} else if out.response != nil {
		_ = out.response.Body.Close()
	}
}

// call sends an attempt to the daemon beside the server, which may be this daemon.
func (d *Daemon) call(
	ctx context.Context, e routing.Attempt, call attempt.Call, out *outgoingAttempt,
) (*attempt.Response, error) {
	sentAt := time.Now()
	progress := func(running bool) bool {
		d.metrics.acceptTime.RecordDuration(time.Since(sentAt))
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

// readReply takes the fields of ended from a reply. It returns no response for a refusal, and reads a small response to
// its end.
func readReply(response *attempt.Response, ended *core.AttemptEnded) (*attempt.Response, error) {
	reply := response.Reply
	ended.Ended.Verdict = reply.Verdict
	ended.Ended.Unusable, ended.Ended.Dropped = reply.Unusable, reply.Dropped
	ended.Ended.Evacuated = reply.Reason == string(admission.Evacuated)
	ended.Report = reply.Report
	ended.Notice = reply.Notice
	ended.Crash = reply.Crash

	if reply.Status == 0 {
		_, _, err := bufferBody(response.Body, response.Length)

		ended.Ended.Outcome = routing.Broken
		if reply.Verdict == verdict.NotRun {
			ended.Ended.Outcome = routing.Refused
		}

		// The body of a refusal is empty. An error while reading it only prevents the reuse of the connection.
		_ = err

		return nil, nil
	}

	ended.Ended.Outcome = routing.Answered
	ended.Ended.Failure = isFailure(reply.Status)

	body, length, err := bufferBody(response.Body, response.Length)
	if err != nil {
		return nil, verdict.WithError(verdict.MayHaveRun, errors.Wrap(err, "response broke off"))
	}

	ended.Ended.Bytes = max(0, length)
	response.Body, response.Length = body, length

	return response, nil
}

// isBuffered reports whether a body is in memory.
func isBuffered(body io.ReadCloser) bool {
	_, buffered := body.(*bufferedBody)

	return buffered
}

// isFailure reports whether a status is an error of the server.
func isFailure(status int) bool { return status >= http.StatusInternalServerError }

// outcomeOf returns the outcome of an attempt that got no reply.
func outcomeOf(v verdict.Verdict, aborted bool) routing.Outcome {
	switch {
	case aborted:
		return routing.Aborted
	case v == verdict.NotRun:
		return routing.Unreachable
	default:
		return routing.Broken
	}
}

// cancelAttempt cancels an attempt in progress. The caller holds the mutex.
func (d *Daemon) cancelAttempt(e routing.CancelAttempt) {
	current, ok := d.requests[e.ID]
	if !ok || e.Number >= len(current.attempts) {
		return
	}

	if out := current.attempts[e.Number]; !out.ended {
		d.logWithdrawn(e)

		out.aborted = true
		out.cancel()
	}
}
