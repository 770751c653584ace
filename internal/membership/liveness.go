package membership

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// contacted records a proof of life of a peer's present run.
func (s *State) contacted(l *link) {
	l.contact, l.probing = s.now, false

	if e := s.table.index[l.id]; e != nil {
		e.probed, e.reached = s.now, true
	}
}

// missed records an exchange without a response.
func (s *State) missed(id instance.ID) {
	if e := s.table.index[id]; e != nil {
		e.probed, e.reached = s.now, false
	}
}

func (s *State) observed(e PeerObserved) {
	l, known := s.find(e.ID), s.table.index[e.ID]
	if l != nil && known != nil && e.Incarnation >= known.member.Incarnation {
		s.contacted(l)
	}
}

// resume starts all silences anew after a pause of this daemon.
func (s *State) resume() {
	for _, l := range s.links {
		l.contact = s.now
	}

	for _, e := range s.table.entries {
		e.probed = time.Time{}
	}
}

// judgeLinks accuses neighbours that are silent and declares those dead whose accusation stands. Only
// daemons that miss a member themselves do so; the others hear of it.
func (s *State) judgeLinks() {
	for _, l := range s.links {
		e := s.table.index[l.id]
		if !l.out || e == nil || !e.live() || s.now.Sub(l.contact) < s.accuse {
			continue
		}

		if e.member.Status == instance.Alive {
			s.store(e.member.WithStatus(instance.Accused, e.member.Counter), s.self.member.ID)

			continue
		}

		// A draining member can't be accused without taking its status away; it is only missed.
		if s.stood(l, e) {
			s.store(e.member.WithStatus(instance.Dead, e.member.Counter), s.self.member.ID)
		}
	}
}

// stood reports whether an accusation has stood long enough to become death, both in the table and in
// this daemon's own experience. When a partition ends, the others around the member respond before it
// does, so it gets the whole time from then on.
func (s *State) stood(l *link, e *entry) bool {
	missed := s.now.Sub(l.contact.Add(s.accuse))

	age := s.now.Sub(e.changed)
	if e.member.Status == instance.Draining {
		age = missed
	}

	if !s.hasty && s.partitioned(e) {
		l.held = s.now
	}

	return age >= s.hold || min(age, missed, s.now.Sub(l.held)) >= s.stand
}
