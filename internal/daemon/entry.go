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

// entry is a request in progress at this daemon as entry.
type entry struct {
	submission caller.Submission
	// result receives the final result. It has room for it, so that sending never blocks.
	result chan caller.Result
	// cancel stops the request that was forwarded to the owner of its key, if any.
	cancel context.CancelFunc
	// finished is set once the result is known or nobody waits for it any more.
	finished bool
	outgoing []*outgoing
}

// outgoing is an attempt of an entry.
type outgoing struct {
	cancel context.CancelFunc
	// aborted is set after CancelAttempt.
	aborted bool
	ended   bool
	// response is kept until it is delivered or the entry ends.
	response *attempt.Response
}

// overdueAfter is the time after its deadline at which a request without a result is given up, whatever the reducer
// still waits for.
const overdueAfter = 500 * time.Millisecond

// restartTime is when a caller may come back to a daemon that is about to end.
const restartTime = 700 * time.Millisecond

// Submit implements caller.Submitter.
func (d *Daemon) Submit(ctx context.Context, submission caller.Submission) caller.Result {
	if leaving := d.drain.Load(); leaving != nil && !leaving.takes(submission.Request.Deadline.Sub(d.now())) {
		return caller.Result{Refusal: caller.Refusal{
			Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: caller.ShuttingDown, RetryAfter: restartTime,
		}}
	}

	result := d.submit(ctx, submission, false)
	if result.Response != nil {
		d.makeResumable(ctx, submission, result.Response)
	}

	return result
}

// submit routes a request. It is owned if another daemon forwarded it because this one owns its key.
func (d *Daemon) submit(ctx context.Context, submission caller.Submission, owned bool) caller.Result {
	e := &entry{submission: submission, result: make(chan caller.Result, 1)}
	id := d.register(e, owned)

	reason := caller.Reason(routing.CallerLeft)
	overdue := time.NewTimer(submission.Request.Deadline.Sub(d.now()) + overdueAfter)

	defer overdue.Stop()

	select {
	case result := <-e.result:
		return result
	case <-ctx.Done():
	case <-overdue.C:
		reason = caller.Deadline

		d.log.Warn(eventlog.Overdue).Str("request", string(id)).Send()
	}

	d.mutex.Lock()
	d.applyLocked(core.RequestCancelled{ID: id})
	e.finished = true

	if e.cancel != nil {
		e.cancel()
	}

	d.release(id, e)
	d.mutex.Unlock()

	select {
	case result := <-e.result:
		return result
	default:
		return caller.Result{Refusal: caller.Refusal{
			Verdict: verdict.MayHaveRun, Delivery: verdict.MayHaveRun, Reason: reason,
		}}
	}
}

// register begins a request. An identifier that is in use is replaced: two requests must not be confused
// because their callers chose the same one.
func (d *Daemon) register(e *entry, owned bool) request.ID {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if _, taken := d.entries[e.submission.Request.ID]; taken {
		e.submission.Request.ID = request.NewID()
	}

	id := e.submission.Request.ID
	d.entries[id] = e

	if owned {
		d.applyLocked(core.OwnedArrived{Request: e.submission.Request})
	} else {
		d.applyLocked(core.RequestArrived{
			Request: e.submission.Request, Parts: e.submission.Parts, Local: e.submission.FromInstance, Stated: e.submission.StatedDeadline,
		})
	}

	return id
}

// finish hands the result over. The mutex is held.
func (d *Daemon) finish(id request.ID, result caller.Result) {
	e, ok := d.entries[id]
	if !ok || e.finished {
		if result.Response != nil {
			_ = result.Response.Body.Close()
		}

		return
	}

	e.finished = true
	e.result <- result
	d.release(id, e)
}

// release forgets an entry once it is finished and none of its attempts is live. The mutex is held.
func (d *Daemon) release(id request.ID, e *entry) {
	if !e.finished {
		return
	}

	for _, out := range e.outgoing {
		if !out.ended {
			return
		}
	}

	for _, out := range e.outgoing {
		if out.response != nil {
			_ = out.response.Body.Close()
		}
	}

	delete(d.entries, id)
}

func (d *Daemon) refuse(e core.Refuse) {
	d.finish(e.ID, caller.Result{Refusal: caller.Refusal{
		Verdict: e.Verdict, Delivery: e.Delivery, Reason: caller.Reason(e.Reason), RetryAfter: e.RetryAfter,
	}})
}

// deliver passes the response of an attempt to the caller.
func (d *Daemon) deliver(e routing.Deliver) {
	current, ok := d.entries[e.ID]
	if !ok || e.Number >= len(current.outgoing) {
		return
	}

	out := current.outgoing[e.Number]
	if out.response == nil {
		return
	}

	response := out.response
	out.response = nil

	d.applyLocked(core.Answered{ID: e.ID, Response: stored(response)})
	d.finish(e.ID, caller.Result{Response: &caller.Response{
		Status: response.Reply.Status, Header: response.Header, Body: response.Body, Length: response.Length,
	}})
}

// maxWhole is the size up to which a response is read whole before its first byte goes to the caller, in
// bytes. Until then, another server may still take its place.
const maxWhole = 448 << 10

// readWhole replaces a body by one in memory if it is small enough. An error means that it broke off.
func readWhole(body io.ReadCloser, length int64) (io.ReadCloser, int64, error) {
	var (
		data []byte
		err  error
	)

	if length >= 0 && length <= maxWhole {
		data = make([]byte, length)
		if _, err = io.ReadFull(body, data); err == nil {
			// The end of the body has to be read for its connection to be reused.
			_, err = io.CopyN(io.Discard, body, 1)
			if err == io.EOF { //nolint:errorlint // io.CopyN returns it unwrapped
				err = nil
			}
		}
	} else {
		data, err = io.ReadAll(io.LimitReader(body, maxWhole+1))
	}

	switch {
	case err != nil:
		_ = body.Close()

		return nil, 0, err
	case len(data) <= maxWhole:
		_ = body.Close()

		return newWholeBody(data), int64(len(data)), nil
	default:
		return joinedBody{Reader: io.MultiReader(bytes.NewReader(data), body), Closer: body}, length, nil
	}
}

// joinedBody is a body of which a part was read before.
type joinedBody struct {
	io.Reader
	io.Closer
}
