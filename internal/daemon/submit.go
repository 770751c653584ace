package daemon

import (
	"bytes"
	"context"
	"io"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// activeRequest is a request in progress that this daemon routes: one of its own callers, or one that another daemon
// forwarded because this one owns its key.
type activeRequest struct {
	submission caller.Submission
	// result receives the result. It has a buffer of one, so that sending never blocks.
	result chan caller.Result
	// cancel cancels the forwarding to the owner of the key. It is nil if the request is not forwarded.
	cancel context.CancelFunc
	// finished is set once the result is known or nobody waits for it any more.
	finished bool
	attempts []*outgoingAttempt
}

// outgoingAttempt is an attempt of an activeRequest.
type outgoingAttempt struct {
	cancel context.CancelFunc
	// aborted is set after CancelAttempt.
	aborted bool
	ended   bool
	// response is kept until it is delivered or the request ends.
	response *attempt.Response
}

// Parent implements caller.ParentFinder.
func (d *Daemon) Parent(call string) (request.Request, bool) {
	if call == "" {
		return request.Request{}, false
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.state.ParentRequest(call)
}

// overdueAfter is how long after its deadline a request without a result is abandoned, even if the reducer still waits
// for something.
const overdueAfter = 500 * time.Millisecond

// restartRetryAfter is the Retry-After time of a refusal by a daemon that is shutting down.
const restartRetryAfter = 700 * time.Millisecond

// Submit implements caller.Submitter.
func (d *Daemon) Submit(ctx context.Context, submission caller.Submission) caller.Result {
	r := submission.Request
	if draining := d.drain.Load(); draining != nil && !draining.accepts(r, r.Deadline.Sub(d.now())) {
		return caller.Result{Refusal: caller.Refusal{
			Verdict: d.verdictOfEarlier(r), Delivery: verdict.NotRun, Reason: caller.ShuttingDown,
			RetryAfter: restartRetryAfter,
		}}
	}

	result := d.submit(ctx, submission, false)
	if result.Response != nil {
		d.makeResumable(ctx, submission, result.Response)
	}

	return result
}

// verdictOfEarlier returns the verdict on all deliveries of a request that was not passed to the reducer. With an
// idempotency key, an earlier one may have run.
func (d *Daemon) verdictOfEarlier(r request.Request) verdict.Verdict {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if d.state.UsesKeyTable(r) {
		return verdict.MayHaveRun
	}

	return verdict.NotRun
}

// submit routes a request and waits for its result. owned is set if another daemon forwarded the request because this
// one owns its key.
func (d *Daemon) submit(ctx context.Context, submission caller.Submission, owned bool) caller.Result {
	r := &activeRequest{submission: submission, result: make(chan caller.Result, 1)}
	id := d.register(r, owned)

	reason := caller.Reason(routing.CallerLeft)
	overdue := time.NewTimer(submission.Request.Deadline.Sub(d.now()) + overdueAfter)

	defer overdue.Stop()

	select {
	case result := <-r.result:
		return result
	case <-ctx.Done():
	case <-overdue.C:
		reason = caller.Deadline

		d.log.Warn(eventlog.Overdue).Str("request", string(id)).Send()
	}

	d.mutex.Lock()
	d.applyLocked(core.RequestCancelled{ID: id})
	r.finished = true

	if r.cancel != nil {
		r.cancel()
	}

	d.release(id, r)
	d.mutex.Unlock()

	select {
	case result := <-r.result:
		return result
	default:
		return caller.Result{Refusal: caller.Refusal{
			Verdict: verdict.MayHaveRun, Delivery: verdict.MayHaveRun, Reason: reason,
		}}
	}
}

// register adds a request, passes it to the reducer and returns its identifier. It replaces an identifier that is in
// use, because two callers may choose the same one.
func (d *Daemon) register(r *activeRequest, owned bool) request.ID {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if _, taken := d.requests[r.submission.Request.ID]; taken {
		r.submission.Request.ID = request.NewID()
	}

	id := r.submission.Request.ID
	d.requests[id] = r

	if owned {
		d.applyLocked(core.OwnedArrived{Request: r.submission.Request})
	} else {
		d.applyLocked(core.RequestArrived{
			Request: r.submission.Request, Parts: r.submission.Parts, Local: r.submission.FromInstance,
			CallOnly: r.submission.CallOnly, Stated: r.submission.StatedDeadline,
		})
	}

	return id
}

// finish passes the result of a request to submit. The caller holds the mutex.
func (d *Daemon) finish(id request.ID, result caller.Result) {
	r, ok := d.requests[id]
	if !ok || r.finished {
		if result.Response != nil {
			_ = result.Response.Body.Close()
		}

		return
	}

	r.finished = true
	r.result <- result
	d.release(id, r)
}

// release removes a request if it is finished and all of its attempts have ended. The caller holds the mutex.
func (d *Daemon) release(id request.ID, r *activeRequest) {
	if !r.finished {
		return
	}

	for _, out := range r.attempts {
		if !out.ended {
			return
		}
	}

	for _, out := range r.attempts {
		if out.response != nil {
			_ = out.response.Body.Close()
		}
	}

	delete(d.requests, id)
}

// refuse ends a request with a refusal. The caller holds the mutex.
func (d *Daemon) refuse(e core.Refuse) {
	d.finish(e.ID, caller.Result{Refusal: caller.Refusal{
		Verdict: e.Verdict, Delivery: e.Delivery, Reason: caller.Reason(e.Reason), RetryAfter: e.RetryAfter,
	}})
}

// deliver ends a request with the response of an attempt. The caller holds the mutex.
func (d *Daemon) deliver(e routing.Deliver) {
	current, ok := d.requests[e.ID]
	if !ok || e.Number >= len(current.attempts) {
		return
	}

	out := current.attempts[e.Number]
	if out.response == nil {
		return
	}

	response := out.response
	out.response = nil

	d.applyLocked(core.Answered{ID: e.ID, Response: toStored(response)})
	d.finish(e.ID, caller.Result{Response: &caller.Response{
		Status: response.Reply.Status, Header: response.Header, Body: response.Body, Length: response.Length,
	}})
}

// maxBufferedBody is the size in bytes up to which a response body is read to its end before its first byte goes to the
// caller. Until then, the response of another server can still replace it.
const maxBufferedBody = 448 << 10

// bufferBody reads a body into memory if it has at most maxBufferedBody bytes. It returns a body with the same content
// and its length. An error means that the body broke off.
func bufferBody(body io.ReadCloser, length int64) (io.ReadCloser, int64, error) {
	if isBuffered(body) {
		return body, length, nil
	}

	var (
		data []byte
		err  error
	)

	if length >= 0 && length <= maxBufferedBody {
		data = make([]byte, length)
		if _, err = io.ReadFull(body, data); err == nil {
			// The connection can only be reused if the end of the body is read, too.
			_, err = io.CopyN(io.Discard, body, 1)
			if err == io.EOF { //nolint:errorlint // io.CopyN returns it unwrapped
				err = nil
			}
		}
	} else {
		data, err = io.ReadAll(io.LimitReader(body, maxBufferedBody+1))
	}

	switch {
	case err != nil:
		_ = body.Close()

		return nil, 0, err
	case len(data) <= maxBufferedBody:
		_ = body.Close()

		return newBufferedBody(data), int64(len(data)), nil
	default:
		return joinedBody{Reader: io.MultiReader(bytes.NewReader(data), body), Closer: body}, length, nil
	}
}

// joinedBody joins the part of a body that is in memory with the unread rest.
type joinedBody struct {
	io.Reader
	io.Closer
}
