package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// watch chooses the members to watch: for each service that this daemon sends requests of, servers of its
// region, the near ones first.
func (s *State) watch(now time.Time) {
	chosen := make(map[*peer]bool, maxWatched)

	for _, p := range s.shortlist() {
		chosen[p] = true
	}

	for _, p := range s.order {
		if chosen[p] && !p.watched {
			p.since = now
			s.watchAt = now
		}

		p.watched = chosen[p]
	}
}

// shortlist takes one server after the other from each service in turn until there are enough.
func (s *State) shortlist() []*peer {
	wanted := s.wanted()

	var chosen []*peer

	for turn := range maxPerService {
		for _, candidates := range wanted {
			if turn < len(candidates) && len(chosen) < maxWatched {
				chosen = append(chosen, candidates[turn])
			}
		}
	}

	return chosen
}

// wanted lists the candidates of each service that is used, in the order of preference. Among servers at the same
// distance the order differs from daemon to daemon, so that each server is watched by about as many.
func (s *State) wanted() [][]*peer {
	byService := make(map[string][]*peer, len(s.services))

	for _, p := range s.order {
		if s.services[p.member.Service] && p.member.Place.Region == s.self.Member.Place.Region {
			byService[p.member.Service] = append(byService[p.member.Service], p)
		}
	}

	names := make([]string, 0, len(byService))
	for name := range byService {
		names = append(names, name)
	}

	slices.Sort(names)

	lists := make([][]*peer, 0, len(names))

	for _, name := range names {
		slices.SortStableFunc(byService[name], func(a, b *peer) int {
			return cmp.Or(cmp.Compare(s.rank(a), s.rank(b)), cmp.Compare(s.weight(a), s.weight(b)))
		})

		lists = append(lists, byService[name])
	}

	return lists
}

// rank orders places by their distance.
func (s *State) rank(p *peer) int {
	if p.member.Place == s.self.Member.Place {
		return 0
	}

	return 1
}

// weight is a fixed pseudorandom number for the pair of this daemon and a peer.
func (s *State) weight(p *peer) uint64 {
	return xxhash.Sum64String(string(s.self.Member.ID) + "/" + string(p.member.ID))
}
