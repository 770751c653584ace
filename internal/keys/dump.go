package keys

import "time"

// Dump is the state as plain values.
type Dump struct {
	Through   uint64
	Lost      bool
	CaughtUp  bool
	Keys      int
	Running   int
	Stored    int
	Floor     time.Time
	Draining  bool
	Pending   int
	Grants    []Claim
	Handovers int
}

// Dump returns the state for operators. Stored counts bytes of responses, Pending the messages of a
// handover that were not answered yet.
func (s *State) Dump() Dump {
	d := Dump{
		Through: s.ledger.through, Lost: s.ledger.lost, CaughtUp: s.ledger.caughtUp(),
		Keys: len(s.table.entries), Stored: s.table.storedBytes, Floor: time.UnixMilli(s.table.floor),
		Draining: s.drain.started, Pending: len(s.drain.pending), Grants: s.ledger.base().Grants,
		Handovers: len(s.received),
	}

	for id, key := range s.table.ids {
		if e := s.table.entries[key]; e.running != nil && e.running.id == id {
			d.Running++
		}
	}

	return d
}
