package admission

// Counts are totals since the start of the daemon.
type Counts struct{ Started, Refused, Aborted uint64 }

// Dump is the admission part of a state dump. Slowness is relative to the usual speed; 1 is usual.
type Dump struct {
	Running, Waiting, Slots int
	Closed                  Reason
	Slowness                float64
	Counts                  Counts
}

// Dump returns a snapshot of the state.
func (s *State) Dump() Dump {
	return Dump{
		Running: len(s.running), Waiting: s.Waiting().Total(), Slots: s.slots, Closed: s.closedReason,
		Slowness: s.slowness, Counts: s.counts,
	}
}
