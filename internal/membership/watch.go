package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// chooseWatched selects the members to watch: for each service to which this daemon sends requests, servers in its
// region, nearest first.
func (s *State) chooseWatched(now time.Time) {
	chosen := make(map[*peer]bool, maxWatched)

	for _, p := range s.selectPeers() {
		chosen[p] = true
	}

	for _, p := range s.order {
		if chosen[p] && !p.watched {
			p.watchedSince = now
			s.renewAt = now
		}

		p.watched = chosen[p]
	}
}

// selectPeers takes one server from each service in turn until maxWatched is reached or none remains.
func (s *State) selectPeers() []*peer {
	candidateLists := s.candidatesByService()

	var chosen []*peer

	for round := range maxWatchedPerService {
		for _, candidates := range candidateLists {
			if round < len(candidates) && len(chosen) < maxWatched {
				chosen = append(chosen, candidates[round])
			}
		}
	}

	return chosen
}

// candidatesByService returns the candidates of each used service in order of preference. Among servers at the same
// distance the order differs between daemons, so that all servers have about the same number of watchers.
func (s *State) candidatesByService() [][]*peer {
	byService := make(map[string][]*peer, len(s.usedServices))

	for _, p := range s.order {
		if s.usedServices[p.member.Service] && p.member.Place.Region == s.self.Member.Place.Region {
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
			return cmp.Or(cmp.Compare(s.distance(a), s.distance(b)), cmp.Compare(s.weight(a), s.weight(b)))
		})

		lists = append(lists, byService[name])
	}

	return lists
}

// distance is 0 for a peer in the same failure domain, 1 for any other peer in the region.
func (s *State) distance(p *peer) int {
	if p.member.Place == s.self.Member.Place {
		return 0
	}

	return 1
}

// weight returns a pseudorandom number that is fixed for the pair of this daemon and a peer.
func (s *State) weight(p *peer) uint64 {
	return xxhash.Sum64String(string(s.self.Member.ID) + "/" + string(p.member.ID))
}
