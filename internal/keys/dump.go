package keys

import "time"

// Dump is a summary of a State.
type Dump struct {
	// Through is the offset after the last applied record.
	Through uint64
	// Lost is set while records that were not applied have expired.
	Lost bool
	// CaughtUp is set if all records known to be in the log were applied.
	CaughtUp bool
	Keys     int
	Running  int
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
	}

	for id, key := range s.table.keysByRequest {
		if e := s.table.entries[key]; e.running != nil && e.running.id == id {
			d.Running++
		}
	}

	return d
}
