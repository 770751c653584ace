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
type entry struct {
	request  request.Request
	kind     *Kind
	outgoing []*outgoing
	// respond tells the caller; nil once it was told or has left.
	respond func(response)
}

// response is what a caller gets.
type response struct {
	ending ending
	// of is the request that the response belongs to.
	of request.ID
	// refused is set for a refusal of the daemon, with its verdict and when the caller may come back.
	refused    bool
	verdict    verdict.Verdict
	retryAfter time.Duration
}

// outgoing is an attempt as its entry knows it.
type outgoing struct {
	entry  *entry
	number int
	to     *daemon
	// job is the attempt at the other daemon, once it has arrived there.
	job *job
	// committed is set once the body was sent, after which it may run.
	committed bool
	aborted   bool
	ended     bool
	response  response
}

// job is an attempt at the daemon beside the server.
type job struct {
	id  admission.Attempt
	run *run
	// from is the process of the entry.
	from     *run
	out      *outgoing
	deadline time.Time
	// started holds a slot, work is at the server.
	started bool
	work    *work
	expiry  *event
	done    bool
}

func (r *run) performRouting(effect routing.Effect) {
	switch e := effect.(type) {
	case routing.Attempt:
		r.startAttempt(e)
	case routing.CancelAttempt:
		r.cancelAttempt(e)
	case routing.Deliver:
		if en := r.entries[e.ID]; en != nil {
			r.respond(en, en.outgoing[e.Number].response)
		}
	}
}

func (r *run) refuse(e core.Refuse) {
	if en := r.entries[e.ID]; en != nil {
		r.respond(en, response{refused: true, verdict: e.Verdict, retryAfter: e.RetryAfter})
	}
}

func (r *run) respond(en *entry, answer response) {
	respond := en.respond
	en.respond = nil
	r.release(en)

	if respond != nil {
		respond(answer)
	}
}

// release forgets a request whose caller was told and whose attempts have ended.
func (r *run) release(en *entry) {
	if en.respond != nil {
		return
	}

	for _, out := range en.outgoing {
		if !out.ended {
			return
		}
	}

	delete(r.entries, en.request.ID)
}

func (r *run) startAttempt(e routing.Attempt) {
	en := r.entries[e.Request.ID]
	out := &outgoing{entry: en, number: e.Number, to: r.daemon.fleet.byID[e.Target.ID], committed: e.Request.Idempotent()}
	en.outgoing = append(en.outgoing, out)

	fleet := r.daemon.fleet
	fleet.result.attempts++
	sent := fleet.clock.now

	fleet.network.stream(r.daemon, out.to, func() {
		if peer := out.to.run; peer != nil {
			peer.receive(func() { peer.arrive(r, out, e, e.Request.Deadline.Sub(sent)) })

			return
		}

		fleet.clock.after(delay(out.to, r.daemon)+refusedTime, func() {
			r.receive(func() { r.attemptEnded(out, core.AttemptEnded{Ended: unreachable}) })
		})
	})
}

// unreachable is the end of an attempt whose connection was refused.
var unreachable = routing.Ended{Outcome: routing.Unreachable, Verdict: verdict.NotRun}

// attemptEnded passes the end of an attempt to the reducer, once.
func (r *run) attemptEnded(out *outgoing, ended core.AttemptEnded) {
	if out.ended {
		return
	}

	out.ended = true
	ended.Ended.ID, ended.Ended.Number = out.entry.request.ID, out.number
	r.apply(ended)
	r.release(out.entry)
}

func (r *run) cancelAttempt(e routing.CancelAttempt) {
	en := r.entries[e.ID]
	if en == nil || en.outgoing[e.Number].ended {
		return
	}

	out := en.outgoing[e.Number]
	out.aborted = true
	r.withdraw(out)

	judged := verdict.NotRun
	if out.committed {
		judged = verdict.MayHaveRun
	}

	r.attemptEnded(out, core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Aborted, Verdict: judged}})
}

// withdraw tells the daemon beside the server that an attempt is no longer wanted.
func (r *run) withdraw(out *outgoing) {
	r.daemon.fleet.network.stream(r.daemon, out.to, func() {
		if j := out.job; j != nil {
			j.run.receive(func() { j.withdrawn() })
		}
	})
}

// arrive takes an attempt at the daemon beside its server.
func (r *run) arrive(from *run, out *outgoing, e routing.Attempt, left time.Duration) {
	j := &job{
		id:  admission.Attempt{Entry: string(from.daemon.id), ID: e.Request.ID, Number: out.number},
		run: r, from: from, out: out, deadline: r.daemon.fleet.clock.now.Add(left),
	}
	out.job = j

	if r.daemon.leaving {
		j.reply(core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Refused, Verdict: verdict.NotRun, Unusable: true}})

		return
	}

	described := e.Request
	described.Deadline = j.deadline
	r.jobs[j.id] = j
	r.apply(core.AttemptArrived{Attempt: j.id, Request: described, Wait: e.Wait, Slowest: e.Slowest})
}

func (r *run) performAdmission(effect admission.Effect) {
	switch e := effect.(type) {
	case admission.Queued:
		r.jobs[e.Attempt].progress(false)
	case admission.Start:
		r.jobs[e.Attempt].start()
	case admission.Refuse:
		if j := r.jobs[e.Attempt]; j != nil {
			j.reply(core.AttemptEnded{Ended: routing.Ended{
				Outcome: routing.Refused, Verdict: verdict.NotRun, Unusable: isClosed(e.Reason),
			}})
		}
	case admission.Abort:
		if j := r.jobs[e.Attempt]; j != nil {
			j.abort()
		}
	}
}

