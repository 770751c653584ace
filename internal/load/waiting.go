package load

import "github.com/tarragonmill/tarragonmill/internal/request"

// Waiting holds the number of requests of each rank that wait for a slot.
type Waiting [request.Ranks]int

// Total returns the number of waiting requests of all ranks.
func (w Waiting) Total() int { return w.Ahead(request.Ranks - 1) }

// Ahead returns the number of waiting requests that get a slot before a new request of the given rank.
func (w Waiting) Ahead(rank request.Rank) int {
	ahead := 0

	for _, count := range w[:rank+1] {
		ahead += count
	}

	return ahead
}

const (
	// packedBits is the size in bits of one number in the packed form, and packedMax the largest such number.
	packedBits = 8
	packedMax  = 1<<packedBits - 1
)

// Pack returns all numbers in one integer, for messages. Numbers above packedMax become packedMax.
func (w Waiting) Pack() uint64 {
	packed := uint64(0)

	for rank, count := range w {
		packed |= uint64(min(max(0, count), packedMax)) << (packedBits * rank)
	}

	return packed
}

// UnpackWaiting is the inverse of Waiting.Pack.
func UnpackWaiting(packed uint64) Waiting {
	var w Waiting

	for rank := range w {
		w[rank] = int(packed >> (packedBits * rank) & packedMax)
	}

	return w
}
