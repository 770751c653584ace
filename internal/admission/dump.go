package admission

import "time"

// Counts are totals since the start.
type Counts struct {
	Started uint64
	Refused uint64
	Aborted uint64
}

// Dump holds the state for the state dump.
type Dump struct {
	Slots     int
	Limit     int
	InFlight  int
	Queue     int
	Nested    int
	Latency   time.Duration
	Draining  bool
	Down      bool
	Exclusive bool
	Counts    Counts
}

// Dump returns plain values.
func (s *State) Dump() Dump {
	return Dump{
		Slots:     s.slots,
		Limit:     s.limit(),
		InFlight:  len(s.running),
		Queue:     s.waitingCount(),
		Nested:    s.nested.len(),
		Latency:   s.latency,
		Draining:  s.draining,
		Down:      s.down,
		Exclusive: s.exclusive,
		Counts:    s.counts,
	}
}
