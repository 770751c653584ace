package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// maxStored is the size up to which a response is kept for resends of its key, in bytes.
	maxStored = 64 << 10
	// ownerSends is how often a request is passed to the owner of its key: the owner answers a key that it knows
	// without running it again.
	ownerSends = 2
	// ownerRetry is when a caller may come back while the owner cannot be reached.
	ownerRetry = time.Second
	// ownerUnreachable is the reason for refusing a request whose key's owner cannot be reached.
	ownerUnreachable = "owner-unreachable"
)

// forward sends a request to the owner of its key and passes the result on. The mutex is held.
func (d *Daemon) forward(e core.Forward) {
	current, ok := d.entries[e.ID]
	if !ok {
		return
	}

	var ctx context.Context

	ctx, current.cancel = context.WithCancel(context.Background())
	submission, cancel := current.submission, current.cancel

	d.start("forward", func(group context.Context) {
		stop := context.AfterFunc(group, cancel)
		defer stop()
		defer cancel()

		result := d.askOwner(ctx, e, submission)

		d.mutex.Lock()
		defer d.mutex.Unlock()

		d.applyLocked(core.RequestCancelled{ID: e.ID})
		d.finish(e.ID, result)
	}, func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()

		d.finish(e.ID, caller.Result{Refusal: caller.Refusal{
			Verdict: verdict.MayHaveRun, Delivery: verdict.MayHaveRun, Reason: caller.InternalError,
		}})
	})
}

func (d *Daemon) askOwner(ctx context.Context, e core.Forward, submission caller.Submission) caller.Result {
	// The key may have run in an earlier delivery, which only the owner knows.
	refusal := caller.Refusal{
		Verdict: verdict.MayHaveRun, Delivery: verdict.NotRun, Reason: ownerUnreachable, RetryAfter: ownerRetry,
	}

	for number := range ownerSends {
		call := d.newCall(submission, routing.Attempt{Request: submission.Request, Number: number, Target: e.Owner})

		response, err := d.attempts.SendToOwner(ctx, e.Owner.Peer, call)
		if err == nil {
			return toResult(response)
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

// toResult turns an owner's answer into the result for the caller.
func toResult(response *attempt.Response) caller.Result {
	reply := response.Reply
	if reply.Status != 0 {
		return caller.Result{Response: &caller.Response{
			Status: reply.Status, Header: response.Header, Body: response.Body, Length: response.Length,
		}}
	}

	_ = response.Body.Close()

	return caller.Result{Refusal: caller.Refusal{
		Verdict: reply.Verdict, Delivery: reply.Delivery, Reason: caller.Reason(reply.Reason), RetryAfter: reply.RetryAfter,
	}}
}

// serveOwned treats a request that another daemon forwards because this one owns its key.
func (d *Daemon) serveOwned(ctx context.Context, call attempt.Call, in attempt.IncomingCall) attempt.Answer {
	body, err := in.ReadBody()
	if err != nil {
		return d.refusal(call, verdict.NotRun, notCommitted)
	}

	r := call.Request
	r.Deadline = d.now().Add(call.Timeout)

	result := d.submit(ctx, caller.Submission{
		Request: r, Method: call.Method, Target: call.Target, Host: call.Host, Header: call.Header, Body: body,
	}, true)

	if result.Response == nil {
		refusal := result.Refusal

		return attempt.Answer{Reply: d.reply(call, attempt.Reply{
			Verdict: refusal.Verdict, Delivery: refusal.Delivery, Reason: string(refusal.Reason), RetryAfter: refusal.RetryAfter,
		})}
	}

	return attempt.Answer{
		Reply:  d.reply(call, attempt.Reply{Verdict: verdict.Answered, Status: result.Response.Status}),
		Header: result.Response.Header, Body: result.Response.Body, Length: result.Response.Length,
	}
}

// stored returns a response in the form that is kept for resends, or nil if it is too large, and the response with
// its body still to be read.
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

// replay answers a resend with the stored response of its key. The mutex is held.
func (d *Daemon) replay(e keys.Replay) {
	if e.Response == nil {
		return
	}

	header := http.Header{}
	for _, field := range e.Response.Header {
		header.Add(field.Name, field.Value)
	}

	d.finish(e.ID, caller.Result{Response: &caller.Response{
		Status: e.Response.Status, Header: header, Body: newWholeBody(e.Response.Body), Length: int64(len(e.Response.Body)),
	}})
}

// wholeBody is a response body that was read to its end.
type wholeBody struct {
	*bytes.Reader
	data []byte
}

func newWholeBody(data []byte) *wholeBody {
	return &wholeBody{Reader: bytes.NewReader(data), data: data}
}

// Close implements io.Closer.
func (b *wholeBody) Close() error { return nil }

var _ io.ReadCloser = (*wholeBody)(nil)
