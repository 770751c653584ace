package health

import "time"

const (
	// unservedLimit is the number of consecutive unserved requests after which the breaker opens. A server that fails
	// only some of its requests rarely reaches it; its failure share is part of the load reports, so it is chosen
	// less often.
	unservedLimit = 12
	// minPause and maxPause bound the time for which the breaker stays open. It doubles each time the trial request
	// fails.
	minPause = 300 * time.Millisecond
	maxPause = 2 * time.Second
)

// breaker is a circuit breaker. It stops requests to a server that does not serve them, although it may accept
// connections and report that it is healthy. Such a server always has free slots and would otherwise attract
// requests.
type breaker struct {
	// unservedInRow is the number of consecutive requests that the server refused, broke off or left without an
	// answer.
	unservedInRow int
	// open stops all requests until halfOpenAt; halfOpen then lets one request at a time through, as a trial.
	open, halfOpen bool
	halfOpenAt     time.Time
	pause          time.Duration
}

// record handles the outcome of a request.
func (b *breaker) record(now time.Time, unserved bool) {
	if unserved {
		b.unservedInRow++
	} else {
		b.unservedInRow = 0
	}

	switch {
	case b.open:
		// The request was sent before the breaker opened.
	case b.halfOpen && !unserved:
		*b = breaker{}
	case b.halfOpen || b.unservedInRow >= unservedLimit:
		b.open, b.halfOpen = true, false
		b.pause = min(max(minPause, 2*b.pause), maxPause)
		b.halfOpenAt = now.Add(b.pause)
	}
}

// tick changes the breaker from open to half open when the pause is over.
func (b *breaker) tick(now time.Time) {
	if b.open && !now.Before(b.halfOpenAt) {
		b.open, b.halfOpen = false, true
	}
}

// next returns when the pause is over; the zero time if the breaker is not open.
func (b *breaker) next() time.Time {
	if !b.open {
		return time.Time{}
	}

	return b.halfOpenAt
}
