package routing

import (
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// roundTime is the time in which a request that waits is offered to all servers. The load of servers changes
	// faster than a request runs, so the more there are, the sooner another one has a free slot.
	roundTime = 600 * time.Millisecond
	// waitMin and waitMax bound the time that an attempt waits for a slot before the choice is made anew.
	waitMin = 30 * time.Millisecond
	waitMax = 120 * time.Millisecond
	// refusalPeriod is how long a server that refused a request is not asked again for it.
	refusalPeriod = 60 * time.Millisecond
	// parkPeriod is the pause after which a request that no server takes is tried again.
	parkPeriod = 20 * time.Millisecond
	// parkLimit bounds the pauses; then the request is refused. A nested call goes on for longer, because the work of its
	// parent would be lost.
	parkLimit       = 5
	nestedParkLimit = 50
	// deadlineGrace is how long a response may arrive after the deadline, at which the server itself
	// answers, before the request is given up.
	deadlineGrace = 30 * time.Millisecond
	// minRetryAfter keeps refused callers from coming back before anything has changed.
	minRetryAfter = 100 * time.Millisecond
)

// flight is a request in progress.
type flight struct {
	request  request.Request
	service  *service
	estimate *estimate
	arrived  time.Time
	attempts []*attempt
	// runs is the number of servers that run the request or may have run it.
	runs int
	// reached is the number of servers that the request has reached, also if they refused to run it.
	reached int
	// refusals holds when a server refused the request.
	refusals map[*server]time.Time
	// parked is when the next choice is due while no server takes the request; zero if an attempt is live.
	parked time.Time
	parks  int
	// fallback is the number of an attempt with a response that is delivered if nothing better comes.
	fallback int
	// lost is set if an attempt may have run and brought no usable response.
	lost bool
	done bool
	// ending is the reason for giving the request up once its attempts have ended; empty if it goes on.
	ending Reason
}

// attempt is one sending of a request.
type attempt struct {
	flight *flight
	number int
	server *server
	sent   time.Time
	// accepted is set once the daemon beside the server has read it, running once the server runs it.
	accepted bool
	running  bool
	// progress is the work done at usual speed up to the time `advanced`, for a running attempt.
	progress time.Duration
	advanced time.Time
	ended    bool
	// withdrawn is set after CancelAttempt.
	withdrawn bool
	// late is set if it was not expected to respond within the target.
	late bool
	// silent is set if the daemon beside the server has not acknowledged it in time.
	silent bool
	// charged is set once it was taken from the budget for repeats.
	charged bool
}

// advance adds the work done since the last call.
func (a *attempt) advance(now time.Time, srv *server) {
	if a.running {
		a.progress += time.Duration(float64(now.Sub(a.advanced)) / srv.slowness(a.advanced))
	}

	a.advanced = now
}

// count returns the number of attempts for which a condition holds.
func (f *flight) count(holds func(a *attempt) bool) int {
	count := 0

	for _, a := range f.attempts {
		if holds(a) {
			count++
		}
	}

	return count
}

// pending is the number of attempts that have not ended, withdrawn ones included.
func (f *flight) pending() int { return f.count(func(a *attempt) bool { return !a.ended }) }

// live is the number of attempts that have neither ended nor been withdrawn.
func (f *flight) live() int {
	return f.count(func(a *attempt) bool { return !a.ended && !a.withdrawn })
}

// mayRun is the number of servers that run the request, may have run it, or may be about to.
func (f *flight) mayRun() int {
	return f.runs + f.count(func(a *attempt) bool { return !a.ended && !a.running })
}

// limit is the number of servers that may run the request.
func (f *flight) limit() int {
	if f.request.Attempts > 0 {
		return f.request.Attempts
	}

	return f.service.attempts
}

// excludes reports whether the request must not go to the server now.
func (f *flight) excludes(now time.Time, srv *server) bool {
	if at, refused := f.refusals[srv]; refused && now.Sub(at) < refusalPeriod {
		return true
	}

	return slices.ContainsFunc(f.attempts, func(a *attempt) bool {
		return a.server == srv && (a.running || !a.ended)
	})
}

func (s *State) arrived(now time.Time, e Arrived) []Effect {
	svc := s.service(e.Request.Service)
	f := &flight{
		request: e.Request, service: svc, estimate: s.estimateOf(e.Request.Route),
		arrived: now, refusals: make(map[*server]time.Time), fallback: -1,
	}
	s.flights[e.Request.ID] = f
	s.counts.Requests++
	svc.hedges.addRequests(now, s.repeats, 1)
	s.countRequest(now, svc)

	effects := s.send(now, f, First)
	s.forget(f)

	return effects
}

