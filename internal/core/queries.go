package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
)

// Hint returns the present load of the local backend server.
func (s *State) Hint(now time.Time) load.Hint { return s.admission.Hint(now) }

// Member returns what is known of a daemon.
func (s *State) Member(id instance.ID) (instance.Member, bool) { return s.membership.Member(id) }

// Members returns the members of a service, sorted by ID.
func (s *State) Members(service string) []instance.Member { return s.membership.Members(service) }

// Usable returns the number of daemons that take new work, this one included.
func (s *State) Usable() int {
	count := 0

	for _, member := range s.membership.All() {
		if member.Usable() {
			count++
		}
	}

	return count
}

// Released reports whether a draining daemon has signed off its grants and handed its key table over.
func (s *State) Released() bool { return s.keys.Released() }
