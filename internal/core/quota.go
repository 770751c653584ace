package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/quota"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// targetOf returns the time by which the caller of a request wants the response.
func targetOf(r request.Request) time.Time {
	if r.Target.IsZero() {
		return r.Deadline
	}

	return r.Target
}

// applyQuota passes an event to the rate limits. It dispatches the requests that have got a token and refuses those
// that get none.
func (s *State) applyQuota(now time.Time, event quota.Event) []Effect {
	var all []Effect

	for _, effect := range s.quota.Apply(now, event) {
		switch e := effect.(type) {
		case quota.Admit:
			if r, known := s.requests[e.ID]; known {
				all = append(all, s.dispatch(now, r)...)
			}
		case quota.Refuse:
			if r, known := s.requests[e.ID]; known {
				s.refusedRequests.add(now, r.Since, r.Fingerprint)
			}

			delete(s.requests, e.ID)

			all = append(all, Refuse{
				ID: e.ID, Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: string(e.Reason),
				RetryAfter: e.RetryAfter,
			})
		default:
			all = append(all, effect)
		}
	}

	return all
}

// returnTokens gives back the tokens of the requests that the effects refuse and that have not run. It returns the
// effects with those that follow.
func (s *State) returnTokens(now time.Time, effects []Effect) []Effect {
	for i := 0; i < len(effects); i++ {
		if refused, ok := effects[i].(Refuse); ok && refused.Delivery == verdict.NotRun {
			effects = append(effects, s.applyQuota(now, quota.Returned{ID: refused.ID})...)
		}
	}

	return effects
}

// updateQuotaMembers passes the members to the rate limits: their number decides the share of this daemon.
func (s *State) updateQuotaMembers(now time.Time) []Effect {
	if !s.quota.Active() {
		return nil
	}

	s.quotaListed = s.membership.Listed()

	return s.applyQuota(now, quota.MembersChanged{Members: s.membership.List(), Listed: s.quotaListed})
}

// updateQuotaContact tells the rate limits when the members are known and when all of them know this run of the daemon.
func (s *State) updateQuotaContact(now time.Time) []Effect {
	if !s.quota.Active() {
		return nil
	}

	var effects []Effect

	if s.quotaListed != s.membership.Listed() {
		effects = s.updateQuotaMembers(now)
	}

	if s.quotaListed && s.quota.NeedsContact() && s.membership.NeighboursHeard() {
		effects = append(effects, s.applyQuota(now, quota.Contacted{})...)
	}

	return effects
}
