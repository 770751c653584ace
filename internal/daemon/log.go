package daemon

import (
	"time"

	"github.com/rs/zerolog"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
)

// milliseconds returns a duration in milliseconds, rounded to three decimals.
func milliseconds(d time.Duration) float64 {
	return float64(d.Round(time.Microsecond)) / float64(time.Millisecond)
}

// requestLine begins a log line about a request. routine selects the rate limit of routine lines over that of notable
// ones.
func (d *Daemon) requestLine(event eventlog.Event, routine bool, id request.ID) *zerolog.Event {
	if routine {
		return d.log.Routine(event).Str("request", string(id))
	}

	return d.log.Notable(event).Str("request", string(id))
}

// logSent logs and counts an attempt, with the inputs of the choice of its server.
func (d *Daemon) logSent(e routing.Attempt) {
	b := e.Basis

	d.metrics.countAttempt(e)
	d.requestLine(eventlog.Sent, e.Why == routing.First, e.Request.ID).
		Int("attempt", e.Number).Str("why", string(e.Why)).
		Str("service", e.Request.Service).Str("route", e.Request.Route).Str("to", string(e.Target.ID)).
		Float64("expected_ms", milliseconds(b.Expected)).Float64("next_ms", milliseconds(b.Next)).
		Int("ahead", b.Ahead).Int("slots", b.Slots).Float64("slowness", b.Slowness).Float64("failing", b.Failing).
		Float64("age_ms", milliseconds(b.Age)).Int("candidates", b.Candidates).
		Float64("left_ms", milliseconds(e.Request.Deadline.Sub(d.now()))).Float64("budget", b.Budget).Send()
}

// logAttemptEnded logs the end of an attempt without a usable response. reason is that of a refusal, or empty.
func (d *Daemon) logAttemptEnded(e routing.Attempt, ended core.AttemptEnded, reason string, err error) {
	line := d.log.Notable(eventlog.AttemptEnded).Str("request", string(e.Request.ID)).Int("attempt", e.Number).
		Str("to", string(e.Target.ID)).Stringer("outcome", ended.Ended.Outcome).
		Stringer("verdict", ended.Ended.Verdict)

	if reason != "" {
		line = line.Str("reason", reason).Int("running", ended.Report.Running).Int("waiting", ended.Report.Waiting.Total()).
			Int("slots", ended.Report.Slots).Float64("slowness", ended.Report.Slowness)
	}

	if err != nil {
		line = line.AnErr("error", err)
	}

	line.Send()
}

// logWithdrawn logs the cancellation of an attempt.
func (d *Daemon) logWithdrawn(e routing.CancelAttempt) {
	d.log.Notable(eventlog.Withdrawn).Str("request", string(e.ID)).Int("attempt", e.Number).
		Str("why", string(e.Why)).Send()
}

// observeResult logs and counts the result of a request that its caller got.
func (d *Daemon) observeResult(o caller.Outcome) {
	id, refusal, elapsed, status := o.ID, o.Refusal, o.Elapsed, o.Status
	d.countResult(o)

	switch refusal.Reason {
	case "":
		d.requestLine(eventlog.Answered, !isFailure(status), id).Int("status", status).
			Float64("elapsed_ms", milliseconds(elapsed)).Send()
	case caller.Reason(routing.CallerLeft):
		d.log.Notable(eventlog.CallerLeft).Str("request", string(id)).
			Float64("elapsed_ms", milliseconds(elapsed)).Send()
	default:
		d.log.Notable(eventlog.Refused).Str("request", string(id)).Int("status", status).Str("tenant", o.Tenant).
			Stringer("verdict", refusal.Verdict).Str("reason", string(refusal.Reason)).
			Float64("retry_ms", milliseconds(refusal.RetryAfter)).Float64("elapsed_ms", milliseconds(elapsed)).
			Uint64("version", d.version.Load()).Send()
	}
}

// countResult counts the result of a request in the metrics.
func (d *Daemon) countResult(o caller.Outcome) {
	outcome := "answered"

	switch {
	case o.Refusal.Reason != "":
		outcome = o.Refusal.Verdict.String()
		d.metrics.countReason("refusals_total", string(o.Refusal.Reason))
	case isFailure(o.Status):
		outcome = failedOutcome
	}

	d.metrics.countRequest(o.Service, o.Kind, outcome, o.Elapsed)
}

// logTurnedAway logs and counts an attempt that this daemon refused.
func (d *Daemon) logTurnedAway(call attempt.Call, reason string, state admission.Dump) {
	d.metrics.countReason("turned_away_total", reason)
	d.log.Notable(eventlog.TurnedAway).Str("request", string(call.Request.ID)).Int("attempt", call.Number).
		Str("from", string(call.From)).Str("reason", reason).Int("running", state.Running).
		Int("waiting", state.Waiting).Int("slots", state.Slots).Float64("slowness", state.Slowness).Send()
}

// logServed logs and counts an attempt that the backend server answered.
func (d *Daemon) logServed(call attempt.Call, response *backend.Response, sc serverCall) {
	elapsed := time.Since(sc.sentAt)
	d.metrics.serverTime.RecordDuration(elapsed)

	outcome := "answered"
	if isFailure(response.Status) {
		outcome = failedOutcome
	}

	d.metrics.addSlotTime(outcome, sc.slowness, elapsed)

	line := d.requestLine(eventlog.Served, !isFailure(response.Status), call.Request.ID).Int("attempt", call.Number).
		Str("from", string(call.From)).Int("status", response.Status).
		Float64("elapsed_ms", milliseconds(elapsed)).Float64("begun_slowness", sc.slowness)

	if response.HasLoad {
		line = line.Float64("slowness", response.Load.Slowness)
	}

	line.Send()
}

// logServeFailed logs and counts an attempt that got no valid response from the backend server.
func (d *Daemon) logServeFailed(call attempt.Call, reply attempt.Reply, sc serverCall, err error) {
	elapsed := time.Since(sc.sentAt)
	d.metrics.countReason("serve_failures_total", reply.Reason)
	d.metrics.addSlotTime(reply.Reason, sc.slowness, elapsed)
	d.log.Notable(eventlog.ServeFailed).Str("request", string(call.Request.ID)).Int("attempt", call.Number).
		Str("from", string(call.From)).Str("reason", reply.Reason).Stringer("verdict", reply.Verdict).
		Float64("elapsed_ms", milliseconds(elapsed)).Float64("begun_slowness", sc.slowness).AnErr("error", err).Send()
}

// logServerRefused logs and counts an attempt that the backend server says it did not run.
func (d *Daemon) logServerRefused(call attempt.Call, response *backend.Response, sc serverCall) {
	d.metrics.addSlotTime(serverRefused, sc.slowness, time.Since(sc.sentAt))
	d.log.Notable(eventlog.ServerRefused).Str("request", string(call.Request.ID)).Int("attempt", call.Number).
		Str("from", string(call.From)).Int("status", response.Status).Str("server", string(response.Instance)).
		Int("running", response.Load.Running).Int("waiting", response.Load.Waiting).Send()
}
