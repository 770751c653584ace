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
	// LateRank is that of requests that can no longer be answered within their target. They take what the others leave,
	// because in front of them they would make those late, too.
	LateRank
	// Ranks is the number of ranks.
	Ranks
)

// Rank returns the rank of the request, which is late if it cannot be answered within its target.
func (r Request) Rank(late bool) Rank {
	switch {
	case r.Nested():
		return NestedRank
	case late:
		return LateRank
	case r.Priority <= 0:
		return UrgentRank
	case r.Priority == 1:
		return NormalRank
	default:
		return LowRank
	}
}
