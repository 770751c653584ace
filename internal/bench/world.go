package bench

import (
	"container/heap"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// requestBytes and responseBytes are the sizes of a lookup with headers.
	requestBytes  = 400
	responseBytes = 2000
	// failTime is what a server takes that fails fast.
	failTime = time.Millisecond
	// abortTime is what a server takes to stop a cancelled request.
	abortTime = 200 * time.Microsecond
	// localDelay is the one-way delay within a failure domain.
	localDelay = 200 * time.Microsecond
	// settled is how long the daemons have known each other at the start.
	settled = time.Minute
	// tick is the period at which policies are woken.
	tick = 10 * time.Millisecond
)

// policy decides for one entry daemon. The routing reducer is one.
type policy interface {
	Apply(now time.Time, event routing.Event) []routing.Effect
}

// world runs entry and server reducers in virtual time. It models delays, not bandwidth or loss.
type world struct {
	size     size
	schedule *schedule
	start    time.Time
	now      time.Duration
	queue    events
	sequence int
	entries  []*entry
	servers  []*server
	members  []instance.Member
	index    map[instance.ID]int
	stats    *stats
}

type entry struct {
	policy   policy
	member   instance.Member
	requests map[request.ID]*call
	runs     map[admission.Attempt]*run
}

// call is a request in the eyes of its caller.
type call struct {
	arrival
	answers map[int]routing.Outcome
}

type server struct {
	index     int
	admission *admission.State
	runs      map[admission.Attempt]*run
	// coming counts attempts that are on their way, waiting or running: what the oracle knows.
	coming int
}

// run is an attempt at the server's side.
type run struct {
	entry   *entry
	attempt routing.Attempt
	demand  time.Duration
	sent    time.Duration
	started time.Duration
	running bool
	ended   bool
	// number orders runs by their start.
	number int
}

type event struct {
	at       time.Duration
	sequence int
	do       func()
}

type events []event

func (e events) Len() int { return len(e) }
func (e events) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].sequence < e[j].sequence
}
func (e events) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)   { *e = append(*e, x.(event)) }
func (e *events) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	(*e)[last].do = nil
	*e = (*e)[:last]

	return x
}

func (w *world) after(d time.Duration, do func()) {
	w.sequence++
	heap.Push(&w.queue, event{w.now + d, w.sequence, do})
}

func (w *world) clock() time.Time { return w.start.Add(w.now) }

// run handles events until the end.
func (w *world) run(end time.Duration) {
	for w.queue.Len() > 0 && w.queue[0].at <= end {
		e := heap.Pop(&w.queue).(event)
		w.now = e.at
		e.do()
	}
}

func (w *world) delay(a, b instance.Place) time.Duration {
	switch {
	case a.Region != b.Region:
		return w.size.regions
	case a.Domain != b.Domain:
		return w.size.domains
	default:
		return localDelay
	}
}

// tell passes an event to an entry's policy and carries out the effects.
func (w *world) tell(e *entry, event routing.Event) {
	for _, effect := range e.policy.Apply(w.clock(), event) {
		switch f := effect.(type) {
		case routing.Attempt:
			w.attempt(e, f)
		case routing.CancelAttempt:
			w.cancel(e, f)
		case routing.Deliver:
			w.deliver(e, f)
		case routing.GiveUp:
			if c := e.requests[f.ID]; c != nil {
				delete(e.requests, f.ID)
				w.stats.refused(c.at, f.Reason)
			}
		case routing.StartTimer:
			w.after(f.After, func() { w.tell(e, routing.TimerFired{ID: f.ID}) })
		case routing.Probe:
			w.probe(e, f)
		}
	}
}

func (w *world) arrive(e *entry, a arrival) {
	r := a.request
	r.Deadline = w.clock().Add(deadline)
	e.requests[r.ID] = &call{arrival: a, answers: map[int]routing.Outcome{}}
	w.tell(e, routing.Arrived{Request: r})
}

func (w *world) attempt(e *entry, a routing.Attempt) {
	c := e.requests[a.Request.ID]
	srv := w.server(a.Target.ID)
	r := &run{entry: e, attempt: a, demand: c.demand, sent: w.now}
	e.runs[r.id()] = r
	srv.coming++
	w.stats.attempt(w.now, a, e.member.Place.Region != a.Target.Place.Region)
	w.after(w.delay(e.member.Place, a.Target.Place), func() { w.reach(srv, r) })
}

