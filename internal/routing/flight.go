package routing

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// attemptsDefault applies to services whose manifest is not known yet.
const attemptsDefault = 3

// bindLatePressure is the share of refused attempts above which late binding pauses: if most servers are
// full, going from one to the next costs time and retries and finds no free slot.
const bindLatePressure = 0.05

// retryFloor is the shortest Retry-After.
const retryFloor = 100 * time.Millisecond

// flight is a request in progress. It is kept until all its attempts have ended, because they count as
// load until then.
type flight struct {
	request  request.Request
	service  *service
	attempts []attempt
	// ran is set once an attempt may have run.
	ran bool
	// over is set once the request was delivered or given up.
	over bool
	// queueFull is set once a server of the region refused although the attempt could have waited;
	// refusals counts all that the region's servers refused.
	queueFull bool
	refusals  int
	// hedgeAt is when a second attempt may be sent; zero if none is.
	hedgeAt time.Time
	// failed is the number of an attempt whose answer reports an error, or -1.
	failed int
	// backlog is the longest wait that a refusal reported.
	backlog time.Duration
}

type attempt struct {
	target *server
	live   bool
	hedge  bool
	noWait bool
	// hint is set if a load hint was paid for.
	hint bool
	// charged is what was taken from the budget for the region link, in bytes.
	charged float64
}

func (f *flight) tried(srv *server) bool {
	for i := range f.attempts {
		if f.attempts[i].target == srv {
			return true
		}
	}

	return false
}

func (f *flight) live() int {
	count := 0

	for i := range f.attempts {
		if f.attempts[i].live {
			count++
		}
	}

	return count
}

func (f *flight) attemptLimit() int {
	if limit := f.service.policy.Retry.Attempts; limit > 0 {
		return limit
	}

	return attemptsDefault
}

func (s *State) arrived(now time.Time, r request.Request) []Effect {
	if _, ok := s.flights[r.ID]; ok {
		return nil
	}

	svc, ok := s.services[r.Service]
	if !ok {
		// Nothing is kept for a name that only a request mentions.
		return []Effect{GiveUp{ID: r.ID, Verdict: verdict.NotRun, Reason: NoServers, RetryAfter: retryFloor}}
	}

	svc.retries.earn(svc.policy.Retry.Share)
	svc.hedges.earn(svc.policy.Hedge.Share)
	s.counts.Requests++

	f := &flight{request: r, service: svc, failed: -1}
	s.flights[r.ID] = f

	if !now.Before(r.Deadline) {
		return s.giveUp(f, DeadlinePassed)
	}

	effects := s.send(now, f, false)
	if !f.over {
		effects = append(effects, s.startTimer(now, f))
	}

	return append(effects, s.probe(now, svc)...)
}

// send starts the next attempt, or gives the request up if there is no server.
func (s *State) send(now time.Time, f *flight, hedge bool) []Effect {
	target := s.choose(now, f, hedge)
	if target == nil {
		if hedge {
			return nil
		}

		reason := NoServers
		if f.backlog > 0 {
			reason = Overloaded
		}

		return s.giveUp(f, reason)
	}

	// An attempt that must not wait in the server's queue needs a retry for the case that it is
	// refused. The retry is paid for now and refunded if it is not needed.
	number := len(f.attempts)
	noWait := hedge || target.local && s.bindLate(now, f)
	a := attempt{target: target, live: true, hedge: hedge, noWait: noWait}
	a.hint = s.uses(Hints) && f.service.measuring.takeHint(now, target)

	if !target.local {
		a.charged = f.service.transfer(f)
		f.service.spill.settle(a.charged)
	}

	f.attempts = append(f.attempts, a)
	target.inFlight++
	target.hint.uses++
	s.counts.Attempts++

	if hedge {
		s.counts.Hedges++
	}

	return []Effect{Attempt{
		Request: f.request, Number: number, Target: target.member, Hedge: hedge, NoWait: noWait,
		Hint: a.hint,
	}}
}

// bindLate decides whether the next attempt is refused instead of queued at a full server.
func (s *State) bindLate(now time.Time, f *flight) bool {
	retries := &f.service.retries

	if f.service.local.pressure.share(now, returnTime) > bindLatePressure {
		return false
	}

	return s.uses(LateBinding) && len(f.attempts)+1 < f.attemptLimit() && !f.request.Alone && retries.plenty() && retries.spend()
}

func (s *State) attemptEnded(now time.Time, e AttemptEnded) []Effect {
	f, ok := s.flights[e.ID]
	if !ok || e.Number < 0 || e.Number >= len(f.attempts) || !f.attempts[e.Number].live {
		return nil
	}

	a := &f.attempts[e.Number]
	a.live = false
	a.target.inFlight--
	f.ran = f.ran || e.Verdict != verdict.NotRun

	s.observe(now, f, a, e)

	if a.noWait && !a.hedge && e.Outcome != Refused {
		f.service.retries.refund()
	}

	if f.over {
		s.forget(f)

		return nil
	}

	switch e.Outcome {
	case Succeeded:
		return s.deliver(f, e.Number)
	case Failed:
		if e.Verdict == verdict.Answered {
			f.failed = e.Number
		}
	case Refused, Unreachable, Lost, TimedOut, Aborted:
	}

	if f.live() > 0 {
		return nil
	}

	if f.failed >= 0 {
		return s.deliver(f, f.failed)
	}

	return s.retry(now, f, a, e)
}

