package membership

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

const (
	// surveyInterval is the period at which a daemon that misses a member tries others around it.
	surveyInterval = time.Second
	// surveyLimit bounds the exchanges started at once.
	surveyLimit = 4
)

// count sums up what is known of a part of the fleet.
type count struct {
	// members that are live, and those of them that are accused.
	members, accused int
	// tried members with a recent exchange, and those of them that did not respond.
	tried, silent int
}

// add counts a member. Results of exchanges count while an accusation stands; older ones are from
// before the silence began.
func (c *count) add(e *entry, now time.Time, window time.Duration) {
	c.members++

	if e.member.Status == instance.Accused {
		c.accused++
	}

	if !e.probed.IsZero() && now.Sub(e.probed) <= window {
		c.tried++

		if !e.reached {
			c.silent++
		}
	}
}

// cut reports whether most of the part is silent. One silent member is no partition.
func (c *count) cut() bool {
	return c.accused >= 2 && 2*c.accused > c.members ||
		c.silent >= 2 && 2*c.silent > c.tried
}

// partitioned reports whether the failure domain or the region of a silent member is cut off, or
// whether too little is known to tell.
func (s *State) partitioned(e *entry) bool {
	var domain, region count

	others := false

	for _, other := range s.table.entries {
		if !other.live() || other.member.Place.Region != e.member.Place.Region || other == s.self {
			continue
		}

		region.add(other, s.now, s.stand)

		if other.member.Place == e.member.Place {
			domain.add(other, s.now, s.stand)
		}

		if other != e && other.member.Status == instance.Alive {
			others = true
		}
	}

	return domain.cut() || region.cut() || (others && region.tried < 2)
}

// survey tries members around each neighbour that is silent, to tell a death from a partition.
func (s *State) survey() {
	if s.now.Before(s.surveyAt) {
		return
	}

	s.surveyAt = s.now.Add(surveyInterval)
	started := 0

	for _, l := range s.links {
		e := s.table.index[l.id]
		if !l.out || e == nil || !e.live() || s.now.Sub(l.contact) < s.accuse/2 || started >= surveyLimit {
			continue
		}

		for _, wide := range []bool{false, true} {
			if other := s.sample(e, wide); other != nil {
				started++
				s.exchange(s.open(other.member.ID))
			}
		}
	}
}

// sample chooses a member around a silent one that has not been tried lately: of its failure domain,
// or of the rest of its region.
func (s *State) sample(e *entry, wide bool) *entry {
	var candidates []*entry

	for _, other := range s.table.entries {
		near := other.member.Place == e.member.Place
		if other == e || other == s.self || !other.live() || near == wide ||
			other.member.Place.Region != e.member.Place.Region ||
			s.now.Sub(other.probed) <= s.stand/2 {
			continue
		}

		if l := s.find(other.member.ID); l == nil || !l.inflight {
			candidates = append(candidates, other)
		}
	}

	if len(candidates) == 0 {
		return nil
	}

	return candidates[s.random.IntN(len(candidates))]
}
