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
	trialShare = 4
	// minTrials is the number of daemons of a service and region that find out at least, so that few requests suffice.
	minTrials = 2
)

// findings are what daemons of the own service have found of their servers.
type findings map[instance.ID]load.Finding

// most returns the finding for a number of slots that most daemons have, of several the one with the lowest limit; its
// limit is zero if there is none.
func (f findings) most(slots int) load.Finding {
	limits := make(map[int]int, len(f))

	for _, found := range f {
		if found.Slots == slots {
			limits[found.Limit]++
		}
	}

	best := load.Finding{Slots: slots}

	for limit, count := range limits {
		if most := limits[best.Limit]; count > most || count == most && limit < best.Limit {
			best.Limit = limit
		}
	}

	return best
}

// add replaces what a daemon has found before.
func (f findings) add(id instance.ID, found load.Finding) {
	if found.Limit > 0 {
		f[id] = found
	} else {
		delete(f, id)
	}
}

// takeFindings takes what an earlier run has stored, or else what most daemons of the service have.
func (s *State) takeFindings(now time.Time, e membership.Ready) {
	if e.Own.Limit > 0 {
		s.concurrency.Adopt(now, load.Finding{Slots: e.Own.Member.Slots, Limit: e.Own.Limit})

		return
	}

	for _, entry := range e.Service {
		s.findings.add(entry.Member.ID, load.Finding{Slots: entry.Member.Slots, Limit: entry.Limit})
	}

	s.useFindings(now)
}

// useFindings takes what most daemons have found for as many slots as the own server has.
func (s *State) useFindings(now time.Time) {
	s.concurrency.Adopt(now, s.findings.most(s.health.Slots()))
}

// findingHeard takes what another daemon of the service says.
func (s *State) findingHeard(now time.Time, report load.Report) {
	member, known := s.membership.Member(report.Server)
	if !known || member.Service != s.options.Self.Service || report.Server == s.options.Self.ID {
		return
	}

	if s.findings[report.Server] != report.Found {
		s.findings.add(report.Server, report.Found)
		s.useFindings(now)
	}
}

// assignTrials decides whether this daemon finds out by itself how many slots are worth using. Members are sorted by
// ID.
func (s *State) assignTrials(members []instance.Member) {
	rank := 0

	for _, member := range members {
		if member.ID == s.options.Self.ID {
			s.concurrency.SetTrialsEnabled(rank < minTrials || rank%trialShare == 0)

			return
		}

		if member.Service == s.options.Self.Service && member.Place.Region == s.options.Self.Place.Region && member.Usable() {
			rank++
		}
	}
}
