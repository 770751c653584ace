package request

// Rank orders the requests that wait for the same backend server; the lowest rank is served first.
type Rank uint8

const (
	// NestedRank is the rank of nested calls. They are served first, because the request that waits for such a call
	// holds a slot.
	NestedRank Rank = iota
	// UrgentRank is the rank of requests with priority 0.
	UrgentRank
	// NormalRank is the rank of requests with priority 1.
	NormalRank
	// LowRank is the rank of requests with priority 2 and above.
	LowRank
	// Ranks is the number of ranks.
	Ranks
)

// Rank returns the rank of the request.
func (r Request) Rank() Rank {
	switch {
	case r.Nested():
		return NestedRank
	case r.Priority <= 0:
		return UrgentRank
	case r.Priority == 1:
		return NormalRank
	default:
		return LowRank
	}
}
