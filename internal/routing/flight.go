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
	// lateTries is the number of servers that are asked for a free slot once a request can no longer respond within
	// its target. Its place in a queue would make another request late.
	lateTries = 3
	// parkPeriod is the pause after which a request that no server takes is tried again.
	parkPeriod = 20 * time.Millisecond
	// parkLimit bounds the pauses in a row; then the request is refused. A nested call goes on to its deadline,
	// because the work of its parent would be lost.
	parkLimit = 5
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
	// late is the number of servers that had no slot for the request after its target was out of reach.
	late int
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
}

// advance adds the work done since the last call.
func (a *attempt) advance(now time.Time, srv *server) {
	if a.running {
		a.progress += time.Duration(float64(now.Sub(a.advanced)) / srv.slowness(a.advanced))
	}

	a.advanced = now
}

// pending is the number of attempts that have not ended, withdrawn ones included.
func (f *flight) pending() int {
	count := 0

	for _, a := range f.attempts {
		if !a.ended {
			count++
		}
	}

	return count
}

// mayRun is the number of servers that run the request, may have run it, or may be about to.
func (f *flight) mayRun() int {
	count := f.runs

	for _, a := range f.attempts {
		if !a.ended && !a.running {
			count++
		}
	}

	return count
}

func (f *flight) live() int {
	count := 0

	for _, a := range f.attempts {
		if !a.ended && !a.withdrawn {
			count++
		}
	}

	return count
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
	svc.budget.addRequest(now, s.repeats)
	svc.hedges.addRequest(now, s.repeats)
	svc.budget.addRepeats(now, s.repeats, e.Repeated)

	effects := s.send(now, f, First)
	s.forget(f)

	return effects
}

// send starts an attempt at the best server, parks the request or gives it up.
func (s *State) send(now time.Time, f *flight, why Reason) []Effect {
	if f.reached > 0 && (f.reached > f.limit() || f.service.budget.left(now, s.repeats, s.daemons) < 1) {
		if f.live() > 0 {
			return nil
		}

		return s.giveUp(now, f, Exhausted)
	}

	chosen := s.choose(now, f)
	left := f.request.Deadline.Sub(now)

	if chosen.server == nil || chosen.cost.time > left.Seconds() {
		return s.park(now, f, chosen)
	}

	a := &attempt{
		flight: f, number: len(f.attempts), server: chosen.server, sent: now, advanced: now, late: f.isLate(now, chosen),
	}
	f.attempts = append(f.attempts, a)
	f.parked = time.Time{}
	chosen.server.live = append(chosen.server.live, a)
	chosen.server.unreported++

	if chosen.server.distance == otherRegion {
		f.service.spill.use(now, f.bytes())
	}

	s.counts.Attempts++

	return []Effect{Attempt{
		Request: f.request, Number: a.number, Target: chosen.server.member,
		Wait: a.longestWait(now, chosen), Slowest: s.slowest(f, chosen), Repeat: f.reached > 0, Why: why, Basis: s.basis(now, f, chosen),
	}}
}

// isLate reports whether a response is expected after the target. A nested call is never late, because the work of
// its parent would be lost.
func (f *flight) isLate(now time.Time, chosen choice) bool {
	target := f.request.Target

	return !target.IsZero() && !f.request.Nested() && now.Add(seconds(chosen.cost.time)).After(target)
}

// longestWait is how long an attempt may wait for a slot: while it can still respond in time.
func (a *attempt) longestWait(now time.Time, chosen choice) time.Duration {
	if a.late {
		return 0
	}

	until := a.flight.request.Deadline
	if target := a.flight.request.Target; !target.IsZero() && !a.flight.request.Nested() {
		until = target
	}

	wait := min(max(roundTime/time.Duration(max(1, chosen.candidates)), waitMin), waitMax)

	return max(0, min(wait, until.Sub(now)-seconds(chosen.cost.run)))
}

func (s *State) basis(now time.Time, f *flight, chosen choice) Basis {
	srv := chosen.server
	b := Basis{
		Expected: seconds(chosen.cost.time), Next: seconds(chosen.next), Ahead: srv.ahead(now) - 1, Slots: srv.slots(),
		Slowness: srv.slowness(now), Failing: srv.report.Failing, Age: -1, Candidates: chosen.candidates,
		Budget: f.service.budget.left(now, s.repeats, s.daemons),
	}

	if !srv.heard.IsZero() {
		b.Age = now.Sub(srv.heard)
	}

	return b
}

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

const (
	// slowestMin is the slowness that is never a reason to refuse.
	slowestMin = 1.6
	// slowestRefusals is the number of refusals after which a request takes any server.
	slowestRefusals = 2
)

// slowest is the slowness above which the next best server is the better choice.
func (s *State) slowest(f *flight, chosen choice) float64 {
	if !chosen.others || len(f.refusals) >= slowestRefusals {
		return 0
	}

	return max(slowestMin, chosen.next/f.estimate.workOrDefault().Seconds())
}

