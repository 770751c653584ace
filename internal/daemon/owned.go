package daemon

import (
	"fmt"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

// serveOwned treats a request that another daemon forwards because this one owns its key.
func (d *Daemon) serveOwned(in *attempt.Incoming) {
	if err := in.ReadBody(); err != nil {
		d.respondRefused(in, bodyBroke, d.hint())

		return
	}

	r := in.Call.Request
	r.Deadline = d.now().Add(in.Call.Timeout)
	// The entry may send the same request twice; each delivery is an entry of its own here.
	r.ID = ownedID(in.Call)

	result := d.submit(in.Context(), caller.Submission{
		Request: r,
		Method:  in.Call.Method,
		Target:  in.Call.Target,
		Host:    in.Call.Host,
		Header:  in.Call.Header,
		Body:    in.Call.Body,
	}, core.OwnedArrived{Request: r})

	if result.Response == nil {
		in.Respond(attempt.Reply{
			Verdict: result.Refusal.Verdict, Delivery: result.Refusal.Delivery, Reason: string(result.Refusal.Reason),
			RetryAfter: result.Refusal.RetryAfter, Hint: d.hint(), Server: d.settings.ID,
		}, nil, nil)

		return
	}

	defer func() { _ = result.Response.Body.Close() }()

	reply := result.Response.Reply
	reply.Hint = d.hint()
	in.Respond(reply, result.Response.Header, result.Response.Body)
}

// ownedID tells the deliveries of one request to its owner apart.
func ownedID(call attempt.Call) request.ID {
	return request.ID(fmt.Sprintf("%s.%d", call.Request.ID, call.Number))
}

// toResult turns an owner's answer into the result for the caller. The response is nil for a refusal.
func toResult(response *attempt.Response, reply attempt.Reply) caller.Result {
	if response != nil {
		return caller.Result{Response: response}
	}

	return caller.Result{Refusal: caller.Refusal{
		Verdict: reply.Verdict, Delivery: reply.Delivery, Reason: caller.Reason(reply.Reason), RetryAfter: reply.RetryAfter,
	}}
}
