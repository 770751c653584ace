package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/internal/v2/membership"
	"github.com/tarragonmill/tarragonmill/internal/v2/routing"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// requestArrived routes a request after the check for suspects.
func (s *State) requestArrived(now time.Time, e RequestArrived) []Effect {
	r := e.Request
	if len(e.Parts) > 0 {
		r.Service = s.choosePart(r.Route, e.Parts)
	}

	repeated := 0.0

	if r.Nested() {
		s.calls.add(1)
		repeated = s.repeatShare()
	}

	s.requests[r.ID] = r
	effects := s.fromMembership(now, s.membership.Apply(now, membership.Used{Service: r.Service}))

	if s.suspects.Check(now, r) == suspects.Barred {
		return append(effects, s.refuseBarred(r))
	}

	return append(effects, s.fromRouting(now, s.routing.Apply(now, routing.Arrived{Request: r, Repeated: repeated}))...)
}

// refuseBarred refuses a request that crashes servers. No delivery of this sending has run.
func (s *State) refuseBarred(r request.Request) Effect {
	delete(s.requests, r.ID)

	return Refuse{ID: r.ID, Verdict: verdict.NotRun, Reason: CrashesServers, RetryAfter: suspects.Expiry}
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

			all = append(all, e)
		case routing.Deliver:
			delete(s.requests, e.ID)

			all = append(all, e)
		case routing.GiveUp:
			delete(s.requests, e.ID)

			all = append(all, Refuse{ID: e.ID, Verdict: e.Verdict, Reason: string(e.Reason), RetryAfter: e.RetryAfter})
		default:
			all = append(all, effect)
		}
	}

	return all
}

// attemptEnded passes the end of an attempt to routing. If the attempt ended with the crash of a
// server, the request is suspect before routing decides on a retry.
func (s *State) attemptEnded(now time.Time, e AttemptEnded) []Effect {
	var effects []Effect

	if e.Report.Server != "" && e.Report.Server != s.options.Self.ID {
		effects = s.fromRouting(now, s.routing.Apply(now, routing.Reported{Report: e.Report}))
	}

	r, known := s.requests[e.Ended.ID]
	r.Alone = e.Alone

	if e.Crash != "" && known {
		s.suspects.Apply(now, suspects.Implicated{Source: e.Crash, Request: r})

		if s.suspects.Check(now, r) == suspects.Barred {
			return append(effects, s.endBarred(now, r, e.Ended)...)
		}
	}

	effects = append(effects, s.fromRouting(now, s.routing.Apply(now, e.Ended))...)

	if e.Ended.Outcome == routing.Answered && known {
		effects = append(effects, list(s.suspects.Apply(now, suspects.Completed{Request: r}))...)
	}

	return effects
}

// endBarred ends a request that has crashed a server while it ran alone.
func (s *State) endBarred(now time.Time, r request.Request, ended routing.Ended) []Effect {
	delete(s.requests, r.ID)

	effects := []Effect{Refuse{ID: r.ID, Verdict: verdict.MayHaveRun, Reason: CrashesServers}}
	effects = append(effects, list(s.routing.Apply(now, routing.Cancelled{ID: r.ID}))...)

	return append(effects, list(s.routing.Apply(now, ended))...)
}