// observe updates what is known of the attempt's server.
func (s *State) observe(now time.Time, f *flight, a *attempt, e AttemptEnded) {
	srv := a.target

	if e.Hinted {
		srv.learn(now, e.Hint)
	}

	if e.Hinted && !a.hint {
		s.counts.Unpaid++
	}

	switch e.Outcome {
	case Succeeded:
		srv.succeeded(now, e.Elapsed)
		f.service.answers.add(now, float64(e.Bytes), latencyFall)
	case Refused:
		s.refused(now, f, a, e)
	case Unreachable:
		srv.unreachable(now)
	case Failed, Lost, TimedOut:
		srv.failed(now)
	case Aborted:
		srv.cancelled(now, e.Elapsed)
	}

	if a.charged > 0 {
		// The answer's size was not known before.
		f.service.spill.settle(float64(e.Bytes) - a.charged)
	}
}

// refused records what a refusal says about the region's load.
func (s *State) refused(now time.Time, f *flight, a *attempt, e AttemptEnded) {
	srv := a.target

	if e.Draining || e.Hinted && e.Hint.Draining {
		srv.unreachable(now)

		return
	}

	wait := f.service.local.latency.value
	if e.Hinted && e.Hint.Limit > 0 {
		wait = e.Hint.Latency.Seconds() * float64(e.Hint.InFlight+e.Hint.Queue) / float64(e.Hint.Limit)
	}

	f.backlog = max(f.backlog, time.Duration(wait*float64(time.Second)), 1)
	srv.tier().pressure.mark(now, true, latencyFall, returnTime)

	if srv.local && !a.hedge {
		f.refusals++
		f.queueFull = f.queueFull || !a.noWait
	}
}

// retry sends another attempt if the verdict, the deadline and the budgets allow it.
func (s *State) retry(now time.Time, f *flight, a *attempt, e AttemptEnded) []Effect {
	switch {
	case !e.Verdict.MayRepeat(f.request.Idempotent()) || f.ran && !f.request.Idempotent():
		return s.giveUp(f, ConnectionLost)
	case !now.Before(f.request.Deadline):
		return s.giveUp(f, DeadlinePassed)
	case len(f.attempts) >= f.attemptLimit():
		if e.Outcome == Refused {
			return s.giveUp(f, Overloaded)
		}

		return s.giveUp(f, AttemptsSpent)
	case a.noWait && !a.hedge && e.Outcome == Refused:
		// The retry was paid for when the attempt was sent.
	case !f.service.retries.spend():
		if e.Outcome == Refused {
			return s.giveUp(f, Overloaded)
		}

		return s.giveUp(f, RetryBudget)
	}

	s.counts.Retries++

	return s.send(now, f, false)
}

func (s *State) deliver(f *flight, number int) []Effect {
	effects := s.cancelLive(f)
	f.over = true
	s.forget(f)
	s.counts.Delivered++

	return append([]Effect{Deliver{ID: f.request.ID, Number: number}}, effects...)
}

func (s *State) giveUp(f *flight, reason Reason) []Effect {
	v := verdict.NotRun
	if f.ran || f.live() > 0 {
		v = verdict.MayHaveRun
	}

	effects := s.cancelLive(f)
	f.over = true
	s.forget(f)
	s.counts.GivenUp++

	return append([]Effect{GiveUp{
		ID: f.request.ID, Verdict: v, Reason: reason, RetryAfter: s.retryAfter(f),
	}}, effects...)
}

// retryAfter is the expected time until the backlog is served, with jitter so that callers that were
// refused together do not return together.
func (s *State) retryAfter(f *flight) time.Duration {
	base := max(retryFloor, 2*f.backlog)

	return base + time.Duration(s.random.Float64()*float64(base))
}

func (s *State) cancelLive(f *flight) []Effect {
	var effects []Effect

	for number := range f.attempts {
		if f.attempts[number].live {
			effects = append(effects, CancelAttempt{ID: f.request.ID, Number: number})
		}
	}

	return effects
}

func (s *State) cancelled(id request.ID) []Effect {
	f, ok := s.flights[id]
	if !ok || f.over {
		return nil
	}

	return s.giveUp(f, CallerCancelled)
}

// unknownHedgePart is the part of the time left after which a second attempt is sent while the latency
// distribution is unknown.
const unknownHedgePart = 4

// startTimer asks to be woken for the hedge or else for the deadline.
func (s *State) startTimer(now time.Time, f *flight) Effect {
	at := f.request.Deadline
	policy := f.service.policy.Hedge

	if f.request.Idempotent() && !f.request.Alone && policy.Share > 0 && s.uses(Hedging) && len(f.attempts) > 0 {
		delay := f.service.spread.quantile(policy.Quantile)
		if delay == 0 {
			// Nothing is known of the latency yet; without a second attempt the first requests of a
			// service would wait for a frozen server until their deadline.
			delay = at.Sub(now) / unknownHedgePart
		}

		if delay > 0 && now.Add(delay).Before(at) {
			f.hedgeAt = now.Add(delay)
			at = f.hedgeAt
		}
	}

	return StartTimer{ID: f.request.ID, After: at.Sub(now)}
}

func (s *State) timerFired(now time.Time, id request.ID) []Effect {
	f, ok := s.flights[id]
	if !ok || f.over {
		return nil
	}

	if !now.Before(f.request.Deadline) {
		return s.giveUp(f, DeadlinePassed)
	}

	if f.hedgeAt.IsZero() || now.Before(f.hedgeAt) {
		return nil
	}

	f.hedgeAt = time.Time{}

	effects := []Effect{StartTimer{ID: id, After: f.request.Deadline.Sub(now)}}
	if f.live() == 1 && len(f.attempts) < f.attemptLimit() && f.service.hedges.spend() {
		effects = append(effects, s.send(now, f, true)...)
	}

	return effects
}

// forget drops the flight once nothing can refer to it.
func (s *State) forget(f *flight) {
	if f.over && f.live() == 0 {
		delete(s.flights, f.request.ID)
	}
}
