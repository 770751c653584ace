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

// entryRequest is a request at its entry daemon, the one that its caller sent it to.
type entryRequest struct {
	request request.Request
	kind    *Kind
	// attempts are indexed by their number.
	attempts []*outgoingAttempt
	// respond sends the response to the caller; nil once that is done or the caller has disconnected.
	respond func(response)
}

// response is the response that a caller gets.
type response struct {
	outcome outcome
	// requestID is the ID of the request that the server answered.
	requestID request.ID
	// refused is set if the daemon refused the request. Verdict and retryAfter are those of the refusal.
	refused    bool
	verdict    verdict.Verdict
	retryAfter time.Duration
}

// outgoingAttempt is an attempt at the entry daemon.
type outgoingAttempt struct {
	entry  *entryRequest
	number int
	to     *daemon
	// incoming is the attempt at the daemon beside the server, once it has arrived there.
	incoming *incomingAttempt
	// bodySent is set once the entry daemon has sent the body. From then on, the request may run.
	bodySent bool
	aborted  bool
	ended    bool
	hedged   bool
	response response
}

// incomingAttempt is an attempt at the daemon beside the server.
type incomingAttempt struct {
	id      admission.Attempt
	process *process
	// entryProcess is the entry daemon.
	entryProcess *process
	outgoing     *outgoingAttempt
	deadline     time.Time
	// hasSlot is set once the attempt holds a slot.
	hasSlot bool
	// work is the request at the server; nil until it is sent there.
	work          *work
	deadlineTimer *event
	done          bool
}

func (p *process) performRouting(effect routing.Effect) {
	switch e := effect.(type) {
	case routing.Attempt:
		p.startAttempt(e)
	case routing.CancelAttempt:
		p.cancelAttempt(e)
	case routing.Deliver:
		if req := p.requests[e.ID]; req != nil {
			p.respond(req, req.attempts[e.Number].response)
		}
	}
}

func (p *process) refuse(e core.Refuse) {
	if req := p.requests[e.ID]; req != nil {
		p.respond(req, response{refused: true, verdict: e.Verdict, retryAfter: e.RetryAfter})
	}
}

func (p *process) respond(req *entryRequest, answer response) {
	respond := req.respond
	req.respond = nil
	p.deleteIfFinished(req)

	if respond != nil {
		respond(answer)
	}
}

// deleteIfFinished deletes a request that has its response and whose attempts have ended.
func (p *process) deleteIfFinished(req *entryRequest) {
	if req.respond != nil {
		return
	}

	for _, out := range req.attempts {
		if !out.ended {
			return
		}
	}

	delete(p.requests, req.request.ID)
}

func (p *process) startAttempt(e routing.Attempt) {
	req := p.requests[e.Request.ID]
	out := &outgoingAttempt{
		entry: req, number: e.Number, to: p.daemon.fleet.byID[e.Target.ID], bodySent: e.Request.Idempotent(),
		hedged: e.Why == routing.Hedge,
	}
	req.attempts = append(req.attempts, out)

	fleet := p.daemon.fleet
	fleet.result.attempts++

	if out.hedged {
		fleet.result.recordHedge()
	}

	sent := fleet.clock.now

	fleet.network.sendStream(p.daemon, out.to, func() {
		if peer := out.to.process; peer != nil {
			peer.dispatch(func() { peer.receiveAttempt(p, out, e, e.Request.Deadline.Sub(sent)) })

			return
		}

		fleet.clock.scheduleAfter(delay(out.to, p.daemon)+connectionRefusedTime, func() {
			p.dispatch(func() { p.attemptEnded(out, core.AttemptEnded{Ended: unreachable}) })
		})
	})
}

// unreachable is the result of an attempt whose connection was refused.
var unreachable = routing.Ended{Outcome: routing.Unreachable, Verdict: verdict.NotRun}

// attemptEnded passes the result of an attempt to the reducer. Later results of the same attempt are ignored.
func (p *process) attemptEnded(out *outgoingAttempt, ended core.AttemptEnded) {
	if out.ended {
		return
	}

	out.ended = true
	ended.Ended.ID, ended.Ended.Number = out.entry.request.ID, out.number
	p.apply(ended)
	p.deleteIfFinished(out.entry)
}

func (p *process) cancelAttempt(e routing.CancelAttempt) {
	req := p.requests[e.ID]
	if req == nil || req.attempts[e.Number].ended {
		return
	}

	out := req.attempts[e.Number]
	out.aborted = true
	p.sendCancellation(out)

	attemptVerdict := verdict.NotRun
	if out.bodySent {
		attemptVerdict = verdict.MayHaveRun
	}

	p.attemptEnded(out, core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Aborted, Verdict: attemptVerdict}})
}

