package admission

import (
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

// victim returns the attempt of a full queue that makes room for w, or nil if w has to be refused. It is the last one
// of the tenant that has most attempts of the lowest rank and priority. It goes after w, or its tenant has more
// attempts there than that of w. Nested calls are not displaced.
func (q *queue) victim(w *waitingAttempt) *waitingAttempt {
	for end := len(q.attempts); end > 0; {
		begin := q.classBegin(end)
		last := q.attempts[end-1]

		switch {
		case last.Rank == request.NestedRank, last.goesBefore(w):
			return nil
		case !q.isProtected(begin, end, w):
			return q.victimIn(q.attempts[begin:end], w)
		}

		end = begin
	}

	return nil
}

// classBegin returns the index of the first attempt of the rank and priority of the one before end.
func (q *queue) classBegin(end int) int {
	begin := end - 1
	for begin > 0 && q.attempts[begin-1].sameClass(q.attempts[end-1]) {
		begin--
	}

	return begin
}

// isProtected reports whether attempts are kept so that their rank gets its turns; see turns. This applies to the only
// attempt of a rank, if another rank waits as well that w does not begin.
func (q *queue) isProtected(begin, end int, w *waitingAttempt) bool {
	if w.Tenant == "" || end-begin > 1 || begin == 0 {
		return false
	}

	only, before := q.attempts[begin], q.attempts[begin-1]

	return before.Rank != only.Rank && before.Rank != request.NestedRank && only.Rank != w.Rank && q.hasRank(w.Rank)
}

// victimIn returns the attempt of a rank and priority that makes room for w, or nil.
func (q *queue) victimIn(class []*waitingAttempt, w *waitingAttempt) *waitingAttempt {
	q.tenants.resetCounts()

	own := 0

	for _, other := range class {
		other.tenant.counted++

		if other.Tenant == w.Tenant {
			own++
		}
	}

	// Of tenants with equally many attempts, the one with more running makes room, then the one that arrived last.
	chosen := class[len(class)-1]
	for _, other := range slices.Backward(class) {
		if t, most := other.tenant, chosen.tenant; t.counted > most.counted ||
			t.counted == most.counted && t.running > most.running {
			chosen = other
		}
	}

	if !w.goesBefore(chosen) && own >= chosen.tenant.counted {
		return nil
	}

	return chosen
}

// hasRank reports whether attempts of a rank wait.
func (q *queue) hasRank(rank request.Rank) bool {
	return slices.ContainsFunc(q.attempts, func(w *waitingAttempt) bool { return w.Rank == rank })
}
