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
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

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

	if call.Request.Tenant != "" {
		dialect.SetField(header, names.Tenant, call.Request.Tenant)
	}

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

	otherServer := response.Status == http.StatusMisdirectedRequest
	if otherServer {
		d.apply(health.Misdirected{ID: response.Instance})
	}

	d.apply(core.AttemptServed{Attempt: id, Ran: true, Failed: true, Unserved: true, Misdirected: otherServer})

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
		crash, crashed := d.checkCrash(ctx, id)
		reply.Crash = crash

		if !crashed && errors.Is(err, backend.ErrDropped) {
			reply.Reason, reply.Dropped = serverDropped, true
		}
	}

	d.logServeFailed(call, reply, sc, err)
	// A cancelled attempt and a dropped connection say nothing about the server's health, but the deadline does.
	timeout := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	ran := timeout || !ended && !reply.Dropped && v != verdict.NotRun
	d.apply(core.AttemptServed{Attempt: id, Ran: ran, Failed: true, Unserved: ran})
	cancel()

	return attempt.Answer{Reply: d.fillReply(call, reply)}
}

// isMalformed reports whether the server sent data that is not a response to the request. In that case it
// has not crashed.
func isMalformed(err error) bool {
	return errors.IsAny(err, http1.ErrHeadTooLarge, http1.ErrInvalidResponse, backend.ErrForeignResponse, backend.ErrUnsealed)
}

// checkCrash checks whether the server accepts connections. If not, it reports a crash to the reducer, which makes the
// requests in progress suspect, and returns the identifier of the crash and true.
func (d *Daemon) checkCrash(ctx context.Context, id admission.Attempt) (string, bool) {
	// The check ignores the deadline of ctx: if it passed during the check, that would look like a crash.
	if d.backend.Reachable(context.WithoutCancel(ctx)) {
		// The server only closed this connection.
		return "", false
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.applyLocked(core.ServerCrashed{})
	d.applyLocked(health.Refused{})

	return d.state.CrashID(id), true
}
