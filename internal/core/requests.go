package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/quota"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// handleRequestArrived chooses the service of a request and passes the request to the key table or to routing. A request
// of a tenant with a rate limit needs a token before.
func (s *State) handleRequestArrived(now time.Time, e RequestArrived) []Effect {
	r := e.Request
	if len(e.Parts) > 0 {
		r.Service = s.choosePart(r.Route, e.Parts)
	}

	if e.Local && s.isCall(now, e) {
		r.Depth = 1
	}

	if e.CallOnly && !r.Nested() {
		return []Effect{Refuse{
			ID: r.ID, Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: Unauthenticated,
		}}
	}

	if r.Nested() {
		s.callRates.addCall(r.Service)
	} else {
		r = r.WithSince(now, s.refusedRequests.takeFirstArrival(now, r.Fingerprint))
	}

	s.requests[r.ID] = r
	effects := s.handleMembershipEffects(now, s.membership.Apply(now, membership.Used{Service: r.Service}))

	if !r.Nested() && s.quota.Limited(r.Tenant) {
		return append(effects, s.applyQuota(now, quota.Arrived{ID: r.ID, Tenant: r.Tenant, Target: targetOf(r)})...)
	}

	return append(effects, s.dispatch(now, r)...)
}

// dispatch passes a request to the key table or to routing.
func (s *State) dispatch(now time.Time, r request.Request) []Effect {
	if s.UsesKeyTable(r) {
		return s.routeByKey(now, r)
	}

	return s.route(now, r)
}

// handleOwnedArrived passes a request to the key table. It refuses the request if there is none: this daemon has not
// read a manifest with keys yet.
func (s *State) handleOwnedArrived(now time.Time, r request.Request) []Effect {
	if s.keyReducer == nil {
		return []Effect{Refuse{
			ID: r.ID, Verdict: verdict.MayHaveRun, Delivery: verdict.NotRun,
			Reason: string(keys.NoPolicy), RetryAfter: ownerRetryAfter,
		}}
	}

	s.requests[r.ID] = r

	return s.applyKeys(now, keys.Arrived{Request: r})
}

// route passes a request to routing. It refuses a request that is known to crash servers.
func (s *State) route(now time.Time, r request.Request) []Effect {
	if s.suspects.Check(now, r) == suspects.Barred {
		delete(s.requests, r.ID)

		// Nothing was sent to a server for this request.
		return s.finishKeyedRequest(now, Refuse{
			ID: r.ID, Verdict: verdict.NotRun, Delivery: verdict.NotRun,
			Reason: CrashesServers, RetryAfter: suspects.Expiry,
		})
	}

	return s.handleRoutingEffects(now, s.routing.Apply(now, routing.Arrived{Request: r}))
}

func (s *State) handleRequestCancelled(now time.Time, id request.ID) []Effect {
	waiting := s.applyQuota(now, quota.Cancelled{ID: id})

	effects, keepsRunning := s.cancelKeyedRequest(now, id)
	effects = append(waiting, effects...)

	if keepsRunning {
		return effects
	}

	delete(s.requests, id)

	return append(effects, s.handleRoutingEffects(now, s.routing.Apply(now, routing.Cancelled{ID: id}))...)
}

// handleRoutingEffects passes routing's effects to the daemon and ends the requests that routing has delivered or
// given up. An attempt of a request that may have crashed a server has to run while no other one does.
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

// handleAttemptEnded passes the end of an attempt to routing. If the attempt ended with the crash of a server, it
// reports the request to suspects first, so that a retry runs alone or is refused.
func (s *State) handleAttemptEnded(now time.Time, e AttemptEnded) []Effect {
	var effects []Effect

	s.recordNotice(e.From, e.Notice)

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
		effects = append(effects, s.handleSuspectsEffects(now, s.suspects.Apply(now, suspects.Completed{
			Request: r,
		}))...)
	}

	return effects
}

// refuseBarred ends a request that crashed a server while nothing else ran there.
func (s *State) refuseBarred(now time.Time, r request.Request, ended routing.Ended) []Effect {
	delete(s.requests, r.ID)

	effects := s.finishKeyedRequest(now, Refuse{
		ID: r.ID, Verdict: verdict.MayHaveRun, Delivery: verdict.MayHaveRun, Reason: CrashesServers,
	})
	effects = append(effects, toEffects(s.routing.Apply(now, routing.Cancelled{ID: r.ID}))...)

	return append(effects, toEffects(s.routing.Apply(now, ended))...)
}
