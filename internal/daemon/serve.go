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

// Reasons for refusing an attempt that arise here.
const (
	serverBroke  = "server-broke"
	malformed    = "server-malformed"
	serverShed   = "server-refused"
	notCommitted = "not-committed"
	duplicate    = "duplicate-attempt"
	withdrawn    = "withdrawn"
	timedOut     = "deadline"
	misdirected  = "misdirected"
)

// job is an attempt at the local backend server.
type job struct {
	// decisions receives admission's decisions. It has room for all, so that sending never blocks.
	decisions chan decision
	cancel    context.CancelFunc
}

type decision struct {
	queued, start bool
	refusal       admission.Refuse
}

// decide passes admission's decision to the attempt. The mutex is held.
func (d *Daemon) decide(id admission.Attempt, decided decision) {
	if j, ok := d.jobs[id]; ok {
		j.decisions <- decided
	}
}

// Parent implements caller.Parents.
func (d *Daemon) Parent(call string) (request.Request, bool) {
	if call == "" {
		return request.Request{}, false
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.state.ParentRequest(call)
}

// local is a call of this daemon's own callers.
type local struct {
	progress attempt.ProgressFunc
	body     []byte
}

func (l local) SendQueued() error {
	l.progress(false)

	return nil
}

func (l local) SendRunning() error {
	if !l.progress(true) {
		return attempt.ErrWithdrawn
	}

	return nil
}

func (l local) ReadBody() ([]byte, error) { return l.body, nil }

// serveLocal runs a call of this daemon's own callers.
func (d *Daemon) serveLocal(ctx context.Context, call attempt.Call, progress attempt.ProgressFunc) *attempt.Response {
	answer := d.serveRemote(ctx, call, local{progress: progress, body: call.Body})
	response := &attempt.Response{
		Reply: answer.Reply, Header: answer.Header, Body: answer.Body, Length: answer.Length,
	}

	if response.Body == nil {
		response.Body = http.NoBody
	}

	return response
}

// serveRemote runs a call at the local backend server, or refuses it.
func (d *Daemon) serveRemote(ctx context.Context, call attempt.Call, in attempt.IncomingCall) attempt.Answer {
	if call.To != d.options.Self.ID || call.Request.Service != d.options.Self.Service {
		return d.refusal(call, verdict.NotRun, misdirected)
	}

	if leaving := d.drain.Load(); leaving != nil && !leaving.takes(call.Timeout) {
		return d.refusal(call, verdict.NotRun, string(admission.Draining))
	}

	id := admission.Attempt{Entry: string(call.From), ID: call.Request.ID, Number: call.Number}
	call.Request.Deadline = d.now().Add(call.Timeout)

	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	defer func() {
		if ctx.Err() != nil {
			cancel()
		}
	}()

	j := &job{decisions: make(chan decision, 2), cancel: cancel}
	if !d.enter(id, j, core.AttemptArrived{Attempt: id, Request: call.Request, Wait: call.MaxWait, Slowest: call.MaxSlowness}) {
		return d.refusal(call, verdict.MayHaveRun, duplicate)
	}

	ended := false

	defer func() {
		if !ended {
			// A panic must not keep the slot.
			d.apply(admission.Cancelled{Attempt: id})
			d.apply(core.AttemptServed{Attempt: id, Ran: true, Failed: true})
		}

		d.leave(id)
	}()

	answer := d.awaitAndExecute(ctx, cancel, call, id, j, in)
	ended = true

	return answer
}

// awaitAndExecute runs an attempt once it has a slot.
func (d *Daemon) awaitAndExecute(
	ctx context.Context, cancel context.CancelFunc, call attempt.Call, id admission.Attempt, j *job, in attempt.IncomingCall,
) attempt.Answer {
	arrived := time.Now()

	if reason, started := d.await(ctx, id, j, in); !started {
		return d.refusal(call, verdict.NotRun, reason)
	}

	d.metrics.queueTime.RecordDuration(time.Since(arrived))

	return d.execute(ctx, cancel, call, id, in)
}

// await waits for a slot.
func (d *Daemon) await(ctx context.Context, id admission.Attempt, j *job, in attempt.IncomingCall) (string, bool) {
	for {
		select {
		case decided := <-j.decisions:
			switch {
			case decided.start:
				return "", true
			case decided.queued:
				// If the entry daemon is gone, its context ends.
				_ = in.SendQueued()
			default:
				return string(decided.refusal.Reason), false
			}
		case <-ctx.Done():
			return withdrawn, d.startedAnyway(id, j)
		}
	}
}

// startedAnyway cancels an attempt whose entry has gone away and reports whether it holds a slot.
func (d *Daemon) startedAnyway(id admission.Attempt, j *job) bool {
	d.apply(admission.Cancelled{Attempt: id})

	for {
		select {
		case decided := <-j.decisions:
			if decided.start {
				return true
			}
		default:
			return false
		}
	}
}

// enter registers an attempt. It is false if the same attempt is in progress.
func (d *Daemon) enter(id admission.Attempt, j *job, arrival core.AttemptArrived) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	if _, ok := d.jobs[id]; ok {
		return false
	}

	d.jobs[id] = j
	d.applyLocked(arrival)

	return true
}

func (d *Daemon) leave(id admission.Attempt) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	delete(d.jobs, id)
}

// reply fills in what each reply holds.
func (d *Daemon) reply(call attempt.Call, reply attempt.Reply) attempt.Reply {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	reply.ID, reply.Number = call.Request.ID, call.Number
	reply.Report = d.state.ReplyReport(d.now(), call.From)

	return reply
}

