package load

import "github.com/tarragonmill/tarragonmill/internal/request"

// Waiting is the number of requests of each rank that wait for a slot.
type Waiting [request.Ranks]int

// Total is the number of all.
func (w Waiting) Total() int { return w.Ahead(request.Ranks - 1) }

// Ahead is the number of those that get a slot before a new request of a rank.
func (w Waiting) Ahead(rank request.Rank) int {
	ahead := 0

	for _, count := range w[:rank+1] {
		ahead += count
	}

	return ahead
}

const (
	// packedBits is the size of one number in the packed form, and packedMost the largest such number.
	packedBits = 8
	packedMax  = 1<<packedBits - 1
)

// Pack returns the numbers in one, for messages. Numbers that do not fit are cut.
func (w Waiting) Pack() uint64 {
	packed := uint64(0)

	for rank, count := range w {
		packed |= uint64(min(max(0, count), packedMax)) << (packedBits * rank)
	}

	return packed
}

// UnpackWaiting is the inverse of Pack.
func UnpackWaiting(packed uint64) Waiting {
	var w Waiting

	for rank := range w {
		w[rank] = int(packed >> (packedBits * rank) & packedMax)
	}

	return w
}
