package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// attemptArrived asks admission for a slot. The check for suspects stands here too, because the entry
// may not have heard of a crash yet.
func (s *State) attemptArrived(now time.Time, e AttemptArrived) []Effect {
	switch s.suspects.Check(now, e.Request) {
	case suspects.Barred:
		return []Effect{admission.Refuse{Attempt: e.Attempt, Reason: CrashesServers}}
	case suspects.Alone:
		e.Request = e.Request.WithAlone()
	case suspects.Free:
	}

	s.serving[e.Attempt] = &served{request: e.Request}
	s.order = append(s.order, e.Attempt)

	return s.toAdmission(now, admission.Arrived{
		Attempt:  e.Attempt,
		Deadline: e.Request.Deadline,
		Rank:     e.Request.Rank(),
		Priority: e.Request.Priority,
		Alone:    e.Request.Alone,
		Wait:     e.Wait,
		Slowest:  e.Slowest,
	})
}

// toAdmission applies an event and keeps the list of what is at the backend server.
func (s *State) toAdmission(now time.Time, event admission.Event) []Effect {
	if done, ok := event.(admission.Done); ok {
		s.forget(now, done.Attempt)
	}

	effects := s.admission.Apply(now, event)
	all := make([]Effect, 0, len(effects))

	for _, effect := range effects {
		switch e := effect.(type) {
		case admission.Start:
			if at, ok := s.serving[e.Attempt]; ok {
				at.started, at.begun = true, s.concurrency.RequestStarted(now)
			}
		case admission.Refuse:
			s.forget(now, e.Attempt)
		}

		all = append(all, effect)
	}

	if cancelled, ok := event.(admission.Cancelled); ok {
		if at, known := s.serving[cancelled.Attempt]; known && !at.started {
			s.forget(now, cancelled.Attempt)
		}
	}

	return all
}

func (s *State) forget(now time.Time, attempt admission.Attempt) {
	at, ok := s.serving[attempt]
	if !ok {
		return
	}

	if at.started {
		s.origins.left(now, at.request)
	}

	delete(s.serving, attempt)
	s.order = slices.DeleteFunc(s.order, func(a admission.Attempt) bool { return a == attempt })
}

func (s *State) attemptServed(now time.Time, e AttemptServed) []Effect {
	if at, ok := s.serving[e.Attempt]; ok && at.started && e.Ran && !e.Failed && s.health.ColdFor(now) == 0 {
		s.concurrency.RequestEnded(now, at.request.Route, at.begun)
	}

	effects := s.toAdmission(now, admission.Done{Attempt: e.Attempt})

	if e.Ran {
		s.calls.addRun()

		effects = append(effects, s.toHealth(now, health.Ran{Failed: e.Failed, Unserved: e.Unserved})...)
	}

	return effects
}

// toHealth applies an event and tells admission and membership what it changes.
func (s *State) toHealth(now time.Time, event health.Event) []Effect {
	var all []Effect

	for _, effect := range s.health.Apply(now, event) {
		if _, changed := effect.(health.Changed); !changed {
			all = append(all, effect)

			continue
		}

		all = append(all, s.useSlots(now)...)

		if id := s.health.Server(); id != s.server {
			s.server = id
			all = append(all, ServerReplaced{ID: id})
		}

		all = append(all, ServerChanged{
			ID: s.health.Server(), Closed: s.health.RefusalReason(), Slots: s.slots, Why: fmt.Sprintf("%T", event),
		})
		all = append(all, s.fromMembership(now, s.membership.Apply(now, membership.SelfChanged{Entry: s.entry()}))...)
	}

	all = append(all, s.useSlots(now)...)

	return append(all, s.tellAdmission(now)...)
}

// tellAdmission tells admission what the backend server takes.
func (s *State) tellAdmission(now time.Time) []Effect {
	closed := s.health.RefusalReason()
	if s.closing {
		closed = admission.IsDraining
	}

	return s.toAdmission(now, admission.ServerChanged{
		Closed: closed, Slots: s.slots, Queue: s.queue(), Slowness: s.health.Slowness(),
	})
}

// useSlots decides how many of the server's slots are used.
func (s *State) useSlots(now time.Time) []Effect {
	var effects []Effect

	before := s.slots

	if stated := s.health.Slots(); stated != s.stated {
		s.stated = stated
		s.useFindings(now)
	}

	s.slots = s.stated
	if s.slots > 1 {
		s.slots = s.concurrency.Limit(now, s.slots)
	}

	if s.slots != before {
		effects = append(effects, ServerChanged{
			ID: s.health.Server(), Closed: s.health.RefusalReason(), Slots: s.slots, Why: "concurrency",
		})
	}

	if found := s.concurrency.Finding(now); found.Limit > 0 && found.Limit != s.limit {
		s.limit = found.Limit
		effects = append(effects, s.fromMembership(now, s.membership.Apply(now, membership.SelfChanged{Entry: s.entry()}))...)
	}

	return effects
}

