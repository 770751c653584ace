package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// maxWhole is the size up to which a response is read and verified before its first byte goes to
	// the caller.
	maxWhole = 256 << 10
	// callOverhead approximates the header bytes of a call and its reply, for the byte budgets.
	callOverhead = 900
)

// ownerUnreachable is the reason for refusing a request whose key's owner cannot be reached.
const ownerUnreachable = "owner-unreachable"

// startAttempt sends a request to the daemon beside a server. The mutex is held.
func (d *Daemon) startAttempt(e routing.Attempt) {
	current, ok := d.entries[e.Request.ID]
	if !ok {
		// The entry is kept until its last attempt has ended, so routing has no reason to ask.
		d.pending = append(d.pending, core.AttemptEnded{Ended: routing.AttemptEnded{
			ID: e.Request.ID, Number: e.Number, Target: e.Target.ID, Verdict: verdict.NotRun, Outcome: routing.Aborted,
		}})

		return
	}

	out := &outgoing{}
	current.outgoing[e.Number] = out
	call := d.newCall(current.submission, e.Request, e.Number)
	call.NoWait, call.Hint = e.NoWait, e.Hint

	ctx, cancel := context.WithCancel(context.Background())
	out.cancel = cancel

	if !d.tasks.Go("attempt", func(group context.Context) {
		stop := context.AfterFunc(group, cancel)

		defer stop()

		d.runAttempt(ctx, e, call, out)
	}) {
		cancel()
	}
}

// newCall describes an attempt to another daemon.
func (d *Daemon) newCall(submission caller.Submission, r request.Request, number int) attempt.Call {
	return attempt.Call{
		Request: r,
		Number:  number,
		Timeout: r.Deadline.Sub(d.now()),
		From:    d.settings.ID,
		Method:  submission.Method,
		Target:  submission.Target,
		Host:    submission.Host,
		Header:  submission.Header,
		Body:    submission.Body,
	}
}

// runAttempt makes the call and reports its end. A response is kept for Deliver.
func (d *Daemon) runAttempt(ctx context.Context, e routing.Attempt, call attempt.Call, out *outgoing) {
	begun := time.Now()
	response, err := d.attempts.Do(ctx, e.Target.Peer, attempt.Path, call)

	ended := core.AttemptEnded{
		Ended: routing.AttemptEnded{ID: e.Request.ID, Number: e.Number, Target: e.Target.ID},
		Alone: e.Request.Alone,
	}

	if err == nil {
		response, err = d.examine(response, &ended)
	}

	ended.Ended.Elapsed = time.Since(begun)
	ended.Ended.Bytes += callOverhead + int64(len(call.Body))

	d.mutex.Lock()
	defer d.mutex.Unlock()

	if err != nil {
		ended.Ended.Verdict, ended.Ended.Outcome = d.judge(ctx, err, out, call)
	}

	out.ended = true
	out.response = response
	d.applyLocked(ended)

	if current, ok := d.entries[e.Request.ID]; ok {
		d.release(e.Request.ID, current)
	} else if out.response != nil {
		_ = out.response.Body.Close()
	}
}

// examine reads a reply: a refusal gives no response, a small response is read and verified to its end.
func (d *Daemon) examine(response *attempt.Response, ended *core.AttemptEnded) (*attempt.Response, error) {
	reply := response.Reply
	ended.Ended.Verdict = reply.Verdict
	ended.Ended.Hint, ended.Ended.Hinted = reply.Hint, reply.Hinted
	ended.Ended.Draining = reply.Verdict == verdict.NotRun && reply.Reason == string(admission.IsDraining)
	ended.Crash = reply.Crash

	if reply.Status == 0 {
		_ = response.Body.Close()

		ended.Ended.Outcome = routing.Lost
		if reply.Verdict == verdict.NotRun {
			ended.Ended.Outcome = routing.Refused
		}

		return nil, nil
	}

	ended.Ended.Outcome = routing.Succeeded
	if reply.Status >= http.StatusInternalServerError {
		ended.Ended.Outcome = routing.Failed
	}

	data, err := io.ReadAll(io.LimitReader(response.Body, maxWhole+1))
	ended.Ended.Bytes += max(int64(len(data)), reply.Size)

	switch {
	case err != nil:
		_ = response.Body.Close()

		return nil, &brokenError{cause: err}
	case len(data) <= maxWhole:
		_ = response.Body.Close()
		response.Body = newWholeBody(data)
	default:
		response.Body = joinedBody{Reader: io.MultiReader(bytes.NewReader(data), response.Body), Closer: response.Body}
	}

	return response, nil
}

// brokenError reports a response that broke off after the request had run.
type brokenError struct{ cause error }

func (e *brokenError) Error() string { return "response broke off: " + e.cause.Error() }
func (e *brokenError) Unwrap() error { return e.cause }

// judge says what became of a failed attempt. The mutex is held.
func (d *Daemon) judge(ctx context.Context, err error, out *outgoing, call attempt.Call) (verdict.Verdict, routing.Outcome) {
	judged := verdict.Of(err)

	switch {
	case out.aborted || ctx.Err() != nil:
		return judged, routing.Aborted
	case errors.Is(err, context.DeadlineExceeded) || !d.now().Before(call.Request.Deadline):
		return judged, routing.TimedOut
	case judged == verdict.NotRun:
		return judged, routing.Unreachable
	default:
		return judged, routing.Lost
	}
}

func (d *Daemon) cancelAttempt(e routing.CancelAttempt) {
	current, ok := d.entries[e.ID]
	if !ok {
		return
	}

	if out := current.outgoing[e.Number]; out != nil && !out.ended {
		out.aborted = true
		out.cancel()
	}
}

// forward sends a request to the owner of its key and passes the result on. A call that got lost is
// sent once more: the owner answers a key that it knows without running it again.
func (d *Daemon) forward(e core.Forward) {
	current, ok := d.entries[e.ID]
	if !ok {
		return
	}

	var ctx context.Context

	ctx, current.cancel = context.WithCancel(context.Background())
	submission, cancel := current.submission, current.cancel

	d.tasks.Go("forward", func(group context.Context) {
		stop := context.AfterFunc(group, cancel)
		defer stop()

		result := d.askOwner(ctx, e, submission)

		d.mutex.Lock()
		defer d.mutex.Unlock()

		d.finish(e.ID, result)
	})
}

func (d *Daemon) askOwner(ctx context.Context, e core.Forward, submission caller.Submission) caller.Result {
	const sends = 2

	// The key may have run in an earlier delivery, which only the owner knows.
	refusal := caller.Refusal{
		Verdict: verdict.MayHaveRun, Delivery: verdict.NotRun, Reason: ownerUnreachable, RetryAfter: time.Second,
	}

	for number := range sends {
		response, err := d.attempts.Do(ctx, e.Owner.Peer, attempt.OwnedPath, d.newCall(submission, submission.Request, number))
		if err == nil {
			reply := response.Reply

			response, err = d.examine(response, &core.AttemptEnded{})
			if err == nil {
				return toResult(response, reply)
			}
		}

		if verdict.Of(err) != verdict.NotRun {
			refusal.Delivery = verdict.MayHaveRun
		}

		if ctx.Err() != nil || !d.now().Before(submission.Request.Deadline) {
			refusal.Reason = caller.Deadline

			break
		}
	}

	return caller.Result{Refusal: refusal}
}
