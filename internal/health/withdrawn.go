package health

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

// handleWithdrawn stops using a server that leaves for good. It ignores the withdrawal of an earlier run of the
// server.
func (s *State) handleWithdrawn(now time.Time, e Withdrawn) {
	if s.identified && e.ID == s.id && !e.Born.IsZero() && e.Born.Before(s.startTime) {
		return
	}

	s.withdrawn, s.withdrawnStart = e.ID, times.Later(e.Born, s.knownStartTime(e.ID))

	if s.withdrawnStartAssumed = s.withdrawnStart.IsZero(); s.withdrawnStartAssumed {
		// The start of the server is unknown. It is on the same instance, so a later run of it starts after now by
		// its clock, too.
		s.withdrawnStart = now
	}

	if e.ID == s.id || !s.identified {
		s.identified, s.previous = false, ""
	}
}

// knownStartTime returns the start of a server by its ID; the zero time if unknown.
func (s *State) knownStartTime(id backend.ID) time.Time {
	switch id {
	case s.id:
		return s.startTime
	case s.previous:
		return s.previousStart
	default:
		return time.Time{}
	}
}

// handleMisdirected handles an answer from another server than the known one, which is therefore gone.
func (s *State) handleMisdirected(id backend.ID) {
	if id != "" && id != s.id {
		s.identified = false
	}
}
