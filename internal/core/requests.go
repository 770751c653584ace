package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// requestArrived routes a request after the check for suspects.
func (s *State) handleRequestArrived(now time.Time, e RequestArrived) []Effect {
	r := e.Request
	if len(e.Parts) > 0 {
		r.Service = s.choosePart(r.Route, e.Parts)
	}

	if e.Local && s.isCall(now, r, e.Stated) {
		r.Depth = 1
	}

	if r.Nested() {
		s.callRates.addCall(r.Service)
	} else {
		r = r.WithSince(now, s.refusedRequests.takeFirstArrival(now, r.Fingerprint))
	}

	s.requests[r.ID] = r
	effects := s.handleMembershipEffects(now, s.membership.Apply(now, membership.Used{Service: r.Service}))

	if s.usesKeyTable(r) {
		return append(effects, s.routeByKey(now, r)...)
	}

	return append(effects, s.route(now, r)...)
}

// ownedArrived asks the key table about a request whose key this daemon owns, or has to refuse.
func (s *State) handleOwnedArrived(now time.Time, r request.Request) []Effect {
	if s.keyReducer == nil {
		return []Effect{Refuse{
			ID: r.ID, Verdict: verdict.MayHaveRun, Delivery: verdict.NotRun, Reason: string(keys.NoPolicy), RetryAfter: ownerRetryAfter,
		}}
	}

	s.requests[r.ID] = r

	return s.applyKeys(now, keys.Arrived{Request: r})
}

// route hands a request to routing after the check for suspects.
func (s *State) route(now time.Time, r request.Request) []Effect {
	if s.suspects.Check(now, r) == suspects.Barred {
		delete(s.requests, r.ID)

		// No delivery of this sending has run.
		return s.finishKeyedRequest(now, Refuse{
			ID: r.ID, Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: CrashesServers, RetryAfter: suspects.Expiry,
		})
	}

	return s.handleRoutingEffects(now, s.routing.Apply(now, routing.Arrived{Request: r}))
}

func (s *State) handleRequestCancelled(now time.Time, id request.ID) []Effect {
	effects, keepsRunning := s.cancelKeyedRequest(now, id)
	if keepsRunning {
		return effects
	}

	delete(s.requests, id)

	return append(effects, s.handleRoutingEffects(now, s.routing.Apply(now, routing.Cancelled{ID: id}))...)
}

// fromRouting passes on routing's effects. An attempt of a suspect asks for a server of its own.
func (s *State) handleRoutingEffects(now time.Time, effects []routing.Effect) []Effect {
	all := make([]Effect, 0, len(effects))

	for _, effect := range effects {
		switch e := effect.(type) {
		case routing.Attempt:
			if s.suspects.Check(now, e.Request) != suspects.Free {
				e.Request = e.Request.WithAlone()
			}

			all = append(all, e)
		case routing.Deliver:
			delete(s.requests, e.ID)

			all = append(all, e)
		case routing.GiveUp:
			if r, known := s.requests[e.ID]; known && e.Verdict == verdict.NotRun && !r.Nested() {
				s.refusedRequests.add(now, r.Since, r.Fingerprint)
			}

			delete(s.requests, e.ID)

			all = append(all, s.finishKeyedRequest(now, Refuse{
				ID: e.ID, Verdict: e.Verdict, Delivery: e.Verdict, Reason: string(e.Reason), RetryAfter: e.RetryAfter,
			})...)
		default:
			all = append(all, effect)
		}
	}

	return all
}

// attemptEnded passes the end of an attempt to routing. If the attempt ended with the crash of a
// server, the request is suspect before routing decides on a retry.
func (s *State) handleAttemptEnded(now time.Time, e AttemptEnded) []Effect {
	var effects []Effect

	if e.Report.Server != "" && e.Report.Server != s.options.Self.ID {
		effects = s.handleRoutingEffects(now, s.routing.Apply(now, routing.Reported{Report: e.Report}))
	}

	r, known := s.requests[e.Ended.ID]
	r.Alone = e.Alone

	if e.Crash != "" && known {
		s.suspects.Apply(now, suspects.Implicated{Source: e.Crash, Request: r})

		if s.suspects.Check(now, r) == suspects.Barred {
			return append(effects, s.refuseBarred(now, r, e.Ended)...)
		}
	}

	effects = append(effects, s.handleRoutingEffects(now, s.routing.Apply(now, e.Ended))...)

	if e.Ended.Outcome == routing.Answered && known {
		effects = append(effects, s.handleSuspectsEffects(now, s.suspects.Apply(now, suspects.Completed{Request: r}))...)
	}

	return effects
}

// endBarred ends a request that has crashed a server while it ran alone.
func (s *State) refuseBarred(now time.Time, r request.Request, ended routing.Ended) []Effect {
	delete(s.requests, r.ID)

	effects := s.finishKeyedRequest(now, Refuse{
		ID: r.ID, Verdict: verdict.MayHaveRun, Delivery: verdict.MayHaveRun, Reason: CrashesServers,
	})
	effects = append(effects, toEffects(s.routing.Apply(now, routing.Cancelled{ID: r.ID}))...)

	return append(effects, toEffects(s.routing.Apply(now, ended))...)
}
