package admission

import "time"

// waiting is an attempt in the queue.
type waiting struct {
	attempt  Attempt
	deadline time.Time
	since    time.Time
	nested   bool
	alone    bool
	// gone is set when the attempt was cancelled; it is skipped.
	gone bool
}

// fifo is a queue from which cancelled entries are skipped. The length of the queue is bounded by the
// admission, so linear search in it is cheap.
type fifo struct {
	items []*waiting
	gone  int
}

func (q *fifo) len() int { return len(q.items) - q.gone }

func (q *fifo) push(w *waiting) { q.items = append(q.items, w) }

func (q *fifo) pop() *waiting {
	for len(q.items) > 0 {
		w := q.items[0]
		q.items[0] = nil
		q.items = q.items[1:]

		if !w.gone {
			return w
		}

		q.gone--
	}

	return nil
}

// popWhile removes entries from the front as long as remove agrees.
func (q *fifo) popWhile(remove func(*waiting) bool) {
	for len(q.items) > 0 {
		w := q.items[0]
		if !w.gone && !remove(w) {
			return
		}

		if w.gone {
			q.gone--
		}

		q.items[0] = nil
		q.items = q.items[1:]
	}
}

func (q *fifo) find(attempt Attempt) *waiting {
	for _, w := range q.items {
		if w.attempt == attempt && !w.gone {
			return w
		}
	}

	return nil
}

func (s *State) waitingCount() int {
	count := s.nested.len() + s.fresh.len()
	if s.alone != nil {
		count++
	}

	return count
}

func (s *State) find(attempt Attempt) *waiting {
	if s.alone != nil && s.alone.attempt == attempt {
		return s.alone
	}

	if w := s.nested.find(attempt); w != nil {
		return w
	}

	return s.fresh.find(attempt)
}

// drop accounts for a cancelled entry.
func (s *State) drop(w *waiting) {
	switch {
	case w.alone:
		s.alone = nil
	case w.nested:
		s.nested.gone++
	default:
		s.fresh.gone++
	}
}