func (w *world) server(id instance.ID) *server { return w.servers[w.index[id]] }

func (r *run) id() admission.Attempt {
	return admission.Attempt{ID: r.attempt.Request.ID, Number: r.attempt.Number}
}

func (w *world) reach(srv *server, r *run) {
	if r.ended {
		srv.coming--

		return
	}

	srv.runs[r.id()] = r
	w.admit(srv, admission.Arrived{
		Attempt: r.id(), Deadline: r.attempt.Request.Deadline, Alone: r.attempt.Request.Alone,
		Nested: r.attempt.Request.Nested(), NoWait: r.attempt.NoWait,
	})
}

// admit passes an event to a server's admission and carries out the effects.
func (w *world) admit(srv *server, event admission.Event) {
	for _, effect := range srv.admission.Apply(w.clock(), event) {
		switch f := effect.(type) {
		case admission.Start:
			w.serve(srv, srv.runs[f.Attempt])
		case admission.Refuse:
			r := srv.runs[f.Attempt]
			w.leave(srv, r)
			w.answer(srv, r, routing.AttemptEnded{
				Outcome: routing.Refused, Verdict: verdict.NotRun, Hint: f.Hint,
				Draining: f.Reason == admission.IsDraining || f.Reason == admission.ServerDown,
			})
		case admission.Abort:
			r := srv.runs[f.Attempt]
			w.after(abortTime, func() { w.finish(srv, r, routing.Aborted) })
		case admission.Drained:
		}
	}
}

func (w *world) leave(srv *server, r *run) {
	delete(srv.runs, r.id())
	srv.coming--
}

func (w *world) serve(srv *server, r *run) {
	w.sequence++
	r.started, r.running, r.number = w.now, true, w.sequence
	end, outcome := w.schedule.finish(srv.index, w.now, r.demand), routing.Succeeded

	if w.schedule.failing(srv.index, w.now) {
		end, outcome = w.now+failTime, routing.Failed
	}

	w.after(end-w.now, func() { w.finish(srv, r, outcome) })
}

// finish ends a run at the server unless it has ended before.
func (w *world) finish(srv *server, r *run, outcome routing.Outcome) {
	if !r.running {
		return
	}

	r.running = false
	elapsed := w.now - r.started

	w.leave(srv, r)

	v := verdict.Answered
	if outcome == routing.Lost || outcome == routing.Aborted {
		v = verdict.MayHaveRun
	}

	w.admit(srv, admission.Done{Attempt: r.id(), Elapsed: elapsed, Failed: outcome != routing.Succeeded})
	w.answer(srv, r, routing.AttemptEnded{Outcome: outcome, Verdict: v, Hint: srv.admission.Hint(w.clock())})
}

// answer carries the end of an attempt back to its entry.
func (w *world) answer(srv *server, r *run, ended routing.AttemptEnded) {
	if r.ended {
		return
	}

	ended.ID, ended.Number, ended.Target = r.attempt.Request.ID, r.attempt.Number, r.attempt.Target.ID
	ended.Hinted, ended.Bytes = r.attempt.Hint, requestBytes

	if ended.Outcome == routing.Succeeded {
		ended.Bytes += responseBytes
	}

	if !ended.Hinted {
		ended.Hint = load.Hint{}
	}

	back := w.delay(w.members[srv.index].Place, r.entry.member.Place)
	w.stats.cross(w.now, ended.Bytes-requestBytes, r.entry.member.Place.Region != w.members[srv.index].Place.Region)
	w.after(back, func() {
		if r.ended {
			return
		}

		r.ended = true
		delete(r.entry.runs, r.id())

		ended.Elapsed = w.now - r.sent

		if c := r.entry.requests[ended.ID]; c != nil {
			c.answers[ended.Number] = ended.Outcome
		}

		w.tell(r.entry, ended)
	})
}

// cancel ends an attempt at the entry at once and tells the server.
func (w *world) cancel(e *entry, c routing.CancelAttempt) {
	id := admission.Attempt{ID: c.ID, Number: c.Number}

	r, ok := e.runs[id]
	if !ok {
		return
	}

	r.ended = true
	delete(e.runs, id)
	w.after(0, func() {
		w.tell(e, routing.AttemptEnded{
			ID: c.ID, Number: c.Number, Target: r.attempt.Target.ID, Outcome: routing.Aborted,
			Verdict: verdict.MayHaveRun, Elapsed: w.now - r.sent,
		})
	})
	w.after(w.delay(e.member.Place, r.attempt.Target.Place), func() {
		srv := w.server(r.attempt.Target.ID)
		if srv.runs[id] != r {
			return
		}

		if !r.running {
			w.leave(srv, r)
		}

		w.admit(srv, admission.Cancelled{Attempt: id})
	})
}

