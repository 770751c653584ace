package membership

import "github.com/tarragonmill/tarragonmill/internal/instance"

// Member returns what is known of a daemon, also if it is dead or has left.
func (s *State) Member(id instance.ID) (instance.Member, bool) {
	if e, ok := s.table.index[id]; ok {
		return e.member, true
	}

	return instance.Member{}, false
}
