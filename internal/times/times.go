// Package times compares points in time. The zero time stands for "never".
package times

import "time"

// Earlier returns the first of two points in time.
func Earlier(a, b time.Time) time.Time {
	if b.Before(a) {
		return b
	}

	return a
}

// Later returns the last of two points in time.
func Later(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}

	return b
}

// Next returns the first of several points in time of which any may be zero; zero if all are.
func Next(times ...time.Time) time.Time {
	var next time.Time

	for _, at := range times {
		if !at.IsZero() && (next.IsZero() || at.Before(next)) {
			next = at
		}
	}

	return next
}