// queue is the number of requests that may wait.
func (s *State) queue() int {
	if s.options.FixedSlots > 0 {
		return s.options.Queue
	}

	return s.options.QueuePerSlot * s.slots
}

// settle tells routing and the other daemons how the own server is loaded, if that has changed.
func (s *State) settle(now time.Time) []Effect {
	s.concurrency.SetLoad(now, s.admission.Running(), s.health.Slowness())

	watched := s.membership.Watched(now) || s.admission.Running() > 0
	effects := s.busy(now, watched)

	report := s.loadReport(now)
	if !significant(s.told, report) {
		return effects
	}

	s.told = report

	own := report
	own.Open = s.health.RefusalReason() == ""
	effects = append(effects, s.fromRouting(now, s.routing.Apply(now, routing.Reported{Report: own}))...)

	return append(effects, s.fromMembership(now, s.membership.Apply(now, membership.LoadChanged{
		Report: report, Version: s.version,
	}))...)
}

// busy tells health whether the load is of interest.
func (s *State) busy(now time.Time, watched bool) []Effect {
	if watched == s.health.Watched() {
		return nil
	}

	return s.toHealth(now, health.Busy{Watched: watched})
}

func (s *State) loadReport(now time.Time) load.Report {
	return load.Report{
		Server: s.options.Self.ID, Incarnation: s.membership.Self().Member.Incarnation,
		Open:    s.health.RefusalReason() == "" && !s.draining,
		Running: s.admission.Running(), Waiting: s.admission.Waiting(), Slots: s.slots,
		Slowness: s.health.Slowness(), Failing: s.health.FailureShare(now), ColdFor: s.health.ColdFor(now),
		Counter: s.counter(now), Found: s.concurrency.OwnFinding(now),
	}
}

// counter orders the reports of a run. It is the time since the start, so that asking for a report changes
// nothing.
func (s *State) counter(now time.Time) uint64 {
	return uint64(max(0, now.Sub(s.options.Self.Started).Microseconds())) + 1
}

// significant reports whether a change of the load matters to those who choose a server. How many of its
// slots are taken does not matter while half of them are free.
func significant(before, after load.Report) bool {
	if before.Server == "" || before.Open != after.Open || before.Incarnation != after.Incarnation ||
		after.PaceDiffers(before) {
		return true
	}

	was, is := before.Busy(), after.Busy()

	return was != is && 2*max(was, is) >= after.Slots
}

// serverCrashed makes everything that was in flight suspect. The attempts that were in flight notice
// the crash one after the other; each is reported once.
func (s *State) serverCrashed(now time.Time) []Effect {
	var (
		requests []request.Request
		hit      []*served
	)

	for _, attempt := range s.order {
		at := s.serving[attempt]
		if !at.started || at.crash != "" {
			continue
		}

		requests = append(requests, at.request)
		hit = append(hit, at)
	}

	if len(requests) == 0 {
		return nil
	}

	s.crashes++
	source := fmt.Sprintf("%s/%d/%d", s.options.Self.ID, s.options.Self.Incarnation, s.crashes)

	for _, at := range hit {
		at.crash = source
	}

	return s.fromSuspects(now, s.suspects.Apply(now, suspects.Crashed{Source: source, Requests: requests}))
}

// reportsPerMessage keeps a message within one datagram.
const reportsPerMessage = 6

// fromSuspects tells the other daemons of new reports.
func (s *State) fromSuspects(now time.Time, effects []suspects.Effect) []Effect {
	var all []Effect

	for _, effect := range effects {
		all = append(all, effect)

		e, ok := effect.(suspects.Announce)
		if !ok {
			continue
		}

		for reports := range slices.Chunk(e.Reports, reportsPerMessage) {
			all = append(all, s.fromMembership(now, s.membership.Apply(now, membership.Spread{
				Message: suspects.Encode(now, reports),
			}))...)
		}
	}

	return all
}

// suspectsHeard takes the reports of another daemon.
func (s *State) suspectsHeard(now time.Time, message []byte) {
	if reports, err := suspects.Decode(now, message); err == nil {
		s.suspects.Apply(now, suspects.ReportsHeard{Reports: reports})
	}
}

// Crash returns the identifier of the crash that an attempt at the local backend server met, or an
// empty text.
func (s *State) CrashID(attempt admission.Attempt) string {
	if at, ok := s.serving[attempt]; ok {
		return at.crash
	}

	return ""
}

// Parent returns the request in flight at the local backend server that carries a call token.
func (s *State) ParentRequest(call string) (request.Request, bool) {
	for _, attempt := range s.order {
		if at := s.serving[attempt]; at.started && CallToken(attempt) == call {
			return at.request, true
		}
	}

	return request.Request{}, false
}

// CallToken identifies an attempt towards the backend server. It cannot be guessed, because request
// identifiers are random.
func CallToken(attempt admission.Attempt) string {
	return fmt.Sprintf("%s.%d", attempt.ID, attempt.Number)
}