func (w *world) deliver(e *entry, d routing.Deliver) {
	c := e.requests[d.ID]
	if c == nil {
		return
	}

	delete(e.requests, d.ID)
	w.stats.delivered(c.at, w.now-c.at, c.answers[d.Number] == routing.Succeeded)
}

func (w *world) probe(e *entry, p routing.Probe) {
	srv := w.server(p.Target.ID)
	way := w.delay(e.member.Place, p.Target.Place)
	w.stats.probe(w.now, e.member.Place.Region != p.Target.Place.Region)
	w.after(way, func() {
		hint := srv.admission.Hint(w.clock())
		w.after(way, func() {
			w.tell(e, routing.ProbeEnded{
				Target: p.Target.ID, Hint: hint, OK: true, Elapsed: 2 * way, Bytes: routing.ProbeBytes,
			})
		})
	})
}

// crash takes the backend server down; what it runs is lost.
func (w *world) crash(srv *server) {
	w.admit(srv, admission.ServerChanged{Up: false})

	// The order of the runs is that of their start, because maps have none.
	lost := slices.SortedFunc(maps.Values(srv.runs), func(a, b *run) int { return a.number - b.number })
	for _, r := range lost {
		w.finish(srv, r, routing.Lost)
	}
}

// build creates entries and servers of one size for one contender.
func build(o Options, sz size, sched *schedule, c contender) *world {
	w := &world{
		size: sz, schedule: sched, start: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC),
		index: make(map[instance.ID]int), stats: newStats(o.Length),
	}

	for i, place := range sz.places {
		id := instance.ID(fmt.Sprintf("%s-%d", sz.service, i))
		w.index[id] = i
		w.members = append(w.members, instance.Member{
			ID: id, Incarnation: 1, Service: sz.service, Place: place, Slots: sz.slots, Started: w.start.Add(-time.Hour),
		})
		w.servers = append(w.servers, &server{
			index: i, runs: make(map[admission.Attempt]*run),
			admission: admission.New(append([]admission.Option{admission.WithLimits(sz.slots, c.queue*sz.slots)}, c.admission...)...),
		})
	}

	var rest []instance.Member

	for i := len(w.members); i < sz.entries; i++ {
		rest = append(rest, instance.Member{
			ID: instance.ID(fmt.Sprintf("other-%d", i)), Incarnation: 1, Service: "other", Place: sz.places[i%len(sz.places)],
		})
	}

	for i, m := range slices.Concat(w.members, rest) {
		e := &entry{member: m, requests: map[request.ID]*call{}, runs: map[admission.Attempt]*run{}}
		e.policy = c.policy(w, m, o.Seed+uint64(i))
		w.entries = append(w.entries, e)

		// The daemons have been running for a while and know the fleet.
		for _, event := range []routing.Event{
			routing.PolicyChanged{Services: []manifest.Service{sz.manifest(c.budget)}},
			routing.MembersChanged{Service: "other", Members: rest},
			routing.MembersChanged{Service: sz.service, Members: w.members},
		} {
			e.policy.Apply(w.start.Add(-settled), event)
		}

		e.policy.Apply(w.start, routing.Tick{})
		w.tick(e)
	}

	w.plan()

	return w
}

// plan schedules restarts. The daemon beside a server outlives it and sees it return.
func (w *world) plan() {
	for i, srv := range w.servers {
		for _, down := range w.schedule.downs[i] {
			w.after(down.from, func() { w.crash(srv) })
			w.after(down.to, func() { w.admit(srv, admission.ServerChanged{Up: true}) })
		}

		w.tickServer(srv)
	}
}

func (w *world) tick(e *entry) {
	w.after(tick, func() {
		w.tell(e, routing.Tick{})
		w.tick(e)
	})
}

func (w *world) tickServer(srv *server) {
	w.after(tick, func() {
		w.admit(srv, admission.Tick{})
		w.tickServer(srv)
	})
}
