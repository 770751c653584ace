package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// requestArrived routes a request, unless its key belongs to another daemon.
func (s *State) requestArrived(now time.Time, r request.Request) []Effect {
	if r.Idempotent() || r.Key == "" {
		s.requests[r.ID] = &tracked{request: r}

		return s.route(now, r)
	}

	owner, incarnation, known := s.keys.Owner(r.Service, r.Key)
	if !known || (owner == s.self.ID && incarnation == s.self.Incarnation) {
		return s.ownedArrived(now, r)
	}

	s.requests[r.ID] = &tracked{request: r}

	member, found := s.membership.Member(owner)
	if found && member.Incarnation == incarnation && member.Status != instance.Dead && member.Status != instance.Left {
		return []Effect{Forward{ID: r.ID, Owner: member}}
	}

	return []Effect{Refuse{
		ID: r.ID, Verdict: verdict.MayHaveRun, Delivery: verdict.NotRun,
		Reason: string(keys.OwnerLost), RetryAfter: ownerRetry,
	}}
}

// ownedArrived asks the key table about a request whose key this daemon owns, or has to refuse.
func (s *State) ownedArrived(now time.Time, r request.Request) []Effect {
	s.requests[r.ID] = &tracked{request: r}

	return s.fromKeys(now, s.keys.Apply(now, keys.Arrived{Request: r}))
}

// route hands a request to routing after the check for suspects.
func (s *State) route(now time.Time, r request.Request) []Effect {
	if s.suspects.Check(now, r) == suspects.Barred {
		return s.refuseBarred(now, r)
	}

	return s.fromRouting(now, s.routing.Apply(now, routing.Arrived{Request: r}))
}

// refuseBarred refuses a request that crashes servers. It was not run only if no earlier delivery of
// its key can have run, which the key table has shown by admitting it; without a key it may have been
// sent before.
func (s *State) refuseBarred(now time.Time, r request.Request) []Effect {
	refusal := Refuse{
		ID: r.ID, Verdict: verdict.MayHaveRun, Delivery: verdict.NotRun,
		Reason: CrashesServers, RetryAfter: suspects.Expiry,
	}

	if t := s.requests[r.ID]; t != nil && t.admitted && !t.attempted {
		refusal.Verdict = verdict.NotRun
	} else if t != nil && t.attempted {
		refusal.Delivery = verdict.MayHaveRun
	}

	return s.conclude(now, refusal)
}

// conclude ends a request without a response and tells the key table, which answers the resends that
// wait for the same outcome.
func (s *State) conclude(now time.Time, refusal Refuse) []Effect {
	effects := []Effect{refusal}

	if t := s.requests[refusal.ID]; t != nil && t.admitted {
		t.admitted = false
		effects = append(effects, s.fromKeys(now, s.keys.Apply(now, keys.Finished{
			ID: refusal.ID, Verdict: refusal.Verdict, RetryAfter: refusal.RetryAfter,
		}))...)
	}

	return effects
}

// fromRouting passes on routing's effects. An attempt of a suspect asks for a server of its own.
func (s *State) fromRouting(now time.Time, effects []routing.Effect) []Effect {
	all := make([]Effect, 0, len(effects))

	for _, effect := range effects {
		switch e := effect.(type) {
		case routing.Attempt:
			if s.suspects.Check(now, e.Request) != suspects.Free {
				e.Request = e.Request.WithAlone()
			}

			if t := s.requests[e.Request.ID]; t != nil {
				t.attempted = true
			}

			all = append(all, e)
		case routing.GiveUp:
			all = append(all, s.conclude(now, Refuse{
				ID: e.ID, Verdict: e.Verdict, Delivery: e.Verdict,
				Reason: string(e.Reason), RetryAfter: e.RetryAfter,
			})...)
		default:
			all = append(all, effect)
		}
	}

	return all
}

// attemptEnded passes the end of an attempt to routing. If the attempt ended with the crash of a
// server, the request is suspect before routing decides on a retry.
func (s *State) attemptEnded(now time.Time, e AttemptEnded) []Effect {
	t := s.requests[e.Ended.ID]

	if e.Crash != "" && t != nil {
		r := t.request
		r.Alone = e.Alone
		s.suspects.Apply(now, suspects.Implicated{Source: e.Crash, Request: r})

		if s.suspects.Check(now, r) == suspects.Barred {
			// The request ends here; routing still needs the event for its count of requests in flight.
			effects := s.refuseBarred(now, r)
			s.routing.Apply(now, routing.Cancelled{ID: r.ID})
			s.routing.Apply(now, e.Ended)

			return effects
		}
	}

	effects := s.fromRouting(now, s.routing.Apply(now, e.Ended))
	if e.Ended.Outcome == routing.Succeeded && t != nil {
		r := t.request
		r.Alone = e.Alone
		effects = append(effects, list(s.suspects.Apply(now, suspects.Completed{Request: r}))...)
	}

	return effects
}

// fromKeys passes on the effects of the key table; an admitted request is routed.
func (s *State) fromKeys(now time.Time, effects []keys.Effect) []Effect {
	var all []Effect

	for _, effect := range effects {
		switch e := effect.(type) {
		case keys.Admit:
			if t := s.requests[e.Request.ID]; t != nil {
				t.admitted = true
			}

			all = append(all, s.route(now, e.Request)...)
		case keys.Refuse:
			all = append(all, Refuse{
				ID: e.ID, Verdict: e.Verdict, Delivery: e.Delivery,
				Reason: string(e.Reason), RetryAfter: e.RetryAfter,
			})
		case keys.Wait:
			// The request stays pending until Replay or Refuse.
		case keys.AppendGrants:
			all = append(all, s.appendGrants(now, e.Record)...)
		default:
			all = append(all, effect)
		}
	}

	return all
}

// answered reports the outcome of an admitted request whose response is at hand.
func (s *State) answered(now time.Time, e Answered) []Effect {
	t := s.requests[e.ID]
	if t == nil || !t.admitted {
		return nil
	}

	t.admitted = false

	return s.fromKeys(now, s.keys.Apply(now, keys.Finished{ID: e.ID, Verdict: verdict.Answered, Response: e.Response}))
}

// requestCancelled stops a request whose caller has gone away. An admitted request runs on, because
// the caller may resend its key and ask for the outcome.
func (s *State) requestCancelled(now time.Time, id request.ID) []Effect {
	t := s.requests[id]
	if t == nil || t.admitted {
		return nil
	}

	effects := s.fromKeys(now, s.keys.Apply(now, keys.Cancelled{ID: id}))

	effects = append(effects, s.fromRouting(now, s.routing.Apply(now, routing.Cancelled{ID: id}))...)

	return append(effects, Abandon{ID: id})
}
