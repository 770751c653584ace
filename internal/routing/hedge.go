package routing

import "time"

const (
	// hedgeReserve is the part of the budget for repeats that hedging leaves to retries after failures.
	hedgeReserve = 2
	// hedgeGain is the time that a second attempt has to save at least.
	hedgeGain = 60 * time.Millisecond
)

// hedge sends a second attempt for requests that a server has become too slow for.
func (s *State) hedge(now time.Time, srv *server) []Effect {
	var effects []Effect

	for _, a := range srv.live {
		if a.running && !a.withdrawn && !a.flight.done && a.flight.ending == "" {
			effects = append(effects, s.hedgeOne(now, a)...)
		}
	}

	return effects
}

func (s *State) hedgeOne(now time.Time, a *attempt) []Effect {
	f := a.flight
	if f.live() > 1 || !s.mayRepeat(now, f) ||
		!s.affords(now, f.service, hedgeReserve) || !s.mayHedge(now, f.service) {
		return nil
	}

	left := a.remaining(now)
	target := f.request.Target

	if target.IsZero() {
		target = f.request.Deadline
	}

	if !now.Add(left).After(target) {
		return nil
	}

	chosen := s.choose(now, f)
	if chosen.server == nil {
		return nil
	}

	expected := time.Duration(chosen.cost.time * float64(time.Second))
	rescued := !now.Add(expected).After(target) ||
		now.Add(left).After(f.request.Deadline) && !now.Add(expected).After(f.request.Deadline)

	if !rescued || expected+hedgeGain > left {
		return nil
	}

	s.counts.Hedges++
	f.service.hedges.addRepeats(now, s.repeats, 1)

	return s.send(now, f, Hedge)
}

// mayHedge reports whether the service's limit on hedged attempts leaves room for one more.
func (s *State) mayHedge(now time.Time, svc *service) bool {
	requests, hedges := svc.hedges.counted(now, s.repeats)

	return hedges+1 <= svc.hedgeShare*requests
}

// remaining is the time that a running attempt is expected to need further. An attempt that has taken much
// longer than usual is expected to take as long again, because it may be lost.
func (a *attempt) remaining(now time.Time) time.Duration {
	slow := a.server.slowness(now)
	done := a.progress + time.Duration(float64(now.Sub(a.advanced))/slow)
	usual := a.flight.estimate.workOrDefault()
	left := max(usual-done, done-usual, usual/5)

	return min(time.Duration(float64(left)*slow), left+spell)
}