// sendCancellation tells the daemon beside the server to cancel an attempt.
func (p *process) sendCancellation(out *outgoingAttempt) {
	p.daemon.fleet.network.sendStream(p.daemon, out.to, func() {
		if a := out.incoming; a != nil {
			a.process.dispatch(func() { a.handleCancellation() })
		}
	})
}

// receiveAttempt handles an attempt that arrives at the daemon beside the server.
func (p *process) receiveAttempt(from *process, out *outgoingAttempt, e routing.Attempt, left time.Duration) {
	a := &incomingAttempt{
		id:      admission.Attempt{Entry: string(from.daemon.id), ID: e.Request.ID, Number: out.number},
		process: p, entryProcess: from, outgoing: out, deadline: p.daemon.fleet.clock.now.Add(left),
	}
	out.incoming = a

	if p.daemon.draining {
		a.reply(core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Refused, Verdict: verdict.NotRun, Unusable: true}})

		return
	}

	req := e.Request
	req.Deadline = a.deadline
	p.incoming[a.id] = a
	p.apply(core.AttemptArrived{Attempt: a.id, Request: req, Wait: e.Wait, Slowest: e.Slowest})
}

func (p *process) performAdmission(effect admission.Effect) {
	switch e := effect.(type) {
	case admission.Queued:
		p.incoming[e.Attempt].sendProgress(false)
	case admission.Start:
		p.incoming[e.Attempt].start()
	case admission.Refuse:
		if a := p.incoming[e.Attempt]; a != nil {
			a.reply(core.AttemptEnded{Ended: routing.Ended{
				Outcome: routing.Refused, Verdict: verdict.NotRun, Unusable: makesUnusable(e.Reason),
				Evacuated: e.Reason == admission.Evacuated,
			}})
		}
	case admission.Abort:
		if a := p.incoming[e.Attempt]; a != nil {
			a.abort()
		}
	}
}

// makesUnusable reports whether a refusal with this reason means that the server accepts no attempts at all at present.
func makesUnusable(reason admission.Reason) bool {
	switch reason {
	case admission.Draining, admission.Evacuated, admission.ServerDown, admission.ServerFailing, admission.ServerUnknown:
		return true
	default:
		return false
	}
}

// sendToEntry sends a message to the entry daemon.
func (a *incomingAttempt) sendToEntry(handler func()) {
	a.process.daemon.fleet.network.sendStream(a.process.daemon, a.entryProcess.daemon, func() {
		a.entryProcess.dispatch(handler)
	})
}

// sendProgress tells the entry daemon that the attempt is queued or, if running is set, holds a slot.
func (a *incomingAttempt) sendProgress(running bool) {
	a.sendToEntry(func() { a.handleProgress(running) })
}

// handleProgress handles a progress message at the entry daemon. Once the attempt has a slot, it sends the body.
func (a *incomingAttempt) handleProgress(running bool) {
	out := a.outgoing
	if out.aborted || out.ended {
		return
	}

	a.entryProcess.apply(routing.Accepted{ID: out.entry.request.ID, Number: out.number, Running: running})

	if running && !out.bodySent && !out.aborted {
		out.bodySent = true
		a.entryProcess.daemon.fleet.network.sendStream(a.entryProcess.daemon, a.process.daemon, func() {
			a.process.dispatch(a.submitToServer)
		})
	}
}

// start handles an attempt that has got a slot. An idempotent request goes to the server at once. Any other must not run
// twice, so it first waits until the entry daemon confirms that it still wants the attempt.
func (a *incomingAttempt) start() {
	a.hasSlot = true
	a.sendProgress(true)

	if a.outgoing.entry.request.Idempotent() {
		a.submitToServer()
	}
}

// submitToServer sends the request to the server.
func (a *incomingAttempt) submitToServer() {
	if a.done || a.work != nil {
		return
	}

	server, clock := a.process.daemon.server, &a.process.daemon.fleet.clock
	if !server.up {
		a.handleConnectionEnd(true)

		return
	}

	a.work = &work{
		id: a.id.ID, kind: a.outgoing.entry.kind, deadline: a.deadline, hedged: a.outgoing.hedged,
		onEnd: func(result outcome) { a.process.dispatch(func() { a.handleServerOutcome(result) }) },
	}
	a.deadlineTimer = clock.schedule(a.deadline.Add(sameInstanceDelay), func() { a.process.dispatch(a.handleDeadline) })
	a.process.daemon.fleet.guarantees.recordArrival(server, a.work)
	server.submit(a.work)
}