func (d *Daemon) refusal(call attempt.Call, judged verdict.Verdict, reason string) attempt.Answer {
	d.mutex.Lock()
	state := d.state.Admission()
	d.mutex.Unlock()

	d.logTurned(call, reason, state)

	return attempt.Answer{Reply: d.reply(call, attempt.Reply{
		Verdict: judged, Reason: reason, Unusable: isClosed(reason),
	})}
}

func isClosed(reason string) bool {
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

// execute holds a slot. The slot is free again when AttemptServed is applied, exactly once.
func (d *Daemon) execute(
	ctx context.Context, cancel context.CancelFunc, call attempt.Call, id admission.Attempt, in attempt.IncomingCall,
) attempt.Answer {
	// The body is complete before the server is contacted, so that a call that breaks off has not run.
	err := in.SendRunning()
	if err == nil {
		call.Body, err = in.ReadBody()
	}

	if err != nil || ctx.Err() != nil {
		d.apply(core.AttemptServed{Attempt: id})
		cancel()

		return d.refusal(call, verdict.NotRun, notCommitted)
	}

	begun := d.begin()

	response, err := d.backend.Do(ctx, d.backendCall(call, id))
	if err != nil {
		return d.failed(ctx, cancel, call, id, begun, err)
	}

	d.takeLoad(response)

	if response.NotRun {
		return d.shed(cancel, call, id, begun, response)
	}

	body, length, err := readWhole(response.Body, response.Length)
	if err != nil {
		broken := verdict.WithError(verdict.MayHaveRun, errors.Wrap(err, "response broke off"))

		return d.failed(ctx, cancel, call, id, begun, broken)
	}

	d.logServed(call, response, begun)

	// A response that is larger than what is read at once holds the slot only that long.
	d.apply(core.AttemptServed{Attempt: id, Ran: true, Failed: isFailure(response.Status)})

	return attempt.Answer{
		Reply:  d.reply(call, attempt.Reply{Verdict: verdict.Answered, Status: response.Status}),
		Header: response.Header, Body: body, Length: length,
	}
}

// visit is a request at the backend server, from when it was sent there.
type visit struct {
	begun time.Time
	// slowness of the server at that time.
	slowness float64
}

func (d *Daemon) begin() visit {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return visit{begun: time.Now(), slowness: d.state.Admission().Slowness}
}

// backendCall describes a call to the backend server.
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

// isBare reports whether a request without a body states no length.
func isBare(method string) bool {
	return method == http.MethodGet || method == http.MethodHead || method == http.MethodDelete ||
		method == http.MethodOptions
}

// takeLoad takes the load that a response carried.
func (d *Daemon) takeLoad(response *backend.Response) {
	if response.HasLoad {
		d.apply(health.Observed{Load: response.Load})
	}
}

// shed treats a response that says that the server did not run the request.
func (d *Daemon) shed(
	cancel context.CancelFunc, call attempt.Call, id admission.Attempt, begun visit, response *backend.Response,
) attempt.Answer {
	// Whether the body of a refusal is whole matters only to the connection.
	_, _, _ = readWhole(response.Body, response.Length)

	cancel()

	d.logServerRefused(call, response, begun)

	if response.Status == http.StatusMisdirectedRequest {
		d.apply(health.Misdirected{ID: response.Instance})
	}

	d.apply(core.AttemptServed{Attempt: id, Ran: true, Failed: true, Unserved: true})

	return d.refusal(call, verdict.NotRun, serverShed)
}

// failed answers an attempt that got no response. If the server broke the connection, it may
// have crashed; what was in flight is then suspect.
func (d *Daemon) failed(
	ctx context.Context, cancel context.CancelFunc, call attempt.Call, id admission.Attempt, begun visit, err error,
) attempt.Answer {
	judged := verdict.Of(err)
	reply := attempt.Reply{Verdict: judged, Reason: serverBroke}
	gone := ctx.Err() != nil

	switch {
	case gone:
		reply.Reason = timedOut
	case errors.Is(err, backend.ErrUnreachable):
		reply.Unusable = true

		d.apply(health.Refused{})
	case isMalformed(err):
		reply.Reason = malformed
	default:
		reply.Crash = d.reportCrash(ctx, id)
	}

	d.logServeFailed(call, reply, begun, err)
	// An attempt that its entry withdrew says nothing of the server; one that met its deadline does.
	timeout := errors.Is(context.Cause(ctx), context.DeadlineExceeded)
	ran := timeout || !gone && judged != verdict.NotRun
	d.apply(core.AttemptServed{Attempt: id, Ran: ran, Failed: true, Unserved: ran})
	cancel()

	return attempt.Answer{Reply: d.reply(call, reply)}
}

// isMalformed reports whether the server sent bytes that are no response to the request. It has not crashed then.
func isMalformed(err error) bool {
	return errors.IsAny(err, http1.ErrHeadTooLarge, backend.ErrForeignResponse, backend.ErrUnsealed)
}

// reportCrash finds out whether the server is down. If it is, what was in flight becomes suspect, and the
// identifier of the crash is returned.
func (d *Daemon) reportCrash(ctx context.Context, id admission.Attempt) string {
	// A deadline that passes during the check would look like a crash.
	if d.backend.Reachable(context.WithoutCancel(ctx)) {
		// The server has only broken this connection.
		return ""
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.applyLocked(core.ServerCrashed{})
	d.applyLocked(health.Refused{})

	return d.state.CrashID(id)
}
