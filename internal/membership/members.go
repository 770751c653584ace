package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// learn stores a member and reports whether something is new.
func (s *State) learn(member instance.Member) bool {
	if member.ID == s.self.Member.ID {
		return false
	}

	p := s.peers[member.ID]
	if p == nil {
		if member.Status == instance.Left || s.replaced(member) {
			return false
		}

		s.replaceAt(member)

		p = &peer{member: member}
		s.peers[member.ID] = p
		s.index.add(p)

		s.order = append(s.order, p)
		slices.SortFunc(s.order, func(a, b *peer) int { return cmp.Compare(a.member.ID, b.member.ID) })

		return true
	}

	if !supersedes(member, p.member) {
		return false
	}

	if member.Incarnation != p.member.Incarnation {
		// Its new run knows nothing of this daemon.
		p.introduced = 0
	}

	s.index.remove(p)
	p.member = member
	s.index.add(p)

	if member.Status == instance.Left {
		s.forget(p)
	}

	return true
}

// replaced reports whether a later member has the address of a member. The store still has the entry of an instance
// whose address was given to another one.
func (s *State) replaced(member instance.Member) bool {
	later := func(other instance.Member) bool {
		return other.Peer == member.Peer && other.Incarnation > member.Incarnation
	}

	return later(s.self.Member) || slices.ContainsFunc(s.order, func(p *peer) bool { return later(p.member) })
}

// replaceAt forgets earlier members at the address of a new one: an address may be used again.
func (s *State) replaceAt(member instance.Member) {
	for _, p := range slices.Clone(s.order) {
		if p.member.Peer == member.Peer && p.member.Incarnation < member.Incarnation {
			s.forget(p)
		}
	}
}

// supersedes reports whether a is a later statement of the same member than b.
func supersedes(a, b instance.Member) bool {
	if a.Incarnation != b.Incarnation {
		return a.Incarnation > b.Incarnation
	}

	return a.Counter > b.Counter
}

func (s *State) forget(p *peer) {
	s.index.remove(p)
	delete(s.peers, p.member.ID)
	s.order = slices.DeleteFunc(s.order, func(other *peer) bool { return other == p })
}

// dropUnlisted forgets peers without an entry that are not heard either.
func (s *State) dropUnlisted(now time.Time, listed map[instance.ID]bool) bool {
	dropped := false

	for _, p := range slices.Clone(s.order) {
		if !listed[p.member.ID] && now.Sub(p.heard) > forgetTime {
			s.forget(p)

			dropped = true
		}
	}

	return dropped
}
