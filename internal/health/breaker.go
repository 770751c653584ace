package health

import "time"

const (
	// unservedLimit is the number of requests in a row that the server did not serve after which it gets no work but
	// trials. A server that fails only some of its requests hardly reaches it; those who choose a server see how many it
	// fails.
	unservedLimit = 12
	// trialMin and trialMax bound the pause before a request tries the server again; it doubles with each trial
	// that fails.
	trialMin = 300 * time.Millisecond
	trialMax = 2 * time.Second
)

// breaker keeps work from a server that does not serve it, although it may accept connections and call itself
// healthy. Such a server has free slots at all times and would otherwise draw requests.
type breaker struct {
	// unserved is the number of requests in a row that the server refused, broke off or left without an answer.
	unserved int
	// open keeps all work away until trialAt; trial lets one request at a time through.
	open, trial bool
	trialAt     time.Time
	pause       time.Duration
}

// ran takes the outcome of a request.
func (b *breaker) ran(now time.Time, unserved bool) {
	if unserved {
		b.unserved++
	} else {
		b.unserved = 0
	}

	switch {
	case b.open:
		// A request that began before.
	case b.trial && !unserved:
		*b = breaker{}
	case b.trial || b.unserved >= unservedLimit:
		b.open, b.trial = true, false
		b.pause = min(max(trialMin, 2*b.pause), trialMax)
		b.trialAt = now.Add(b.pause)
	}
}

// tick ends the pause.
func (b *breaker) tick(now time.Time) {
	if b.open && !now.Before(b.trialAt) {
		b.open, b.trial = false, true
	}
}

// next is when the pause ends, or the zero time.
func (b *breaker) next() time.Time {
	if !b.open {
		return time.Time{}
	}

	return b.trialAt
}
