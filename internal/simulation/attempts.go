package simulation

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// entry is a request at the daemon to which its caller sent it.
type entryRequest struct {
	request  request.Request
	kind     *Kind
	attempts []*outgoingAttempt
	// respond tells the caller; nil once it was told or has left.
	respond func(response)
}

// response is what a caller gets.
type response struct {
	outcome outcome
	// of is the request that the response belongs to.
	requestID request.ID
	// refused is set for a refusal of the daemon, with its verdict and when the caller may come back.
	refused    bool
	verdict    verdict.Verdict
	retryAfter time.Duration
}

// outgoing is an attempt as its entry knows it.
type outgoingAttempt struct {
	entry  *entryRequest
	number int
	to     *daemon
	// job is the attempt at the other daemon, once it has arrived there.
	incoming *incomingAttempt
	// committed is set once the body was sent, after which it may run.
	bodySent bool
	aborted  bool
	ended    bool
	response response
}

// job is an attempt at the daemon beside the server.
type incomingAttempt struct {
	id      admission.Attempt
	process *process
	// from is the process of the entry.
	entryProcess *process
	outgoing     *outgoingAttempt
	deadline     time.Time
	// started holds a slot, work is at the server.
	hasSlot       bool
	work          *work
	deadlineTimer *event
	done          bool
}

func (r *process) performRouting(effect routing.Effect) {
	switch e := effect.(type) {
	case routing.Attempt:
		r.startAttempt(e)
	case routing.CancelAttempt:
		r.cancelAttempt(e)
	case routing.Deliver:
		if en := r.requests[e.ID]; en != nil {
			r.respond(en, en.attempts[e.Number].response)
		}
	}
}

func (r *process) refuse(e core.Refuse) {
	if en := r.requests[e.ID]; en != nil {
		r.respond(en, response{refused: true, verdict: e.Verdict, retryAfter: e.RetryAfter})
	}
}

func (r *process) respond(en *entryRequest, answer response) {
	respond := en.respond
	en.respond = nil
	r.deleteIfFinished(en)

	if respond != nil {
		respond(answer)
	}
}

// release forgets a request whose caller was told and whose attempts have ended.
func (r *process) deleteIfFinished(en *entryRequest) {
	if en.respond != nil {
		return
	}

	for _, out := range en.attempts {
		if !out.ended {
			return
		}
	}

	delete(r.requests, en.request.ID)
}

func (r *process) startAttempt(e routing.Attempt) {
	en := r.requests[e.Request.ID]
	out := &outgoingAttempt{entry: en, number: e.Number, to: r.daemon.fleet.byID[e.Target.ID], bodySent: e.Request.Idempotent()}
	en.attempts = append(en.attempts, out)

	fleet := r.daemon.fleet
	fleet.result.attempts++
	sent := fleet.clock.now

	fleet.network.sendStream(r.daemon, out.to, func() {
		if peer := out.to.process; peer != nil {
			peer.dispatch(func() { peer.receiveAttempt(r, out, e, e.Request.Deadline.Sub(sent)) })

			return
		}

		fleet.clock.scheduleAfter(delay(out.to, r.daemon)+connectionRefusedTime, func() {
			r.dispatch(func() { r.attemptEnded(out, core.AttemptEnded{Ended: unreachable}) })
		})
	})
}

// unreachable is the end of an attempt whose connection was refused.
var unreachable = routing.Ended{Outcome: routing.Unreachable, Verdict: verdict.NotRun}

// attemptEnded passes the end of an attempt to the reducer, once.
func (r *process) attemptEnded(out *outgoingAttempt, ended core.AttemptEnded) {
	if out.ended {
		return
	}

	out.ended = true
	ended.Ended.ID, ended.Ended.Number = out.entry.request.ID, out.number
	r.apply(ended)
	r.deleteIfFinished(out.entry)
}

func (r *process) cancelAttempt(e routing.CancelAttempt) {
	en := r.requests[e.ID]
	if en == nil || en.attempts[e.Number].ended {
		return
	}

	out := en.attempts[e.Number]
	out.aborted = true
	r.sendCancellation(out)

	judged := verdict.NotRun
	if out.bodySent {
		judged = verdict.MayHaveRun
	}

	r.attemptEnded(out, core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Aborted, Verdict: judged}})
}

