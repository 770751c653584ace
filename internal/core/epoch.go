package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// handleEpochSeen records the epoch that a response of the store has stated. If it is newer than an earlier one, the
// store has come back from an older copy, and each reducer handles that for what it has derived from the store.
func (s *State) handleEpochSeen(now time.Time, e EpochSeen) []Effect {
	if e.Epoch <= s.epoch {
		return nil
	}

	previous := s.epoch
	s.epoch = e.Epoch
	effects := s.changeKeyEpoch(now)

	if previous == 0 {
		return effects
	}

	effects = append(effects, s.handleMembershipEffects(now, s.membership.Apply(now, membership.StoreReturned{}))...)

	return append(effects, StoreReturned{Epoch: e.Epoch, Previous: previous})
}

// handleEpochHeard asks for a call to the store if another daemon has seen a newer epoch.
func (s *State) handleEpochHeard(epoch store.Epoch) []Effect {
	if s.epoch == 0 || epoch <= max(s.epoch, s.heardEpoch) {
		return nil
	}

	s.heardEpoch = epoch

	return []Effect{CheckStore{Epoch: epoch}}
}
