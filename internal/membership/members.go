package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// updateMember adds another member, or replaces its record by a newer one. A member that has left is removed. It
// reports whether the members have changed.
func (s *State) updateMember(member instance.Member) bool {
	if member.ID == s.self.Member.ID {
		return false
	}

	p := s.peers[member.ID]
	if p == nil {
		if member.Status == instance.Left || s.addressReused(member) {
			return false
		}

		s.forgetReplaced(member)

		p = &peer{member: member}
		s.peers[member.ID] = p
		s.peersByReference.add(p)

		s.order = append(s.order, p)
		slices.SortFunc(s.order, func(a, b *peer) int { return cmp.Compare(a.member.ID, b.member.ID) })

		return true
	}

	if !supersedes(member, p.member) {
		return false
	}

	if member.Incarnation != p.member.Incarnation {
		// The member has restarted and lost the record of this daemon.
		p.sentReference = 0
	}

	s.peersByReference.remove(p)
	p.member = member
	s.peersByReference.add(p)

	if member.Status == instance.Left {
		s.forget(p)
	}

	return true
}

// addressReused reports whether a member with a later incarnation has the same address. The store keeps the entry of an
// instance for some time after its address was given to another one.
func (s *State) addressReused(member instance.Member) bool {
	later := func(other instance.Member) bool {
		return other.Peer == member.Peer && other.Incarnation > member.Incarnation
	}

	return later(s.self.Member) || slices.ContainsFunc(s.order, func(p *peer) bool { return later(p.member) })
}

// forgetReplaced removes members with an earlier incarnation at the address of a new one, because addresses are reused.
func (s *State) forgetReplaced(member instance.Member) {
	for _, p := range slices.Clone(s.order) {
		if p.member.Peer == member.Peer && p.member.Incarnation < member.Incarnation {
			s.forget(p)
		}
	}
}

// supersedes reports whether record a of a member is newer than record b of the same member.
func supersedes(a, b instance.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}

	return a.Counter > b.Counter
}

// forget removes a peer.
func (s *State) forget(p *peer) {
	s.peersByReference.remove(p)
	delete(s.peers, p.member.ID)
	s.order = slices.DeleteFunc(s.order, func(other *peer) bool { return other == p })
}

// dropUnlisted removes peers that have no entry in the store and sent no beat within unlistedRetention. It reports
// whether it removed any.
func (s *State) dropUnlisted(now time.Time, listed map[instance.ID]bool) bool {
	dropped := false

	// The others write their entries again.
	if !s.returnedAt.IsZero() && now.Sub(s.returnedAt) < unlistedRetention {
		return false
	}

	for _, p := range slices.Clone(s.order) {
		if !listed[p.member.ID] && now.Sub(p.heardAt) > unlistedRetention {
			s.forget(p)

			dropped = true
		}
	}

	return dropped
}

// Stored reports whether this run of the daemon has written its entry.
func (s *State) Stored() bool { return s.stored }

// Listed reports whether a read of the entries has found the daemon's own one. Of two daemons that start at the same
// time, at least one has found the other then.
func (s *State) Listed() bool { return s.listed }

// NeighboursHeard reports whether a beat of every other member of the failure domain has arrived in this run of the daemon.
func (s *State) NeighboursHeard() bool {
	return !slices.ContainsFunc(s.order, func(p *peer) bool {
		return p.heardAt.IsZero() && p.member.Place == s.self.Member.Place
	})
}

// RankAmongHeard returns the number of members with a lower ID than this daemon whose beats arrive regularly.
func (s *State) RankAmongHeard(now time.Time) int {
	rank := 0

	for _, p := range s.order {
		if p.member.ID < s.self.Member.ID && p.heardRegularly(now) {
			rank++
		}
	}

	return rank
}

// heardRegularly reports whether a peer has sent a beat within beatTimeout and is expected to send more, because one of
// the two watches the other.
func (p *peer) heardRegularly(now time.Time) bool {
	return (p.watched || now.Before(p.watchesUntil)) && !p.heardAt.IsZero() && now.Sub(p.heardAt) < beatTimeout
}
