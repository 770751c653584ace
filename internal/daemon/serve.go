package daemon

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/spool"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// spoolSize bounds what is read ahead of a slow caller while the slot is held, in bytes.
	spoolSize = 1 << 20

	serverBroke = "server-broke"
	bodyBroke   = "body-broke"
	timedOut    = "deadline"
)

// job is an attempt at the local backend server.
type job struct {
	// decided receives admission's decision. It has room for it, so that sending never blocks.
	decided chan decision
	cancel  context.CancelFunc
}

type decision struct {
	start   bool
	refusal admission.Refuse
}

// decide passes admission's decision to the attempt. The mutex is held.
func (d *Daemon) decide(attempt admission.Attempt, decided decision) {
	if j, ok := d.jobs[attempt]; ok {
		j.decided <- decided
	}
}

// hint returns the present load.
func (d *Daemon) hint() load.Hint {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.state.Hint(d.now())
}

// Parent implements caller.Parents.
func (d *Daemon) Parent(call string) (request.Request, bool) {
	if call == "" {
		return request.Request{}, false
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.state.Parent(call)
}

// serveAttempt runs a call of another daemon at the local backend server, or refuses it.
func (d *Daemon) serveAttempt(in *attempt.Incoming) {
	id := admission.Attempt{ID: in.Call.Request.ID, Number: in.Call.Number}
	r := in.Call.Request
	r.Deadline = d.now().Add(in.Call.Timeout)

	ctx, cancel := context.WithDeadline(context.Background(), time.Now().Add(in.Call.Timeout))
	defer cancel()

	j := &job{decided: make(chan decision, 1), cancel: cancel}
	if !d.enter(id, j, core.AttemptArrived{Request: r, Number: in.Call.Number, NoWait: in.Call.NoWait}) {
		in.Respond(attempt.Reply{Verdict: verdict.MayHaveRun, Reason: "duplicate attempt"}, nil, nil)

		return
	}

	defer d.leave(id)

	stop := context.AfterFunc(in.Context(), func() { d.apply(admission.Cancelled{Attempt: id}) })
	defer stop()

	select {
	case decided := <-j.decided:
		if !decided.start {
			d.respondRefused(in, string(decided.refusal.Reason), decided.refusal.Hint)

			return
		}
	case <-in.Context().Done():
		if !d.startedAnyway(id, j) {
			return
		}
	}

	d.execute(ctx, in, id)
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

// startedAnyway cancels an attempt whose entry has gone away and reports whether it holds a slot.
func (d *Daemon) startedAnyway(id admission.Attempt, j *job) bool {
	d.apply(admission.Cancelled{Attempt: id})

	select {
	case decided := <-j.decided:
		return decided.start
	default:
		return false
	}
}

func (d *Daemon) respondRefused(in *attempt.Incoming, reason string, hint load.Hint) {
	in.Respond(attempt.Reply{
		Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: reason, Hint: hint, Server: d.settings.ID,
	}, nil, nil)
}

// execute holds a slot. The slot is free again when Done is applied, exactly once.
func (d *Daemon) execute(ctx context.Context, in *attempt.Incoming, id admission.Attempt) {
	begun := time.Now()

	// The body is read whole before the server is contacted, so that a call that breaks off has not run.
	if err := in.ReadBody(); err != nil {
		d.done(id, begun, false)
		d.respondRefused(in, bodyBroke, d.hint())

		return
	}

	response, err := d.backend.Do(ctx, backend.Exchange{
		Call:   core.CallToken(id),
		Method: in.Call.Method,
		Target: in.Call.Target,
		Host:   in.Call.Host,
		Header: in.Call.Header,
		Body:   in.Call.Body,
	})
	if err != nil {
		d.respondFailed(ctx, in, id, begun, err)

		return
	}

	defer func() { _ = response.Body.Close() }()

	if backend.Refused(response) {
		d.done(id, begun, false)
		d.respondRefused(in, "server-refused", d.hint())

		return
	}

	d.passOn(ctx, in, id, begun, response)
}

func (d *Daemon) done(id admission.Attempt, begun time.Time, failed bool) {
	d.apply(admission.Done{Attempt: id, Elapsed: time.Since(begun), Failed: failed})
}

// respondFailed answers an attempt that got no response. If the server broke the connection, it may
// have crashed; what was in flight is then suspect.
func (d *Daemon) respondFailed(ctx context.Context, in *attempt.Incoming, id admission.Attempt, begun time.Time, err error) {
	judged := verdict.Of(err)

	reply := attempt.Reply{Verdict: judged, Delivery: judged, Reason: serverBroke, Server: d.settings.ID}

	switch {
	case ctx.Err() != nil:
		reply.Reason = timedOut
	case judged == verdict.NotRun:
		// Nothing listens at the server's address.
		d.mutex.Lock()
		d.serverChanged(false)
		d.mutex.Unlock()
	default:
		reply.Crash = d.reportCrash(ctx, id)
	}

	d.done(id, begun, true)
	reply.Hint = d.hint()
	in.Respond(reply, nil, nil)
}

// reportCrash finds out whether the server is down, makes what was in flight suspect and returns the
// identifier of the crash.
func (d *Daemon) reportCrash(ctx context.Context, id admission.Attempt) string {
	up := d.backend.Reachable(ctx)

	d.mutex.Lock()
	defer d.mutex.Unlock()

	if up {
		// The server only broke this connection.
		d.applyLocked(core.ServerCrashed{Only: id})
	} else {
		d.applyLocked(core.ServerCrashed{})
		d.serverChanged(false)
	}

	return d.state.Crash(id)
}

// passOn sends the server's response to the entry. A small response is read first; a large one passes
// through a bounded spool, so that a slow caller does not hold the slot for longer than needed.
func (d *Daemon) passOn(
	ctx context.Context, in *attempt.Incoming, id admission.Attempt, begun time.Time, response *http.Response,
) {
	data, err := io.ReadAll(io.LimitReader(response.Body, maxWhole+1))
	if err != nil {
		d.respondFailed(ctx, in, id, begun, err)

		return
	}

	failed := response.StatusCode >= http.StatusInternalServerError
	reply := attempt.Reply{
		Verdict: verdict.Answered, Status: response.StatusCode, Size: response.ContentLength, Server: d.settings.ID,
	}

	if len(data) <= maxWhole {
		d.done(id, begun, failed)
		reply.Hint = d.hint()
		in.Respond(reply, response.Header, bytes.NewReader(data))

		return
	}

	buffer := spool.New(spoolSize)
	filled := buffer.Fill(ctx, response.Body)
	finished := make(chan struct{})

	go func() {
		defer close(finished)

		broken := <-filled
		d.done(id, begun, failed || broken != nil)
	}()

	defer func() { <-finished }()
	defer func() { _ = response.Body.Close() }()
	defer func() { _ = buffer.Close() }()

	reply.Hint = d.hint()
	in.Respond(reply, response.Header, io.MultiReader(bytes.NewReader(data), buffer))
}
