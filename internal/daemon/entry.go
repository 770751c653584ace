package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// maxStored is the size up to which a response is kept for resends of its key, in bytes.
const maxStored = 64 << 10

// entry is a request in progress at this daemon, as entry or as owner of its key.
type entry struct {
	submission caller.Submission
	// result receives the final result. It has room for it, so that sending never blocks.
	result chan caller.Result
	// finished is set once the result is known or nobody waits for it any more.
	finished bool
	// cancel stops the forwarded request, if any.
	cancel   context.CancelFunc
	outgoing map[int]*outgoing
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

// Submit implements caller.Submitter.
func (d *Daemon) Submit(ctx context.Context, submission caller.Submission) caller.Result {
	result := d.submit(ctx, submission, core.RequestArrived{Request: submission.Request})
	if result.Response != nil {
		result.Response = d.resumable(ctx, submission, result.Response)
	}

	return result
}

func (d *Daemon) submit(ctx context.Context, submission caller.Submission, arrival core.Event) caller.Result {
	e := &entry{
		submission: submission,
		result:     make(chan caller.Result, 1),
		outgoing:   make(map[int]*outgoing),
	}
	id := submission.Request.ID

	d.mutex.Lock()
	d.entries[id] = e
	d.applyLocked(arrival)
	d.mutex.Unlock()

	select {
	case result := <-e.result:
		return result
	case <-ctx.Done():
		d.apply(core.RequestCancelled{ID: id})

		// The request may have been finished or may still run for a resend of its key. A response that
		// came too late is closed.
		select {
		case result := <-e.result:
			return result
		default:
			return caller.Result{Refusal: caller.Refusal{
				Verdict: verdict.MayHaveRun, Delivery: verdict.MayHaveRun, Reason: caller.Reason(routing.CallerCancelled),
			}}
		}
	}
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

// release forgets an entry once it is finished and none of its attempts is live.
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
	d.applyLocked(core.RequestEnded{ID: id})
}

// abandon ends an entry whose caller has gone away.
func (d *Daemon) abandon(id request.ID) {
	e, ok := d.entries[id]
	if !ok || e.finished {
		return
	}

	e.finished = true

	if e.cancel != nil {
		e.cancel()
	}

	d.release(id, e)
}

func (d *Daemon) refuse(e core.Refuse) {
	d.finish(e.ID, caller.Result{Refusal: caller.Refusal{
		Verdict: e.Verdict, Delivery: e.Delivery, Reason: caller.Reason(e.Reason), RetryAfter: e.RetryAfter,
	}})
}

// deliver passes the response of an attempt to the caller and, for a request with a key, to the key
// table.
func (d *Daemon) deliver(e routing.Deliver) {
	current, ok := d.entries[e.ID]
	if !ok {
		return
	}

	out := current.outgoing[e.Number]
	if out == nil || out.response == nil {
		return
	}

	response := out.response
	out.response = nil

	d.applyLocked(core.Answered{ID: e.ID, Response: stored(response)})
	d.finish(e.ID, caller.Result{Response: response})
}

// stored returns the response in the form that is kept for resends, or nil if it is too large.
func stored(response *attempt.Response) *keys.Response {
	whole, ok := response.Body.(*wholeBody)
	if !ok || len(whole.data) > maxStored {
		return nil
	}

	kept := &keys.Response{Status: response.Reply.Status, Body: whole.data}

	for name, values := range response.Header {
		for _, value := range values {
			kept.Header = append(kept.Header, keys.Field{Name: name, Value: value})
		}
	}

	// Header maps have no order, and equal responses have to be equal in recordings.
	slices.SortStableFunc(kept.Header, func(a, b keys.Field) int { return bytes.Compare([]byte(a.Name), []byte(b.Name)) })

	return kept
}

// replay answers a resend with the stored response of its key.
func (d *Daemon) replay(e keys.Replay) {
	if e.Response == nil {
		return
	}

	header := http.Header{}
	for _, field := range e.Response.Header {
		header.Add(field.Name, field.Value)
	}

	d.finish(e.ID, caller.Result{Response: &attempt.Response{
		Reply: attempt.Reply{
			ID: e.ID, Verdict: verdict.Answered, Status: e.Response.Status, Size: int64(len(e.Response.Body)),
		},
		Header: header,
		Body:   newWholeBody(e.Response.Body),
	}})
}

// wholeBody is a response body that was read and verified to its end.
type wholeBody struct {
	*bytes.Reader
	data []byte
}

func newWholeBody(data []byte) *wholeBody {
	return &wholeBody{Reader: bytes.NewReader(data), data: data}
}

// Close implements io.Closer.
func (b *wholeBody) Close() error { return nil }

// joinedBody is a body of which a part was read before.
type joinedBody struct {
	io.Reader
	io.Closer
}
