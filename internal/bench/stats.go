package bench

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tarragonmill/tarragonmill/internal/routing"
)

// warmUp is left out of the figures.
const warmUp = time.Second

// stats counts what one contender did after the warm-up.
type stats struct {
	length     time.Duration
	latency    *hdrhistogram.Histogram
	good       int
	failed     int
	refusals   int
	late       int
	probes     int
	measuring  int64
	crossBytes int64
	attempts   int
	hedges     int
}

func newStats(length time.Duration) *stats {
	return &stats{length: length - warmUp, latency: hdrhistogram.New(1, 10_000_000, 3)}
}

func (s *stats) delivered(at, latency time.Duration, good bool) {
	if at < warmUp {
		return
	}

	if !good {
		s.failed++

		return
	}

	// The histogram's range is twenty times the deadline.
	_ = s.latency.RecordValue(latency.Microseconds())
	s.good++
}

func (s *stats) refused(at time.Duration, reason routing.Reason) {
	switch {
	case at < warmUp:
	case reason == routing.DeadlinePassed:
		s.late++
	default:
		s.refusals++
	}
}

func (s *stats) attempt(at time.Duration, a routing.Attempt, crosses bool) {
	if at < warmUp {
		return
	}

	s.attempts++

	if a.Hedge {
		s.hedges++
	}

	bytes := int64(requestBytes)

	if a.Hint {
		s.measuring += routing.HintBytes
		bytes += routing.HintBytes
	}

	s.cross(at, bytes, crosses)
}

func (s *stats) probe(at time.Duration, crosses bool) {
	if at < warmUp {
		return
	}

	s.probes++
	s.measuring += routing.ProbeBytes
	s.cross(at, routing.ProbeBytes, crosses)
}

func (s *stats) cross(at time.Duration, bytes int64, crosses bool) {
	if crosses && at >= warmUp {
		s.crossBytes += bytes
	}
}

// add takes over the counts of another run.
func (s *stats) add(other *stats) {
	s.length += other.length
	s.latency.Merge(other.latency)
	s.good += other.good
	s.failed += other.failed
	s.refusals += other.refusals
	s.late += other.late
	s.probes += other.probes
	s.measuring += other.measuring
	s.crossBytes += other.crossBytes
	s.attempts += other.attempts
	s.hedges += other.hedges
}

func (s *stats) perSecond(n float64) float64 { return n / s.length.Seconds() }

func (s *stats) quantile(q float64) float64 { return float64(s.latency.ValueAtQuantile(q)) / 1000 }
