package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/quota"
	"github.com/tarragonmill/tarragonmill/internal/routing"
)

// drain tells other daemons to send no more work, and makes the key table hand over its entries.
func (s *State) drain(now time.Time) []Effect {
	s.draining = true
	effects := s.drainKeys(now)

	return append(effects, s.handleMembershipEffects(now, s.membership.Apply(now, membership.SelfChanged{
		Entry: s.ownEntry(),
	}))...)
}

// close refuses all attempts that wait for the backend server and ends the requests of callers.
func (s *State) close(now time.Time) []Effect {
	s.closing = true

	effects := append(s.updateAdmission(now), s.applyQuota(now, quota.Closing{})...)

	return append(effects, s.handleRoutingEffects(now, s.routing.Apply(now, routing.Closing{}))...)
}

// ownEntry returns the daemon's entry for the store.
func (s *State) ownEntry() membership.Entry {
	entry := s.membership.Self()
	server, born, left := s.health.LastServer()
	entry.Server, entry.Born, entry.Left = string(server), born, left
	entry.Limit = s.storedLimit
	entry.Member.Slots = s.health.Slots()
	entry.Member.Status = instance.Alive

	if s.draining {
		entry.Member.Status = instance.Draining
	}

	return entry
}
