package admission

import "github.com/tarragonmill/tarragonmill/internal/request"

// turnInterval is the number of starts, while several ranks wait, of which one goes to the rank that has waited longest
// without a start. It leaves 15 of 16 starts to the order of ranks.
const turnInterval = 16

// turns gives ranks that wait all the time behind others a small share of the starts. Nested calls take no part: they
// always go first, and their starts do not count.
type turns struct {
	// waitsSince is the number of starts at the server when the rank last got one or began to wait.
	waitsSince [request.Ranks]uint64
	// contested is the number of starts since the last turn for which several ranks waited.
	contested int
	// taken is the number of turns that went to another rank than the first.
	taken uint64
}

// beginWait records that a rank begins to wait, after a number of starts at the server.
func (t *turns) beginWait(rank request.Rank, starts uint64) { t.waitsSince[rank] = starts }

// choose returns the index of the first attempt of the rank that gets the next slot. index is that of the first attempt
// that may run.
func (t *turns) choose(attempts []*waitingAttempt, index int, slowness float64) int {
	if attempts[index].Rank == request.NestedRank {
		return index
	}

	longest, contested := index, false

	// The attempts are in the order of ranks, so the first of two ranks that have waited equally long is chosen.
	for i, w := range attempts[index:] {
		if w.Rank == attempts[index].Rank || !w.mayRun(slowness) {
			continue
		}

		contested = true
		if t.waitsSince[w.Rank] < t.waitsSince[attempts[longest].Rank] {
			longest = index + i
		}
	}

	if !contested {
		return index
	}

	if t.contested++; t.contested < turnInterval {
		return index
	}

	t.contested = 0

	if longest != index {
		t.taken++
	}

	return longest
}
