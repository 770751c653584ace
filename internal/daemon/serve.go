package daemon

import (
	"context"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Reasons in replies to attempts. The package admission declares others.
const (
	// serverBroke: the server cannot be reached, or the connection to it broke off.
	serverBroke = "server-broke"
	// serverMalformed: the server sent data that is not a response to the request.
	serverMalformed = "server-malformed"
	// serverRefused: the server responded that it did not run the request.
	serverRefused = "server-refused"
	// notCommitted: the entry daemon withdrew the call, or its body did not arrive completely.
	notCommitted = "not-committed"
	// duplicateAttempt: the same attempt is already in progress.
	duplicateAttempt = "duplicate-attempt"
	// withdrawn: the call ended while it waited for a slot.
	withdrawn = "withdrawn"
	// timedOut: the call ended, usually at its deadline, while the server worked on it.
	timedOut = "deadline"
	// misdirected: the call is for another instance or service.
	misdirected = "misdirected"
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

// Parent implements caller.ParentFinder.
func (d *Daemon) Parent(call string) (request.Request, bool) {
	if call == "" {
		return request.Request{}, false
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.state.ParentRequest(call)
}

// localCall implements attempt.IncomingCall for a call that this daemon makes to itself.
type localCall struct {
	progress attempt.ProgressFunc
	body     []byte
}

// SendQueued implements attempt.IncomingCall.
func (c localCall) SendQueued() error {
	c.progress(false)

	return nil
}

// SendRunning implements attempt.IncomingCall.
func (c localCall) SendRunning() error {
	if !c.progress(true) {
		return attempt.ErrWithdrawn
	}

	return nil
}

// ReadBody implements attempt.IncomingCall.
func (c localCall) ReadBody() ([]byte, error) { return c.body, nil }

// serveLocal serves a call that this daemon makes to itself.
func (d *Daemon) serveLocal(ctx context.Context, call attempt.Call, progress attempt.ProgressFunc) *attempt.Response {
	answer := d.serveAttempt(ctx, call, localCall{progress: progress, body: call.Body})
	response := &attempt.Response{
		Reply: answer.Reply, Header: answer.Header, Body: answer.Body, Length: answer.Length,
	}

	if response.Body == nil {
		response.Body = http.NoBody
	}

	return response
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

// fillReply sets the fields that are the same in all replies to a call.
func (d *Daemon) fillReply(call attempt.Call, reply attempt.Reply) attempt.Reply {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	reply.ID, reply.Number = call.Request.ID, call.Number
	reply.Report = d.state.ReplyReport(d.now(), call.From)
	reply.Notice = d.state.ServerNotice()

	return reply
}

// refuseAttempt logs the refusal of a call and returns the answer.
func (d *Daemon) refuseAttempt(call attempt.Call, v verdict.Verdict, reason string) attempt.Answer {
	d.mutex.Lock()
	state := d.state.Admission()
	d.mutex.Unlock()

	d.logTurnedAway(call, reason, state)

	return attempt.Answer{Reply: d.fillReply(call, attempt.Reply{
		Verdict: v, Reason: reason, Unusable: isUnusable(reason),
	})}
}

// isUnusable reports whether a reason means that the server accepts no other attempts either.
func isUnusable(reason string) bool {
	if reason == misdirected {
		return true
	}

	switch admission.Reason(reason) {
	case admission.Draining, admission.ServerDown, admission.ServerFailing, admission.ServerUnknown:
		return true
	default:
		return false
	}
}

// execute runs an attempt that has a slot. It applies core.AttemptServed exactly once, which frees the slot.
func (d *Daemon) execute(
	ctx context.Context, cancel context.CancelFunc, call attempt.Call, id admission.Attempt, in attempt.IncomingCall,
) attempt.Answer {
	// The whole body is read before the call to the server, so that a call that breaks off has not run.
	err := in.SendRunning()
	if err == nil {
		call.Body, err = in.ReadBody()
	}

	if err != nil || ctx.Err() != nil {
		d.apply(core.AttemptServed{Attempt: id})
		cancel()

		return d.refuseAttempt(call, verdict.NotRun, notCommitted)
	}

	sc := d.startServerCall()

	response, err := d.backend.Do(ctx, d.backendCall(call, id))
	if err != nil {
		return d.handleFailure(ctx, cancel, call, id, sc, err)
	}

	d.observeResponse(response, sc)

	if response.NotRun {
		return d.handleServerRefusal(cancel, call, id, sc, response)
	}

	body, length, err := bufferBody(response.Body, response.Length)
	if err != nil {
		broken := verdict.WithError(verdict.MayHaveRun, errors.Wrap(err, "response broke off"))

		return d.handleFailure(ctx, cancel, call, id, sc, broken)
	}

	d.logServed(call, response, sc)

	// The slot becomes free here, even if the rest of a response larger than maxBufferedBody is still to be read.
	d.apply(core.AttemptServed{Attempt: id, Ran: true, Failed: isFailure(response.Status)})

	return attempt.Answer{
		Reply:  d.fillReply(call, attempt.Reply{Verdict: verdict.Answered, Status: response.Status}),
		Header: response.Header, Body: body, Length: length,
	}
}

// serverCall is a call to the backend server in progress.
type serverCall struct {
	sentAt time.Time
	// server and slowness are those of the server at sentAt.
	server   backend.ID
	slowness float64
}

// startServerCall returns a serverCall that starts now.
func (d *Daemon) startServerCall() serverCall {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return serverCall{sentAt: time.Now(), server: d.state.Server(), slowness: d.state.Admission().Slowness}
}

// backendCall returns the call to the backend server for an attempt.
func (d *Daemon) backendCall(call attempt.Call, id admission.Attempt) backend.Call {
	names := d.platform.Dialect
	header := call.Header.Clone()

	if header == nil {
		header = http.Header{}
	}

	d.mutex.Lock()
	server := d.state.Server()
	d.mutex.Unlock()

	names.SetTimeout(header, call.Request.Deadline.Sub(d.now()))
	dialect.SetField(header, names.Origin, call.Request.Origin)
	dialect.SetField(header, names.CallToken, core.CallToken(id))

	if server != "" {
		dialect.SetField(header, names.ExpectedInstance, string(server))
	}

	return backend.Call{
		Request: http1.Request{
			Method: call.Method, Target: call.Target, Host: call.Host, Header: header, Body: call.Body,
			OmitZeroLength: isBare(call.Method),
		},
		Attempt:  names.AttemptOf(header),
		SendOnce: !call.Request.Idempotent(),
	}
}

// isBare reports whether a request of a method omits Content-Length if it has no body.
func isBare(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodDelete ||
		method == http.MethodOptions
}

// handleServerRefusal handles a response that says that the server did not run the request.
func (d *Daemon) handleServerRefusal(
	cancel context.CancelFunc, call attempt.Call, id admission.Attempt, sc serverCall, response *backend.Response,
) attempt.Answer {
	// An error while reading the body only prevents the reuse of the connection.
	_, _, _ = bufferBody(response.Body, response.Length)

	cancel()

	d.logServerRefused(call, response, sc)

	if response.Status == http.StatusMisdirectedRequest {
		d.apply(health.Misdirected{ID: response.Instance})
	}

	d.apply(core.AttemptServed{Attempt: id, Ran: true, Failed: true, Unserved: true})

	return d.refuseAttempt(call, verdict.NotRun, serverRefused)
}

// handleFailure ends an attempt that got no valid response. If the server closed the connection, it may have crashed;
// the requests in progress are then suspect.
func (d *Daemon) handleFailure(
	ctx context.Context, cancel context.CancelFunc, call attempt.Call, id admission.Attempt, sc serverCall, err error,
) attempt.Answer {
	v := verdict.Of(err)
	reply := attempt.Reply{Verdict: v, Reason: serverBroke}
	ended := ctx.Err() != nil

	switch {
	case ended:
		reply.Reason = timedOut
	case errors.Is(err, backend.ErrUnreachable):
		reply.Unusable = true

		d.apply(health.Refused{})
	case isMalformed(err):
		reply.Reason = serverMalformed
	default:
		reply.Crash = d.checkCrash(ctx, id)
	}

	d.logServeFailed(call, reply, sc, err)
	// A cancelled attempt says nothing about the server's health, but one that reached its deadline does.
	timeout := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	ran := timeout || !ended && v != verdict.NotRun
	d.apply(core.AttemptServed{Attempt: id, Ran: ran, Failed: true, Unserved: ran})
	cancel()

	return attempt.Answer{Reply: d.fillReply(call, reply)}
}

// isMalformed reports whether the server sent data that is not a response to the request. In that case it
// has not crashed.
func isMalformed(err error) bool {
	return errors.IsAny(err, http1.ErrHeadTooLarge, backend.ErrForeignResponse, backend.ErrUnsealed)
}

// checkCrash checks whether the server accepts connections. If not, it reports a crash to the reducer, which makes the
// requests in progress suspect, and returns the identifier of the crash. Otherwise, it returns an empty identifier.
func (d *Daemon) checkCrash(ctx context.Context, id admission.Attempt) string {
	// The check ignores the deadline of ctx: if it passed during the check, that would look like a crash.
	if d.backend.Reachable(context.WithoutCancel(ctx)) {
		// The server only closed this connection.
		return ""
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.applyLocked(core.ServerCrashed{})
	d.applyLocked(health.Refused{})

	return d.state.CrashID(id)
}