// withdraw tells the daemon beside the server that an attempt is no longer wanted.
func (r *process) sendCancellation(out *outgoingAttempt) {
	r.daemon.fleet.network.sendStream(r.daemon, out.to, func() {
		if j := out.incoming; j != nil {
			j.process.dispatch(func() { j.handleCancellation() })
		}
	})
}

// arrive takes an attempt at the daemon beside its server.
func (r *process) receiveAttempt(from *process, out *outgoingAttempt, e routing.Attempt, left time.Duration) {
	j := &incomingAttempt{
		id:      admission.Attempt{Entry: string(from.daemon.id), ID: e.Request.ID, Number: out.number},
		process: r, entryProcess: from, outgoing: out, deadline: r.daemon.fleet.clock.now.Add(left),
	}
	out.incoming = j

	if r.daemon.draining {
		j.reply(core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Refused, Verdict: verdict.NotRun, Unusable: true}})

		return
	}

	described := e.Request
	described.Deadline = j.deadline
	r.incoming[j.id] = j
	r.apply(core.AttemptArrived{Attempt: j.id, Request: described, Wait: e.Wait, Slowest: e.Slowest})
}

func (r *process) performAdmission(effect admission.Effect) {
	switch e := effect.(type) {
	case admission.Queued:
		r.incoming[e.Attempt].sendProgress(false)
	case admission.Start:
		r.incoming[e.Attempt].start()
	case admission.Refuse:
		if j := r.incoming[e.Attempt]; j != nil {
			j.reply(core.AttemptEnded{Ended: routing.Ended{
				Outcome: routing.Refused, Verdict: verdict.NotRun, Unusable: makesUnusable(e.Reason),
			}})
		}
	case admission.Abort:
		if j := r.incoming[e.Attempt]; j != nil {
			j.abort()
		}
	}
}

func makesUnusable(reason admission.Reason) bool {
	switch reason {
	case admission.Draining, admission.ServerDown, admission.ServerFailing, admission.ServerUnknown:
		return true
	default:
		return false
	}
}

// toEntry carries a message to the entry.
func (j *incomingAttempt) sendToEntry(do func()) {
	j.process.daemon.fleet.network.sendStream(j.process.daemon, j.entryProcess.daemon, func() { j.entryProcess.dispatch(do) })
}

// progress tells the entry that the attempt waits or has a slot.
func (j *incomingAttempt) sendProgress(running bool) {
	j.sendToEntry(func() { j.handleProgress(running) })
}

func (j *incomingAttempt) handleProgress(running bool) {
	out := j.outgoing
	if out.aborted || out.ended {
		return
	}

	j.entryProcess.apply(routing.Accepted{ID: out.entry.request.ID, Number: out.number, Running: running})

	if running && !out.bodySent && !out.aborted {
		out.bodySent = true
		j.entryProcess.daemon.fleet.network.sendStream(j.entryProcess.daemon, j.process.daemon, func() { j.process.dispatch(j.submitToServer) })
	}
}

// start begins an attempt that has got a slot. One that must not run twice first asks the entry whether it is still
// wanted.
func (j *incomingAttempt) start() {
	j.hasSlot = true
	j.sendProgress(true)

	if j.outgoing.entry.request.Idempotent() {
		j.submitToServer()
	}
}

// execute sends the request to the server.
func (j *incomingAttempt) submitToServer() {
	if j.done || j.work != nil {
		return
	}

	server, clock := j.process.daemon.server, &j.process.daemon.fleet.clock
	if !server.up {
		j.handleConnectionEnd(true)

		return
	}

	j.work = &work{
		id: j.id.ID, kind: j.outgoing.entry.kind, deadline: j.deadline,
		onEnd: func(how outcome) { j.process.dispatch(func() { j.handleServerOutcome(how) }) },
	}
	j.deadlineTimer = clock.schedule(j.deadline.Add(sameInstanceDelay), func() { j.process.dispatch(j.handleDeadline) })
	j.process.daemon.fleet.guarantees.recordArrival(server, j.work)
	server.submit(j.work)
}