func (s *State) accepted(now time.Time, e Accepted) {
	a := s.find(e.ID, e.Number)
	if a == nil || a.ended {
		return
	}

	a.server.answered()

	if !a.accepted && a.server.distance != sameInstance {
		s.acceptance.add(now.Sub(a.sent))
		a.server.acceptance.add(now.Sub(a.sent))
	}

	a.accepted = true

	if e.Running && !a.running {
		s.started(now, a)
	}
}

// started counts an attempt that has reached its server.
func (s *State) started(now time.Time, a *attempt) {
	a.running, a.advanced = true, now
	a.flight.runs++
	a.flight.reached++

	if a.flight.reached > 1 {
		s.charge(now, a)
	}
}

func (s *State) find(id request.ID, number int) *attempt {
	f := s.flights[id]
	if f == nil || number >= len(f.attempts) {
		return nil
	}

	return f.attempts[number]
}

func (s *State) ended(now time.Time, e Ended) []Effect {
	a := s.find(e.ID, e.Number)
	if a == nil || a.ended {
		return nil
	}

	f := a.flight
	s.leave(now, a, e)

	if e.Outcome == Answered && !e.Failure {
		if a.running {
			f.estimate.add(a.progress, e.Bytes)
			f.service.work.add(a.progress, e.Bytes)
		}
	}

	if f.done {
		s.forget(f)

		return nil
	}

	var effects []Effect
	if f.ending != "" {
		effects = s.conclude(now, f)
	} else {
		effects = s.decide(now, a, e)
	}

	s.forget(f)

	return effects
}

// leave takes an attempt from the books of its server.
func (s *State) leave(now time.Time, a *attempt, e Ended) {
	srv := a.server
	a.advance(now, srv)
	a.ended = true
	srv.live = slices.DeleteFunc(srv.live, func(other *attempt) bool { return other == a })

	if srv.unreported > 0 || a.accepted {
		srv.unreported--
	}

	ran := e.Verdict != verdict.NotRun
	if ran && !a.running && (e.Outcome == Answered || e.Outcome == Broken) {
		s.started(now, a)
	}

	if !ran {
		if a.running {
			// The server refused a request that had a slot; it has not run and made no calls.
			a.flight.runs--
		}

		s.refund(now, a)

		a.running = false
	}

	if ran && (e.Outcome == Broken || e.Outcome == Aborted) {
		a.flight.lost = true
	}

	switch e.Outcome {
	case Unreachable:
		srv.missed(now)
	case Answered, Refused:
		srv.answered()
	case Broken, Aborted:
	}
}

// decide says what follows the end of an attempt.
func (s *State) decide(now time.Time, a *attempt, e Ended) []Effect {
	f := a.flight

	switch e.Outcome {
	case Answered:
		if e.Failure && s.mayRepeat(now, f) {
			f.fallback = a.number

			return s.resend(now, f, Retry)
		}

		return s.deliver(f, a.number)
	case Refused, Unreachable:
		f.refusals[a.server] = now

		if a.late && f.live() == 0 {
			return s.giveUp(now, f, Overloaded)
		}

		return s.resend(now, f, Retry)
	case Broken:
		return s.broken(now, a, e.Verdict)
	default:
		// An attempt that was withdrawn because it was silent.
		if f.live() > 0 {
			return nil
		}

		if e.Verdict == verdict.NotRun || s.mayRepeat(now, f) {
			return s.resend(now, f, Moved)
		}

		return s.giveUp(now, f, ConnectionLost)
	}
}

// broken decides after an attempt whose server or daemon broke off.
func (s *State) broken(now time.Time, a *attempt, judged verdict.Verdict) []Effect {
	f := a.flight

	if judged.MayRepeat(f.request.Idempotent()) && (judged == verdict.NotRun || s.mayRepeat(now, f)) {
		f.refusals[a.server] = now

		return s.resend(now, f, Retry)
	}

	switch {
	case f.live() > 0:
		return nil
	case !now.Before(f.request.Deadline):
		return s.giveUp(now, f, DeadlinePassed)
	default:
		return s.giveUp(now, f, ConnectionLost)
	}
}

// resend tries another server unless an attempt is still live.
func (s *State) resend(now time.Time, f *flight, why Reason) []Effect {
	if f.live() > 0 {
		return nil
	}

	if now.After(f.request.Deadline) {
		return s.giveUp(now, f, DeadlinePassed)
	}

	return s.send(now, f, why)
}

// mayRepeat reports whether the request may be run by one more server.
func (s *State) mayRepeat(now time.Time, f *flight) bool {
	return f.request.Idempotent() && f.mayRun() < f.limit() && s.affords(now, f.service, 1)
}
