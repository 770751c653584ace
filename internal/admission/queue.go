package admission

import (
	"slices"
	"time"
)

// waitingAttempt is an attempt that waits for a slot.
type waitingAttempt struct {
	Arrived
	arrivedAt time.Time
	// tenant is that of the attempt; nil until the queue contains it.
	tenant *tenant
}

// expiresAt returns when the attempt is refused if it has not started: after its longest wait or at its deadline.
func (w *waitingAttempt) expiresAt() time.Time {
	if at := w.arrivedAt.Add(w.Wait); at.Before(w.Deadline) {
		return at
	}

	return w.Deadline
}

// goesBefore reports whether w gets a slot before other, which arrived earlier. It compares rank, then priority; if
// both are equal, their tenants decide.
func (w *waitingAttempt) goesBefore(other *waitingAttempt) bool {
	if w.Rank != other.Rank {
		return w.Rank < other.Rank
	}

	return w.Priority < other.Priority
}

// sameClass reports whether two attempts have the same rank and priority.
func (w *waitingAttempt) sameClass(other *waitingAttempt) bool {
	return w.Rank == other.Rank && w.Priority == other.Priority
}

// mayRun reports whether a server of this slowness may run the attempt.
func (w *waitingAttempt) mayRun(slowness float64) bool {
	return w.Slowest <= 0 || slowness <= w.Slowest
}

// queue holds waiting attempts, ordered by rank, priority and arrival. Within a rank and priority, tenants get slots in
// turn. It is short, so linear search is cheap.
type queue struct {
	attempts []*waitingAttempt
	tenants  tenants
	turns    turns
}

func (q *queue) size() int { return len(q.attempts) }

// insert adds an attempt at its place in the order.
func (q *queue) insert(w *waitingAttempt) {
	index := len(q.attempts)
	for index > 0 && w.goesBefore(q.attempts[index-1]) {
		index--
	}

	if !q.hasRank(w.Rank) {
		q.turns.beginWait(w.Rank, q.tenants.starts)
	}

	w.tenant = q.tenants.add(w.Tenant)
	q.attempts = slices.Insert(q.attempts, index, w)
}

// takeNext removes and returns the attempt that a server of this slowness runs next, or returns nil.
func (q *queue) takeNext(slowness float64) *waitingAttempt {
	index := slices.IndexFunc(q.attempts, func(w *waitingAttempt) bool { return w.mayRun(slowness) })
	if index < 0 {
		return nil
	}

	if q.attempts[index].Tenant != "" {
		index = q.turns.choose(q.attempts, index, slowness)
	}

	return q.removeAt(q.firstTenant(index, slowness))
}

// firstTenant returns the index of the attempt whose tenant gets the next slot, among the attempts of the rank and
// priority of which the first that may run has the given index.
func (q *queue) firstTenant(first int, slowness float64) int {
	end := first + 1
	for end < len(q.attempts) && q.attempts[end].sameClass(q.attempts[first]) {
		end++
	}

	class := q.attempts[first:end]
	if !slices.ContainsFunc(class, func(w *waitingAttempt) bool { return w.tenant != class[0].tenant }) {
		return first
	}

	chosen, goesBefore := 0, q.tenants.order()

	for i, w := range class {
		if w.mayRun(slowness) && goesBefore(w.tenant, class[chosen].tenant) {
			chosen = i
		}
	}

	return first + chosen
}

// started counts the start of an attempt that the queue no longer contains.
func (q *queue) started(w *waitingAttempt) {
	q.tenants.start(w.Tenant)
	q.turns.beginWait(w.Rank, q.tenants.starts)
}

// removeAt removes and returns an attempt.
func (q *queue) removeAt(index int) *waitingAttempt {
	w := q.attempts[index]
	q.attempts = slices.Delete(q.attempts, index, index+1)
	q.tenants.remove(w.Tenant)

	return w
}

// remove removes an attempt if the queue contains it.
func (q *queue) remove(attempt Attempt) {
	if index := slices.IndexFunc(q.attempts, func(w *waitingAttempt) bool { return w.Attempt == attempt }); index >= 0 {
		q.removeAt(index)
	}
}

// removeExpired removes and returns the attempts that have waited too long.
func (q *queue) removeExpired(now time.Time) []*waitingAttempt {
	var expired []*waitingAttempt

	q.attempts = slices.DeleteFunc(q.attempts, func(w *waitingAttempt) bool {
		if now.Before(w.expiresAt()) {
			return false
		}

		expired = append(expired, w)

		return true
	})

	for _, w := range expired {
		q.tenants.remove(w.Tenant)
	}

	return expired
}

// removeAll removes and returns all attempts.
func (q *queue) removeAll() []*waitingAttempt {
	all := q.attempts
	q.attempts = nil

	for _, w := range all {
		q.tenants.remove(w.Tenant)
	}

	return all
}

// countBefore returns the number of attempts that get a slot before w, which is not in the queue yet, as far as no more
// attempts arrive or end. It does not know the turns of lower ranks.
func (q *queue) countBefore(w *waitingAttempt) int {
	q.tenants.resetCounts()

	own := q.tenants.get(w.Tenant)
	count := 0

	for _, other := range q.attempts {
		if other.sameClass(w) && other.Tenant == w.Tenant {
			own.counted++
		}
	}

	turn, first := own.running+own.counted, own.counted == 0
	own.counted = 0

	for _, other := range q.attempts {
		switch t := other.tenant; {
		case w.goesBefore(other):
		case other.goesBefore(w), other.Tenant == w.Tenant:
			count++
		default:
			// An attempt that arrived earlier goes first in the same turn, unless its tenant was started later.
			position := t.running + t.counted
			startedLater := first && t.counted == 0 && own.lastStart < t.lastStart

			if position < turn || position == turn && !startedLater {
				count++
			}

			t.counted++
		}
	}

	return count
}

func (q *queue) contains(attempt Attempt) bool {
	return slices.ContainsFunc(q.attempts, func(w *waitingAttempt) bool { return w.Attempt == attempt })
}
