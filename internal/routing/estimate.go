package routing

import "time"

const (
	// sampleWeight is the weight of one request in the moving averages of its route and service.
	sampleWeight = 0.05
	// defaultWork is the assumed work per request until one has ended.
	defaultWork = 100 * time.Millisecond
)

// estimate holds moving averages over the requests of one route or service.
type estimate struct {
	// work is the time that a request runs at a server of usual speed.
	work time.Duration
	// bytes is the size of a response body.
	bytes float64
	known bool
}

func (e *estimate) workOrDefault() time.Duration {
	if !e.known {
		return defaultWork
	}

	return e.work
}

func (e *estimate) addSample(work time.Duration, bytes int64) {
	if !e.known {
		e.work, e.bytes, e.known = work, float64(bytes), true

		return
	}

	e.work += time.Duration(sampleWeight * float64(work-e.work))
	e.bytes += sampleWeight * (float64(bytes) - e.bytes)
}
