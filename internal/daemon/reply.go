package daemon

import (
	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Reasons in replies to attempts. The package admission declares others.
const (
	// serverBroke: the server cannot be reached, or the connection to it broke off.
	serverBroke = "server-broke"
	// serverDropped: the server probably dropped an unused connection before the request.
	serverDropped = "server-dropped"
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
	case admission.Draining, admission.Evacuated, admission.ServerDown, admission.ServerFailing, admission.ServerUnknown:
		return true
	default:
		return false
	}
}
