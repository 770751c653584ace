package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/membership"
)

const (
	// trialShare is the number of daemons of a service and region of which one finds out how many slots are worth using.
	// The others take what most of these have found.
	daemonsPerTrial = 4
	// minTrials is the number of daemons of a service and region that find out at least, so that few requests suffice.
	minTrialDaemons = 2
)

// findings are what daemons of the own service have found of their servers.
type findings map[instance.ID]load.Finding

// most returns the finding for a number of slots that most daemons have, of several the one with the lowest limit; its
// limit is zero if there is none.
func (f findings) mostCommon(slots int) load.Finding {
	counts := make(map[int]int, len(f))

	for _, found := range f {
		if found.Slots == slots {
			counts[found.Limit]++
		}
	}

	best := load.Finding{Slots: slots}

	for limit, reports := range counts {
		if bestCount := counts[best.Limit]; reports > bestCount || reports == bestCount && limit < best.Limit {
			best.Limit = limit
		}
	}

	return best
}

// add replaces what a daemon has found before.
func (f findings) set(id instance.ID, found load.Finding) {
	if found.Limit > 0 {
		f[id] = found
	} else {
		delete(f, id)
	}
}

// takeFindings takes what an earlier run has stored, or else what most daemons of the service have.
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

// useFindings takes what most daemons have found for as many slots as the own server has.
func (s *State) adoptMostCommonFinding(now time.Time) {
	s.concurrency.Adopt(now, s.findings.mostCommon(s.health.Slots()))
}

// findingHeard takes what another daemon of the service says.
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

// assignTrials decides whether this daemon finds out by itself how many slots are worth using. Members are sorted by
// ID.
func (s *State) updateTrialRole(members []instance.Member) {
	rank := 0

	for _, member := range members {
		if member.ID == s.options.Self.ID {
			s.concurrency.SetTrialsEnabled(rank < minTrialDaemons || rank%daemonsPerTrial == 0)

			return
		}

		if member.Service == s.options.Self.Service && member.Place.Region == s.options.Self.Place.Region && member.Usable() {
			rank++
		}
	}
}
