package logstore

import (
	"time"

	"github.com/cockroachdb/errors"
)

// Outage says how the service fails as a whole.
type Outage uint8

const (
	// None is normal operation.
	None Outage = iota
	// Refuse answers every request with 503.
	Refuse
	// Reset closes every connection without an answer and without effect.
	Reset
	// Hang leaves every request without an answer until the client gives up.
	Hang
)

var outages = [...]string{"none", "refuse", "reset", "hang"}

// String returns the word used by the control endpoint.
func (o Outage) String() string {
	if int(o) < len(outages) {
		return outages[o]
	}

	return "unknown"
}

// ParseOutage reads the word used by the control endpoint.
func ParseOutage(word string) (Outage, error) {
	for i, name := range outages {
		if name == word {
			return Outage(i), nil
		}
	}

	return None, errors.Newf("%q: unknown outage; want none, refuse, reset or hang", word)
}

// Faults are the faults in effect. The zero value is normal operation.
type Faults struct {
	// Latency is added to every request.
	Latency time.Duration
	// Rate is the largest number of appends per second; zero means no limit.
	Rate   float64
	Outage Outage
	// Lose is the share of appends whose answer is lost after the append took effect.
	Lose float64
	// Stale is how old the data is that reads return.
	Stale time.Duration
	// StaleShare is the share of reads that Stale applies to; zero means all.
	StaleShare float64
}

// SetFaults replaces the faults in effect.
func (s *Store) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.faults = faults
}

// Faults returns the faults in effect.
func (s *Store) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.faults
}

// outcome of an append request.
type outcome uint8

const (
	appended outcome = iota
	limited
	lost
)

// tryAppend appends under the rate limit and draws whether the answer is lost.
func (s *Store) tryAppend(name string, data []byte) (uint64, outcome) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if !s.take() {
		s.counts.Limited++

		return 0, limited
	}

	offset := s.append(name, data)
	if s.faults.Lose > 0 && s.random.Float64() < s.faults.Lose {
		s.counts.Lost++

		return offset, lost
	}

	return offset, appended
}

// take removes a token from the append budget, which holds at most one second's worth.
func (s *Store) take() bool {
	if s.faults.Rate <= 0 {
		return true
	}

	now := s.now()
	s.tokens = min(s.tokens+now.Sub(s.refilled).Seconds()*s.faults.Rate, max(s.faults.Rate, 1))
	s.refilled = now

	if s.tokens < 1 {
		return false
	}

	s.tokens--

	return true
}

// tryRead reads with the staleness in effect.
func (s *Store) tryRead(name string, from uint64, limit int) Page {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.counts.Reads++

	var until time.Time
	if s.faults.Stale > 0 && (s.faults.StaleShare <= 0 || s.random.Float64() < s.faults.StaleShare) {
		until = s.now().Add(-s.faults.Stale)
	}

	return s.read(name, from, limit, until)
}

func (s *Store) refused() {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.counts.Refused++
}
