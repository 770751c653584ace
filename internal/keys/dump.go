package keys

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/store"
)

// Dump is a summary of a State.
type Dump struct {
	// Through is the offset after the last applied record.
	Through uint64
	// Lost is set while records that were not applied have expired.
	Lost bool
	// CaughtUp is set if all records known to be in the log were applied.
	CaughtUp bool
	// Epoch is the epoch of the store, and Ledger that from which the grants follow. Started is false while the ledger was
	// not restarted yet in that epoch, and Barrier is the issue time from which it gives out grants.
	Epoch   store.Epoch
	Ledger  LedgerID
	Started bool
	Barrier time.Time
	// Held is the number of grants of earlier ledgers that this daemon still holds.
	Held    int
	Keys    int
	Running int
	// Stored is the size in bytes of the stored responses.
	Stored int
	// Floor is the issue time before which keys may have been forgotten.
	Floor    time.Time
	Draining bool
	// Pending is the number of handover messages that were not delivered yet.
	Pending int
	Grants  []Claim
	// Handovers is the number of owners from which a handover was received.
	Handovers int
}

// Dump returns a summary of the state.
func (s *State) Dump() Dump {
	d := Dump{
		Through: s.ledger.through, Lost: s.ledger.incomplete, CaughtUp: s.ledger.caughtUp(),
		Keys: len(s.table.entries), Stored: s.table.storedBytes, Floor: time.UnixMilli(s.table.floor),
		Draining: s.drain.started, Pending: len(s.drain.pending), Grants: s.ledger.base().Grants,
		Handovers: len(s.handovers),
		Epoch:     s.ledger.epoch, Ledger: s.ledger.id, Started: s.ledger.started(),
		Barrier: time.UnixMilli(s.ledger.barrier),
	}

	for _, grants := range s.ledger.held.partitions {
		d.Held += len(grants)
	}

	for id, key := range s.table.keysByRequest {
		if e := s.table.entries[key]; e.running != nil && e.running.id == id {
			d.Running++
		}
	}

	return d
}