// park keeps a request that no server can take for a moment, or gives it up.
func (s *State) park(now time.Time, f *flight, chosen choice) []Effect {
	if f.live() > 0 {
		return nil
	}

	f.parks++

	switch {
	case f.fallback >= 0 && f.parks > 1:
		return s.giveUp(now, f, Exhausted)
	case len(f.service.servers) == 0:
		return s.giveUp(now, f, NoServers)
	case chosen.server != nil || f.parks > parkLimit && !f.request.Nested():
		return s.giveUp(now, f, Overloaded)
	}

	f.parked = now.Add(parkPeriod)

	return nil
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
		a.flight.service.budget.addRepeats(now, s.repeats, 1+a.server.report.Calls)
		s.counts.Repeats++
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

			if a.flight.reached > 1 {
				a.flight.service.budget.addRepeats(now, s.repeats, -srv.report.Calls)
			}
		}

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

		if a.late {
			f.late++
		}

		if f.late >= lateTries && f.live() == 0 {
			return s.giveUp(now, f, Overloaded)
		}

		return s.resend(now, f, Retry)
	case Broken:
		if e.Verdict.MayRepeat(f.request.Idempotent()) && (e.Verdict == verdict.NotRun || s.mayRepeat(now, f)) {
			f.refusals[a.server] = now

			return s.resend(now, f, Retry)
		}

		if f.live() > 0 {
			return nil
		}

		return s.giveUp(now, f, Lost)
	default:
		// An attempt that was withdrawn because it was silent.
		if f.live() > 0 {
			return nil
		}

		if e.Verdict == verdict.NotRun || s.mayRepeat(now, f) {
			return s.resend(now, f, Moved)
		}

		return s.giveUp(now, f, Lost)
	}
}

// resend tries another server unless an attempt is still live.
func (s *State) resend(now time.Time, f *flight, why Reason) []Effect {
	if f.live() > 0 {
		return nil
	}

	if now.After(f.request.Deadline) {
		return s.giveUp(now, f, Deadline)
	}

	return s.send(now, f, why)
}

// mayRepeat reports whether the request may be run by one more server.
func (s *State) mayRepeat(now time.Time, f *flight) bool {
	return f.request.Idempotent() && f.mayRun() < f.limit() &&
		f.service.budget.left(now, s.repeats, s.daemons) >= 1
}

// deliver ends a request with the response of an attempt.
func (s *State) deliver(f *flight, number int) []Effect {
	effects := s.withdraw(f, number, Superseded)
	f.done = true
	s.counts.Delivered++

	return append(effects, Deliver{ID: f.request.ID, Number: number})
}

// giveUp ends a request without a response, or with one that a server gave for its own failure.
func (s *State) giveUp(now time.Time, f *flight, reason Reason) []Effect {
	if f.ending != "" {
		return nil
	}

	if f.fallback >= 0 {
		return s.deliver(f, f.fallback)
	}

	f.ending = reason

	return append(s.withdraw(f, -1, reason), s.conclude(now, f)...)
}

// conclude ends a request that is given up when the last of its attempts has ended: only then it is known
// whether it may have run.
func (s *State) conclude(now time.Time, f *flight) []Effect {
	if f.pending() > 0 {
		return nil
	}

	judged := verdict.NotRun
	if f.runs > 0 || f.lost {
		judged = verdict.MayHaveRun
	}

	f.done = true
	s.counts.GivenUp++

	return []Effect{GiveUp{
		ID: f.request.ID, Verdict: judged, Reason: f.ending, RetryAfter: s.retryAfter(now, f),
	}}
}

// retryAfter is when a server of the service is expected to have room.
func (s *State) retryAfter(now time.Time, f *flight) time.Duration {
	shortest := time.Duration(0)

	for _, srv := range f.service.servers {
		excess := srv.ahead(now) - srv.slots() + 1
		work := f.service.work.workOrDefault().Seconds() * srv.slowness(now)
		wait := time.Duration(work * float64(max(0, excess)) / float64(srv.slots()) * float64(time.Second))

		if shortest == 0 || wait < shortest {
			shortest = wait
		}
	}

	// Callers that were refused together come back spread over as long again.
	base := max(minRetryAfter, shortest)

	return base + time.Duration(s.random.Int64N(int64(base)))
}

// withdraw cancels the live attempts of a request but one.
func (s *State) withdraw(f *flight, keep int, why Reason) []Effect {
	var effects []Effect

	for _, a := range f.attempts {
		if !a.ended && !a.withdrawn && a.number != keep {
			a.withdrawn = true

			effects = append(effects, CancelAttempt{ID: f.request.ID, Number: a.number, Why: why})
		}
	}

	return effects
}

func (s *State) cancelled(e Cancelled) []Effect {
	f := s.flights[e.ID]
	if f == nil || f.done {
		return nil
	}

	f.ending = ""
	effects := s.withdraw(f, -1, CallerLeft)
	f.done = true
	s.forget(f)

	return effects
}

// forget drops a request that is done and has no attempt in progress.
func (s *State) forget(f *flight) {
	if !f.done {
		return
	}

	for _, a := range f.attempts {
		if !a.ended {
			return
		}
	}

	delete(s.flights, f.request.ID)
}
