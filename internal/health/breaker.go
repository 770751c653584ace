package health

import "time"

const (
	// unservedLimit is the number of requests in a row that the server did not serve after which it gets no work but
	// trials. A server that fails only some of its requests hardly reaches it; those who choose a server see how many it
	// fails.
	unservedLimit = 12
	// trialMin and trialMax bound the pause before a request tries the server again; it doubles with each trial
	// that fails.
	minPause = 300 * time.Millisecond
	maxPause = 2 * time.Second
)

// breaker keeps work from a server that does not serve it, although it may accept connections and call itself
// healthy. Such a server has free slots at all times and would otherwise draw requests.
type breaker struct {
	// unserved is the number of requests in a row that the server refused, broke off or left without an answer.
	unservedInRow int
	// open keeps all work away until trialAt; trial lets one request at a time through.
	open, halfOpen bool
	halfOpenAt     time.Time
	pause          time.Duration
}

// ran takes the outcome of a request.
func (b *breaker) record(now time.Time, unserved bool) {
	if unserved {
		b.unservedInRow++
	} else {
		b.unservedInRow = 0
	}

	switch {
	case b.open:
		// A request that began before.
	case b.halfOpen && !unserved:
		*b = breaker{}
	case b.halfOpen || b.unservedInRow >= unservedLimit:
		b.open, b.halfOpen = true, false
		b.pause = min(max(minPause, 2*b.pause), maxPause)
		b.halfOpenAt = now.Add(b.pause)
	}
}

// tick ends the pause.
func (b *breaker) tick(now time.Time) {
	if b.open && !now.Before(b.halfOpenAt) {
		b.open, b.halfOpen = false, true
	}
}

// next is when the pause ends, or the zero time.
func (b *breaker) next() time.Time {
	if !b.open {
		return time.Time{}
	}

	return b.halfOpenAt
}