func isClosed(reason admission.Reason) bool {
	switch reason {
	case admission.Draining, admission.ServerDown, admission.ServerFailing, admission.ServerUnknown:
		return true
	default:
		return false
	}
}

// toEntry carries a message to the entry.
func (j *job) toEntry(do func()) {
	j.run.daemon.fleet.network.stream(j.run.daemon, j.from.daemon, func() { j.from.receive(do) })
}

// progress tells the entry that the attempt waits or has a slot.
func (j *job) progress(running bool) {
	j.toEntry(func() { j.accepted(running) })
}

func (j *job) accepted(running bool) {
	out := j.out
	if out.aborted || out.ended {
		return
	}

	j.from.apply(routing.Accepted{ID: out.entry.request.ID, Number: out.number, Running: running})

	if running && !out.committed && !out.aborted {
		out.committed = true
		j.from.daemon.fleet.network.stream(j.from.daemon, j.run.daemon, func() { j.run.receive(j.execute) })
	}
}

// start begins an attempt that has got a slot. One that must not run twice first asks the entry whether it is still
// wanted.
func (j *job) start() {
	j.started = true
	j.progress(true)

	if j.out.entry.request.Idempotent() {
		j.execute()
	}
}

// execute sends the request to the server.
func (j *job) execute() {
	if j.done || j.work != nil {
		return
	}

	server, clock := j.run.daemon.server, &j.run.daemon.fleet.clock
	if !server.up {
		j.failed(true)

		return
	}

	j.work = &work{
		id: j.id.ID, kind: j.out.entry.kind, deadline: j.deadline,
		ended: func(how ending) { j.run.receive(func() { j.served(how) }) },
	}
	j.expiry = clock.at(j.deadline.Add(instanceDelay), func() { j.run.receive(j.expired) })
	j.run.daemon.fleet.promises.arrived(server, j.work)
	server.submit(j.work)
}

// served takes the end of the request at the server.
func (j *job) served(how ending) {
	if j.done {
		return
	}

	r := j.run

	if how == lost || how == crashed {
		j.failed(how == crashed)

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

	j.out.response = response{ending: how, of: j.work.id}
	j.reply(core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Answered, Verdict: verdict.Answered, Failure: bad}})
}

// failed ends an attempt whose connection to the server has ended without a response.
func (j *job) failed(crash bool) {
	r := j.run
	ended := core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Broken, Verdict: verdict.MayHaveRun}}

	if crash {
		r.apply(core.ServerCrashed{})
		r.apply(health.Refused{})

		ended.Crash = r.state.CrashID(j.id)
	}

	if j.work == nil {
		// The connection was refused.
		ended.Ended.Outcome, ended.Ended.Verdict, ended.Ended.Unusable = routing.Refused, verdict.NotRun, true
	}

	r.apply(core.AttemptServed{Attempt: j.id, Ran: j.work != nil, Failed: true, Unserved: j.work != nil})
	j.reply(ended)
}

// expired gives a request up that the server has not answered by its deadline.
func (j *job) expired() {
	if j.done {
		return
	}

	j.run.daemon.server.cancel(j.work)
	j.run.apply(core.AttemptServed{Attempt: j.id, Ran: true, Failed: true, Unserved: true})
	j.reply(core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Broken, Verdict: verdict.MayHaveRun}})
}

// withdrawn ends an attempt that its entry no longer wants.
func (j *job) withdrawn() {
	if j.done {
		return
	}

	j.run.apply(admission.Cancelled{Attempt: j.id})

	if !j.started {
		j.end()
	} else if j.work == nil {
		j.run.apply(core.AttemptServed{Attempt: j.id})
		j.end()
	}
}

// abort takes a request from the server.
func (j *job) abort() {
	if j.done || j.work == nil {
		return
	}

	j.run.daemon.server.cancel(j.work)
	j.end()
	j.run.apply(core.AttemptServed{Attempt: j.id, Failed: true})
}

func (j *job) end() {
	j.done = true
	j.run.daemon.fleet.clock.stop(j.expiry)
	delete(j.run.jobs, j.id)
}

// reply tells the entry how the attempt has ended.
func (j *job) reply(ended core.AttemptEnded) {
	j.end()

	ended.Report = j.report()
	j.toEntry(func() { j.from.attemptEnded(j.out, ended) })
}

func (j *job) report() load.Report {
	return j.run.state.ReplyReport(j.run.daemon.fleet.clock.now, j.from.daemon.id)
}

// breakEntries ends the requests of a process that has ended: callers see broken connections, daemons withdrawals.
func (r *run) breakEntries() {
	for _, id := range slices.Sorted(maps.Keys(r.entries)) {
		en := r.entries[id]

		for _, out := range en.outgoing {
			if !out.ended {
				out.aborted = true
				r.withdraw(out)
			}
		}

		if respond := en.respond; respond != nil {
			en.respond = nil

			respond(response{ending: lost})
		}
	}
}

// breakJobs ends the attempts at a process that has ended.
func (r *run) breakJobs() {
	all := slices.SortedFunc(maps.Values(r.jobs), func(a, b *job) int {
		return cmp.Or(cmp.Compare(a.id.ID, b.id.ID), cmp.Compare(a.id.Entry, b.id.Entry), cmp.Compare(a.id.Number, b.id.Number))
	})

	for _, j := range all {
		j.done = true
		r.daemon.fleet.clock.stop(j.expiry)

		if j.work != nil {
			r.daemon.server.cancel(j.work)
		}

		ended := core.AttemptEnded{Ended: routing.Ended{Outcome: routing.Broken, Verdict: verdict.MayHaveRun}}
		if !j.out.committed {
			ended.Ended = unreachable
		}

		j.toEntry(func() { j.from.attemptEnded(j.out, ended) })
	}
}
