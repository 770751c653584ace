package core

import (
	"fmt"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// attemptArrived asks admission for a slot. The check for suspects stands here too, because the entry
// may not have heard of a crash yet.
func (s *State) attemptArrived(now time.Time, e AttemptArrived) []Effect {
	attempt := admission.Attempt{ID: e.Request.ID, Number: e.Number}

	switch s.suspects.Check(now, e.Request) {
	case suspects.Barred:
		return []Effect{admission.Refuse{Attempt: attempt, Reason: CrashesServers, Hint: s.admission.Hint(now)}}
	case suspects.Alone:
		e.Request = e.Request.WithAlone()
	case suspects.Free:
	}

	s.serving[attempt] = &served{request: e.Request}
	s.order = append(s.order, attempt)

	return s.toAdmission(now, admission.Arrived{
		Attempt:  attempt,
		Deadline: e.Request.Deadline,
		Nested:   e.Request.Nested(),
		Alone:    e.Request.Alone,
		NoWait:   e.NoWait,
	})
}

// toAdmission applies an event and keeps the list of what is at the backend server.
func (s *State) toAdmission(now time.Time, event admission.Event) []Effect {
	if done, ok := event.(admission.Done); ok {
		s.forget(done.Attempt)
	}

	effects := s.admission.Apply(now, event)
	all := make([]Effect, 0, len(effects))

	for _, effect := range effects {
		switch e := effect.(type) {
		case admission.Start:
			if at, ok := s.serving[e.Attempt]; ok {
				at.started = true
			}
		case admission.Refuse:
			s.forget(e.Attempt)
		}

		all = append(all, effect)
	}

	if cancelled, ok := event.(admission.Cancelled); ok {
		if at, known := s.serving[cancelled.Attempt]; known && !at.started {
			s.forget(cancelled.Attempt)
		}
	}

	return all
}

func (s *State) forget(attempt admission.Attempt) {
	if _, ok := s.serving[attempt]; !ok {
		return
	}

	delete(s.serving, attempt)
	s.order = slices.DeleteFunc(s.order, func(a admission.Attempt) bool { return a == attempt })
}

// serverCrashed makes everything that was in flight suspect. The attempts that were in flight notice
// the crash one after the other; each is reported once.
func (s *State) serverCrashed(now time.Time, only admission.Attempt) []Effect {
	var (
		requests []request.Request
		hit      []*served
	)

	for _, attempt := range s.order {
		at := s.serving[attempt]
		if !at.started || at.crash != "" || (only.ID != "" && only != attempt) {
			continue
		}

		requests = append(requests, at.request)
		hit = append(hit, at)
	}

	if len(requests) == 0 {
		return nil
	}

	s.crashes++
	source := fmt.Sprintf("%s/%d/%d", s.self.ID, s.self.Incarnation, s.crashes)

	for _, at := range hit {
		at.crash = source
	}

	return list(s.suspects.Apply(now, suspects.Crashed{Source: source, Requests: requests}))
}

// Crash returns the identifier of the crash that an attempt at the local backend server met, or an
// empty text.
func (s *State) Crash(attempt admission.Attempt) string {
	if at, ok := s.serving[attempt]; ok {
		return at.crash
	}

	return ""
}

// Parent returns the request in flight at the local backend server that carries a call token.
func (s *State) Parent(call string) (request.Request, bool) {
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
