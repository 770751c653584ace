package admission

import (
	"slices"
	"time"
)

// waiting is an attempt in the queue.
type waiting struct {
	Arrived
	since time.Time
}

// expires is when the attempt has waited long enough.
func (w *waiting) expires() time.Time {
	if at := w.since.Add(w.Wait); at.Before(w.Deadline) {
		return at
	}

	return w.Deadline
}

// before reports whether w gets a slot before other. Of equal rank, the one that came first does.
func (w *waiting) before(other *waiting) bool {
	if w.Rank != other.Rank {
		return w.Rank < other.Rank
	}

	return w.Priority < other.Priority
}

// queue holds attempts in the order in which they get slots. It is short, so linear search is cheap.
type queue []*waiting

func (q *queue) push(w *waiting) {
	at := len(*q)
	for at > 0 && w.before((*q)[at-1]) {
		at--
	}

	*q = slices.Insert(*q, at, w)
}

// next takes out the first attempt that a server of this slowness may run, or returns nil.
func (q *queue) next(slowness float64) *waiting {
	at := slices.IndexFunc(*q, func(w *waiting) bool { return w.Slowest <= 0 || slowness <= w.Slowest })
	if at < 0 {
		return nil
	}

	w := (*q)[at]
	*q = slices.Delete(*q, at, at+1)

	return w
}

// remove takes an attempt out if it is there.
func (q *queue) remove(attempt Attempt) {
	*q = slices.DeleteFunc(*q, func(w *waiting) bool { return w.Attempt == attempt })
}

// endsBehind reports whether the last attempt of the queue gets a slot after w.
func (q queue) endsBehind(w *waiting) bool { return len(q) > 0 && w.before(q[len(q)-1]) }

func (q queue) has(attempt Attempt) bool {
	return slices.ContainsFunc(q, func(w *waiting) bool { return w.Attempt == attempt })
}
