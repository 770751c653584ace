package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// chooseWatched selects the members to watch: for each service to which this daemon sends requests, servers near by.
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

// candidatesByService returns the candidates of each used service in order of preference: those in the own failure domain
// and, if these are fewer than enoughInDomain, others in the region. Beats between failure domains are billed, and a server
// there is only chosen if the own failure domain has no room. Among servers at the same distance the order differs between
// daemons, so that all servers have about the same number of watchers.
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

		lists = append(lists, s.limitRemote(byService[name]))
	}

	return lists
}

// limitRemote returns the candidates without those in other failure domains that are not needed to reach enoughInDomain.
func (s *State) limitRemote(candidates []*peer) []*peer {
	inDomain := slices.IndexFunc(candidates, func(p *peer) bool { return s.distance(p) > 0 })
	if inDomain < 0 {
		return candidates
	}

	return candidates[:min(len(candidates), max(inDomain, enoughInDomain))]
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
