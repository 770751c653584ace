package membership

import "github.com/tarragonmill/tarragonmill/internal/instance"

// Member returns what is known of a daemon, also if it is dead or has left.
func (s *State) Member(id instance.ID) (instance.Member, bool) {
	if e, ok := s.table.index[id]; ok {
		return e.member, true
	}

	return instance.Member{}, false
}

// CombinerOf returns the daemon that appends to the log for a failure domain.
func (s *State) CombinerOf(domain string) (instance.Member, bool) {
	e := leader(s.table.entries, "combiner "+domain, func(m instance.Member) bool { return m.Place.Domain == domain })
	if e == nil {
		return instance.Member{}, false
	}

	return e.member, true
}
