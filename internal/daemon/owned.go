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
	// maxStoredBody is the size in bytes up to which a response body is stored for resends with the same key.
	maxStoredBody = 64 << 10
	// maxOwnerAttempts is how often a request is sent to the owner of its key. Sending it twice is safe: the owner does
	// not run the request of a known key again.
	maxOwnerAttempts = 2
	// ownerRetryAfter is the Retry-After time of a refusal because the owner cannot be reached.
	ownerRetryAfter = time.Second
	// ownerUnreachable is the reason of that refusal.
	ownerUnreachable = "owner-unreachable"
)

// forward starts sending a request to the owner of its key. The owner's result becomes that of the request. The caller
// holds the mutex.
func (d *Daemon) forward(e core.Forward) {
	current, ok := d.requests[e.ID]
	if !ok {
		return
	}

	var ctx context.Context

	ctx, current.cancel = context.WithCancel(context.Background())
	submission, cancel := current.submission, current.cancel

	d.startTask("forward", func(group context.Context) {
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

// askOwner sends a request to the owner of its key and returns the result.
func (d *Daemon) askOwner(ctx context.Context, e core.Forward, submission caller.Submission) caller.Result {
	// An earlier request with the same key may have run. Only the owner knows.
	refusal := caller.Refusal{
		Verdict: verdict.MayHaveRun, Delivery: verdict.NotRun, Reason: ownerUnreachable, RetryAfter: ownerRetryAfter,
	}

	for number := range maxOwnerAttempts {
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

// toResult converts an owner's response into the result for the caller.
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

// serveOwned serves a request that another daemon forwards because this one owns its key.
func (d *Daemon) serveOwned(ctx context.Context, call attempt.Call, in attempt.IncomingCall) attempt.Answer {
	body, err := in.ReadBody()
	if err != nil {
		return d.refuseAttempt(call, verdict.NotRun, notCommitted)
	}

	r := call.Request
	r.Deadline = d.now().Add(call.Timeout)

	result := d.submit(ctx, caller.Submission{
		Request: r, Method: call.Method, Target: call.Target, Host: call.Host, Header: call.Header, Body: body,
	}, true)

	if result.Response == nil {
		refusal := result.Refusal

		return attempt.Answer{Reply: d.fillReply(call, attempt.Reply{
			Verdict: refusal.Verdict, Delivery: refusal.Delivery, Reason: string(refusal.Reason), RetryAfter: refusal.RetryAfter,
		})}
	}

	return attempt.Answer{
		Reply:  d.fillReply(call, attempt.Reply{Verdict: verdict.Answered, Status: result.Response.Status}),
		Header: result.Response.Header, Body: result.Response.Body, Length: result.Response.Length,
	}
}

// toStored returns a response in the form that is stored for resends of its request. It returns nil if the response is
// too large.
func toStored(response *attempt.Response) *keys.Response {
	buffered, ok := response.Body.(*bufferedBody)
	if !ok || len(buffered.data) > maxStoredBody {
		return nil
	}

	result := &keys.Response{Status: response.Reply.Status, Body: buffered.data}

	for name, values := range response.Header {
		for _, value := range values {
			result.Header = append(result.Header, keys.Field{Name: name, Value: value})
		}
	}

	// Maps have no order, but equal responses must be equal in recordings.
	slices.SortStableFunc(result.Header, func(a, b keys.Field) int {
		return bytes.Compare([]byte(a.Name), []byte(b.Name))
	})

	return result
}

// replay ends a resent request with the stored response of its key. The caller holds the mutex.
func (d *Daemon) replay(e keys.Replay) {
	if e.Response == nil {
		return
	}

	header := http.Header{}
	for _, field := range e.Response.Header {
		header.Add(field.Name, field.Value)
	}

	d.finish(e.ID, caller.Result{Response: &caller.Response{
		Status: e.Response.Status, Header: header, Body: newBufferedBody(e.Response.Body),
		Length: int64(len(e.Response.Body)),
	}})
}

// bufferedBody is a response body that is completely in memory.
type bufferedBody struct {
	*bytes.Reader
	data []byte
}

func newBufferedBody(data []byte) *bufferedBody {
	return &bufferedBody{Reader: bytes.NewReader(data), data: data}
}

// Close implements io.Closer.
func (b *bufferedBody) Close() error { return nil }

var _ io.ReadCloser = (*bufferedBody)(nil)
