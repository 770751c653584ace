package request

// Rank orders what waits for the same backend server; the lowest rank goes first.
type Rank uint8

// Ranks.
const (
	// Calls that a running request waits for go first, because it holds a slot meanwhile.
	NestedRank Rank = iota
	UrgentRank
	NormalRank
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