// served takes the end of the request at the server.
func (j *incomingAttempt) handleServerOutcome(how outcome) {
	if j.done {
		return
	}

	r := j.process

	if how == responseLost || how == crashed {
		j.handleConnectionEnd(how == crashed)

		return
	}

	r.apply(health.Observed{Load: r.daemon.server.load()})

	if how == shed {
		r.apply(core.AttemptServed{Attempt: j.id, Ran: true, Failed: true, Unserved: true})
		j.reply(core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Refused, Verdict: verdict.NotRun}})

		return
	}

	bad := how != answered
	r.apply(core.AttemptServed{Attempt: j.id, Ran: true, Failed: bad})

	j.outgoing.response = response{outcome: how, requestID: j.work.id}
	j.reply(core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Answered, Verdict: verdict.Answered, Failure: bad}})
}

// failed ends an attempt whose connection to the server has ended without a response.
func (j *incomingAttempt) handleConnectionEnd(crash bool) {
	r := j.process
	ended := core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Broken, Verdict: verdict.MayHaveRun}}

	if crash {
		r.apply(core.ServerCrashed{})
		r.apply(health.Refused{})

		ended.Crash = r.state.Crash(j.id)
	}

	if j.work == nil {
		// The connection was refused.
		ended.Ended.Outcome, ended.Ended.Verdict, ended.Ended.Unusable = routing.Refused, verdict.NotRun, true
	}

	r.apply(core.AttemptServed{Attempt: j.id, Ran: j.work != nil, Failed: true, Unserved: j.work != nil})
	j.reply(ended)
}

// expired gives a request up that the server has not answered by its deadline.
func (j *incomingAttempt) handleDeadline() {
	if j.done {
		return
	}

	j.process.daemon.server.remove(j.work)
	j.process.apply(core.AttemptServed{Attempt: j.id, Ran: true, Failed: true, Unserved: true})
	j.reply(core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Broken, Verdict: verdict.MayHaveRun}})
}

// withdrawn ends an attempt that its entry no longer wants.
func (j *incomingAttempt) handleCancellation() {
	if j.done {
		return
	}

	j.process.apply(admission.Cancelled{Attempt: j.id})

	if !j.hasSlot {
		j.remove()
	} else if j.work == nil {
		j.process.apply(core.AttemptServed{Attempt: j.id})
		j.remove()
	}
}

// abort takes a request from the server.
func (j *incomingAttempt) abort() {
	if j.done || j.work == nil {
		return
	}

	j.process.daemon.server.remove(j.work)
	j.remove()
	j.process.apply(core.AttemptServed{Attempt: j.id, Failed: true})
}

func (j *incomingAttempt) remove() {
	j.done = true
	j.process.daemon.fleet.clock.cancel(j.deadlineTimer)
	delete(j.process.incoming, j.id)
}

// reply tells the entry how the attempt has ended.
func (j *incomingAttempt) reply(ended core.AttemptEnded) {
	j.remove()

	ended.Report = j.report()
	j.sendToEntry(func() { j.entryProcess.attemptEnded(j.outgoing, ended) })
}

func (j *incomingAttempt) report() load.Report {
	return j.process.state.ReplyReport(j.process.daemon.fleet.clock.now, j.entryProcess.daemon.id)
}

// breakEntries ends the requests of a process that has ended: callers see broken connections, daemons withdrawals.
func (r *process) failRequests() {
	for _, id := range slices.Sorted(maps.Keys(r.requests)) {
		en := r.requests[id]

		for _, out := range en.attempts {
			if !out.ended {
				out.aborted = true
				r.sendCancellation(out)
			}
		}

		if respond := en.respond; respond != nil {
			en.respond = nil

			respond(response{outcome: responseLost})
		}
	}
}

// breakJobs ends the attempts at a process that has ended.
func (r *process) failIncoming() {
	all := slices.SortedFunc(maps.Values(r.incoming), func(a, b *incomingAttempt) int {
		return cmp.Or(cmp.Compare(a.id.ID, b.id.ID), cmp.Compare(a.id.Entry, b.id.Entry), cmp.Compare(a.id.Number, b.id.Number))
	})

	for _, j := range all {
		j.done = true
		r.daemon.fleet.clock.cancel(j.deadlineTimer)

		if j.work != nil {
			r.daemon.server.remove(j.work)
		}

		ended := core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Broken, Verdict: verdict.MayHaveRun}}
		if !j.outgoing.bodySent {
			ended.Ended = unreachable
		}

		j.sendToEntry(func() { j.entryProcess.attemptEnded(j.outgoing, ended) })
	}
}
