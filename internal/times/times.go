// Package times compares times. For Next, the zero time means "never".
package times

import "time"

// Earlier returns the earlier of two times.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}

	return a
}

// Later returns the later of two times.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// Next returns the earliest of the given times that is not zero; zero if there is none.
func Next(times ...time.Time) time.Time {
	var next time.Time

	for _, at := range times {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}

	return next
}