// handleServerOutcome handles the end of the request at the server.
func (a *incomingAttempt) handleServerOutcome(result outcome) {
	if a.done {
		return
	}

	p := a.process

	if result == responseLost || result == crashed {
		a.handleConnectionEnd(result == crashed)

		return
	}

	p.apply(health.Observed{Load: p.daemon.server.load()})

	if result == shed {
		p.apply(core.AttemptServed{Attempt: a.id, Ran: true, Failed: true, Unserved: true})
		a.reply(core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Refused, Verdict: verdict.NotRun}})

		return
	}

	bad := result != answered
	p.apply(core.AttemptServed{Attempt: a.id, Ran: true, Failed: bad})

	a.outgoing.response = response{outcome: result, requestID: a.work.id}
	a.reply(core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Answered, Verdict: verdict.Answered, Failure: bad}})
}

// handleConnectionEnd ends an attempt whose connection to the server was refused or closed without a response.
func (a *incomingAttempt) handleConnectionEnd(crash bool) {
	p := a.process
	ended := core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Broken, Verdict: verdict.MayHaveRun}}

	if crash {
		p.apply(core.ServerCrashed{})
		p.apply(health.Refused{})

		ended.Crash = p.state.CrashID(a.id)
	}

	if a.work == nil {
		// The connection was refused.
		ended.Ended.Outcome, ended.Ended.Verdict, ended.Ended.Unusable = routing.Refused, verdict.NotRun, true
	}

	p.apply(core.AttemptServed{Attempt: a.id, Ran: a.work != nil, Failed: true, Unserved: a.work != nil})
	a.reply(ended)
}

// handleDeadline gives up a request that the server has not answered by its deadline.
func (a *incomingAttempt) handleDeadline() {
	if a.done {
		return
	}

	a.process.daemon.server.remove(a.work)
	a.process.apply(core.AttemptServed{Attempt: a.id, Ran: true, Failed: true, Unserved: true})
	a.reply(core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Broken, Verdict: verdict.MayHaveRun}})
}

// handleCancellation handles the cancellation of an attempt by its entry daemon.
func (a *incomingAttempt) handleCancellation() {
	if a.done {
		return
	}

	a.process.apply(admission.Cancelled{Attempt: a.id})

	if !a.hasSlot {
		a.remove()
	} else if a.work == nil {
		a.process.apply(core.AttemptServed{Attempt: a.id})
		a.remove()
	}
}

// abort cancels the request at the server.
func (a *incomingAttempt) abort() {
	if a.done || a.work == nil {
		return
	}

	a.process.daemon.server.remove(a.work)
	a.remove()
	a.process.apply(core.AttemptServed{Attempt: a.id, Failed: true})
}

// remove removes the attempt from its process.
func (a *incomingAttempt) remove() {
	a.done = true
	a.process.daemon.fleet.clock.cancel(a.deadlineTimer)
	delete(a.process.incoming, a.id)
}

// reply ends the attempt and sends its result to the entry daemon.
func (a *incomingAttempt) reply(ended core.AttemptEnded) {
	a.remove()

	ended.Report = a.report()
	a.sendToEntry(func() { a.entryProcess.attemptEnded(a.outgoing, ended) })
}

func (a *incomingAttempt) report() load.Report {
	return a.process.state.ReplyReport(a.process.daemon.fleet.clock.now, a.entryProcess.daemon.id)
}

// failRequests ends the requests that entered at a process that has ended: the connections to callers break, and the
// attempts at other daemons are cancelled.
func (p *process) failRequests() {
	for _, id := range slices.Sorted(maps.Keys(p.requests)) {
		req := p.requests[id]

		for _, out := range req.attempts {
			if !out.ended {
				out.aborted = true
				p.sendCancellation(out)
			}
		}

		if respond := req.respond; respond != nil {
			req.respond = nil

			respond(response{outcome: responseLost})
		}
	}
}

// failIncoming ends the attempts that a process handled for its server, after the process has ended.
func (p *process) failIncoming() {
	all := slices.SortedFunc(maps.Values(p.incoming), func(a, b *incomingAttempt) int {
		return cmp.Or(
			cmp.Compare(a.id.ID, b.id.ID), cmp.Compare(a.id.Entry, b.id.Entry), cmp.Compare(a.id.Number, b.id.Number),
		)
	})

	for _, a := range all {
		a.done = true
		p.daemon.fleet.clock.cancel(a.deadlineTimer)

		if a.work != nil {
			p.daemon.server.remove(a.work)
		}

		ended := core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Broken, Verdict: verdict.MayHaveRun}}
		if !a.outgoing.bodySent {
			ended.Ended = unreachable
		}

		a.sendToEntry(func() { a.entryProcess.attemptEnded(a.outgoing, ended) })
	}
}
