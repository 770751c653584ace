package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/membership"
)

const (
	// daemonsPerTrial is the number of daemons of a service and region of which one runs trials to measure how many
	// slots are worth using. The others adopt the finding that most of these have.
	daemonsPerTrial = 4
	// minTrialDaemons is the least number of daemons of a service and region that run trials, so that a result is
	// reached with few requests.
	minTrialDaemons = 2
)

// findings holds the findings of the daemons of the own service. A finding is the number of a server's slots that are
// worth using, that is, its concurrency limit.
type findings map[instance.ID]load.Finding

// mostCommon returns the finding that most daemons have for a number of slots. On a tie it returns the one with the
// lowest limit. Without any finding its limit is zero.
func (f findings) mostCommon(slots int) load.Finding {
	counts := make(map[int]int, len(f))

	for _, finding := range f {
		if finding.Slots == slots {
			counts[finding.Limit]++
		}
	}

	best := load.Finding{Slots: slots}

	for limit, count := range counts {
		if bestCount := counts[best.Limit]; count > bestCount || count == bestCount && limit < best.Limit {
			best.Limit = limit
		}
	}

	return best
}

// set replaces the finding of a daemon; one without a limit removes it.
func (f findings) set(id instance.ID, finding load.Finding) {
	if finding.Limit > 0 {
		f[id] = finding
	} else {
		delete(f, id)
	}
}

// restoreFinding adopts the finding that an earlier run of the daemon has stored, or else the most common one of the
// service.
func (s *State) restoreFinding(now time.Time, e membership.Ready) {
	if e.Own.Limit > 0 {
		s.concurrency.Adopt(now, load.Finding{Slots: e.Own.Member.Slots, Limit: e.Own.Limit})

		return
	}

	for _, entry := range e.Service {
		s.findings.set(entry.Member.ID, load.Finding{Slots: entry.Member.Slots, Limit: entry.Limit})
	}

	s.adoptMostCommonFinding(now)
}

// adoptMostCommonFinding adopts the most common finding for the number of slots that the own server has.
func (s *State) adoptMostCommonFinding(now time.Time) {
	s.concurrency.Adopt(now, s.findings.mostCommon(s.health.Slots()))
}

// handlePeerFinding records the finding in the report of another daemon of the service.
func (s *State) handlePeerFinding(now time.Time, report load.Report) {
	member, known := s.membership.Member(report.Server)
	if !known || member.Service != s.options.Self.Service || report.Server == s.options.Self.ID {
		return
	}

	if s.findings[report.Server] != report.Found {
		s.findings.set(report.Server, report.Found)
		s.adoptMostCommonFinding(now)
	}
}

// updateTrialRole decides whether this daemon runs trials to measure its server's concurrency limit. The members are
// sorted by ID, so all daemons of a service and region come to the same assignment.
func (s *State) updateTrialRole(members []instance.Member) {
	rank := 0

	for _, member := range members {
		if member.ID == s.options.Self.ID {
			s.concurrency.SetTrialsEnabled(rank < minTrialDaemons || rank%daemonsPerTrial == 0)

			return
		}

		if member.Service == s.options.Self.Service && member.Place.Region == s.options.Self.Place.Region &&
			member.Usable() {
			rank++
		}
	}
}
