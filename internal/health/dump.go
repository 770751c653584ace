package health

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/backend"
)

// Dump holds the state for the state dump.
type Dump struct {
	Server backend.ID
	// Closed is the reason for refusing all attempts; empty if the server accepts them.
	Closed   admission.Reason
	Slots    int
	Slowness float64
	// Failing is the share of recent requests that got no usable response.
	Failing float64
	// Limit is the number of requests that the server allows.
	Limit backend.Limit
	// ColdFor is the remaining time for which the server is cold.
	ColdFor time.Duration
	Counts  Counts
}

// Dump returns a copy of the state in plain values.
func (s *State) Dump(now time.Time) Dump {
	return Dump{
		Server: s.id, Closed: s.RefusalReason(), Slots: s.slots, Slowness: s.slowness, Failing: s.FailureShare(now),
		Limit: s.limit, ColdFor: s.ColdFor(now), Counts: s.counts,
	}
}
