package admission

import (
	"slices"
	"time"
)

// waitingAttempt is an attempt that waits for a slot.
type waitingAttempt struct {
	Arrived
	arrivedAt time.Time
}

// expiresAt returns when the attempt is refused if it has not started: after its longest wait or at its deadline.
func (w *waitingAttempt) expiresAt() time.Time {
	if at := w.arrivedAt.Add(w.Wait); at.Before(w.Deadline) {
		return at
	}

	return w.Deadline
}

// goesBefore reports whether w gets a slot before other, which arrived earlier. It compares rank, then priority; if
// both are equal, the earlier one goes first.
func (w *waitingAttempt) goesBefore(other *waitingAttempt) bool {
	if w.Rank != other.Rank {
		return w.Rank < other.Rank
	}

	return w.Priority < other.Priority
}

// queue holds waiting attempts in the order in which they get slots. It is short, so linear search is cheap.
type queue []*waitingAttempt

// insert adds an attempt at its place in the order.
func (q *queue) insert(w *waitingAttempt) {
	index := len(*q)
	for index > 0 && w.goesBefore((*q)[index-1]) {
		index--
	}

	*q = slices.Insert(*q, index, w)
}

// takeNext removes and returns the first attempt that a server of this slowness may run, or returns nil.
func (q *queue) takeNext(slowness float64) *waitingAttempt {
	index := slices.IndexFunc(*q, func(w *waitingAttempt) bool { return w.Slowest <= 0 || slowness <= w.Slowest })
	if index < 0 {
		return nil
	}

	w := (*q)[index]
	*q = slices.Delete(*q, index, index+1)

	return w
}

// remove removes an attempt if the queue contains it.
func (q *queue) remove(attempt Attempt) {
	*q = slices.DeleteFunc(*q, func(w *waitingAttempt) bool { return w.Attempt == attempt })
}

// lastGoesAfter reports whether the last attempt of the queue gets a slot after w.
func (q queue) lastGoesAfter(w *waitingAttempt) bool { return len(q) > 0 && w.goesBefore(q[len(q)-1]) }

// countBefore returns the number of attempts that get a slot before w, which is not in the queue yet.
func (q queue) countBefore(w *waitingAttempt) int {
	count := 0

	for _, other := range q {
		if !w.goesBefore(other) {
			count++
		}
	}

	return count
}

func (q queue) contains(attempt Attempt) bool {
	return slices.ContainsFunc(q, func(w *waitingAttempt) bool { return w.Attempt == attempt })
}
