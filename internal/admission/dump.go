package admission

// Counts are totals since the start of the daemon.
type Counts struct {
	Started, Refused, Aborted uint64
	// Displaced are the refused attempts that made room for others in a full queue.
	Displaced uint64
	// Turns are the starts that went to a rank because it had waited longest, although another one goes first.
	Turns uint64
}

// Dump is the admission part of a state dump. Slowness is relative to the usual speed; 1 is usual.
type Dump struct {
	Running, Waiting, Slots int
	Closed                  Reason
	Slowness                float64
	Counts                  Counts
	// Tenants are the attempts of each tenant; see State.Tenants. Dump leaves it empty.
	Tenants []TenantLoad
}

// Dump returns a snapshot of the state.
func (s *State) Dump() Dump {
	counts := s.counts
	counts.Turns = s.queue.turns.taken

	return Dump{
		Running: len(s.running), Waiting: s.Waiting().Total(), Slots: s.slots, Closed: s.closedReason,
		Slowness: s.slowness, Counts: counts,
	}
}
