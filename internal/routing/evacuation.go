package routing

import (
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// evacuatedRetryAfter is the shortest time after which a caller may retry if all failure domains with servers of the
// service are evacuated. Operators evacuate for minutes, and a retry cannot run before.
const evacuatedRetryAfter = time.Second

// setEvacuated replaces the set of evacuated failure domains. Attempts in progress go on.
func (s *State) setEvacuated(domains []string) {
	clear(s.evacuated)

	for _, domain := range domains {
		s.evacuated[domain] = true
	}
}

// isEvacuated reports whether the failure domain of a server is evacuated, as far as this daemon has heard.
func (s *State) isEvacuated(srv *server) bool { return s.evacuated[srv.member.Place.Domain] }

// onlyEvacuated reports whether the service has servers in the regions that the request allows, all of them in evacuated
// failure domains.
func (s *State) onlyEvacuated(f *flight) bool {
	return len(s.evacuated) > 0 && slices.ContainsFunc(f.service.servers, f.allows) &&
		!slices.ContainsFunc(f.service.servers, func(srv *server) bool { return f.allows(srv) && !s.isEvacuated(srv) })
}

// handleEvacuated chooses another server after the daemon beside one has refused an attempt because its failure domain is
// evacuated, of which this daemon has not heard yet. The refusal says nothing about the load, so it does not count among
// those after which the request accepts any server.
func (s *State) handleEvacuated(now time.Time, a *attempt) []Effect {
	a.server.evacuatedUntil = now.Add(staleAfter)

	return s.resend(now, a.flight, Retry)
}

// isEvacuation reports whether an attempt was refused because its failure domain is evacuated.
func (e Ended) isEvacuation() bool {
	return e.Evacuated && e.Outcome == Refused && e.Verdict == verdict.NotRun
}
