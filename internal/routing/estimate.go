package routing

import "time"

const (
	// sampleWeight is the weight of one request in the estimates of its route.
	sampleWeight = 0.05
	// defaultWork stands for the work of a route until one of its requests has ended.
	defaultWork = 100 * time.Millisecond
)

// estimate is what requests of one route usually need.
type estimate struct {
	// work is the time at a server of usual speed.
	work time.Duration
	// bytes of a response.
	bytes float64
	known bool
}

func (e *estimate) workOrDefault() time.Duration {
	if !e.known {
		return defaultWork
	}

	return e.work
}

func (e *estimate) add(work time.Duration, bytes int64) {
	if !e.known {
		e.work, e.bytes, e.known = work, float64(bytes), true

		return
	}

	e.work += time.Duration(sampleWeight * float64(work-e.work))
	e.bytes += sampleWeight * (float64(bytes) - e.bytes)
}
