package routing

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// responsePeriods is the number of periods in the sliding window of response times, and responsePeriod the length
	// of one. The window holds enough requests of a route with a few requests per second for a high quantile.
	responsePeriods = 3
	responsePeriod  = 20 * time.Second
	// responseUnit is the unit of the recorded times, and maxResponseTime the longest of them; longer ones count as
	// that.
	responseUnit    = 100 * time.Microsecond
	maxResponseTime = 10 * time.Minute
	// responseDigits is the number of significant digits that are kept. With one, times are exact to 6 % and a route
	// takes about 12 KB.
	responseDigits = 1
	// minResponses is the smallest number of responses from which a quantile is taken, and minResponsesBeyond how many
	// of them have to be expected above it. With fewer, one slow response would decide.
	minResponses       = 50
	minResponsesBeyond = 4
	// quantileInterval is the time for which a quantile is used before it is computed again.
	quantileInterval = 200 * time.Millisecond
	// maxTimedRoutes bounds the number of routes whose response times are kept, and so their memory. Requests of other
	// routes are not hedged after a delay.
	maxTimedRoutes = 1000
)

// responseTimes holds the recent response times of a route. A response time counts from the moment at which a server
// has started the request, so that waiting for a slot does not count.
type responseTimes struct {
	window   *hdrhistogram.WindowedHistogram
	rotateAt time.Time
	// delay is the value of quantile at computedAt; zero if there are too few responses.
	delay      time.Duration
	quantile   float64
	computedAt time.Time
	count      int64
}

func newResponseTimes(now time.Time) *responseTimes {
	return &responseTimes{
		window: hdrhistogram.NewWindowed(responsePeriods, 1, int64(maxResponseTime/responseUnit), responseDigits),
		// The merged histogram is used for queries only.
		rotateAt: now.Add(responsePeriod),
	}
}

// rotate removes the times that have left the window.
func (r *responseTimes) rotate(now time.Time) {
	for range responsePeriods {
		if now.Before(r.rotateAt) {
			return
		}

		r.window.Rotate()
		r.rotateAt = r.rotateAt.Add(responsePeriod)
	}

	if !now.Before(r.rotateAt) {
		// The route was idle for longer than the window.
		r.rotateAt = now.Add(responsePeriod)
	}
}

func (r *responseTimes) add(now time.Time, elapsed time.Duration) {
	r.rotate(now)

	value := min(max(0, elapsed), maxResponseTime) / responseUnit
	// The bounds of the histogram hold for each such value, so it is never refused.
	_ = r.window.Current.RecordValue(int64(value))
}

// delayAt returns a quantile of the recent response times; zero if there are too few of them.
func (r *responseTimes) delayAt(now time.Time, quantile float64) time.Duration {
	if r.quantile == quantile && now.Sub(r.computedAt) < quantileInterval {
		return r.delay
	}

	r.rotate(now)

	merged := r.window.Merge()
	r.count, r.quantile, r.computedAt, r.delay = merged.TotalCount(), quantile, now, 0

	if r.count >= minResponses && float64(r.count)*(1-quantile) >= minResponsesBeyond {
		r.delay = max(1, time.Duration(merged.ValueAtQuantile(100*quantile))) * responseUnit
	}

	return r.delay
}
