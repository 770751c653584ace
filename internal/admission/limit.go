package admission

import (
	"math"
	"time"
)

const (
	// minLimit is the least number of requests per second that start at a limited server. A server that allows fewer gets
	// one every two seconds, because only its response tells whether the limit still holds.
	minLimit = 0.5
	// burstTime is the time for which unused requests of a limit are kept. Limits are stated per second.
	burstTime = time.Second
)

// limiter is a token bucket for the requests that a server allows per second. A nil limiter allows all requests.
type limiter struct {
	perSecond float64
	tokens    float64
	// updated is when tokens was computed.
	updated time.Time
}

// newLimiter returns a limiter with a full bucket.
func newLimiter(now time.Time, perSecond float64) *limiter {
	l := &limiter{perSecond: max(perSecond, minLimit), updated: now}
	l.tokens = l.capacity()

	return l
}

// withLimit returns a limiter with another limit and the same tokens, as far as they fit.
func (l *limiter) withLimit(now time.Time, perSecond float64) *limiter {
	changed := newLimiter(now, perSecond)
	changed.tokens = min(l.available(now), changed.capacity())

	return changed
}

// capacity returns the number of tokens that fit into the bucket.
func (l *limiter) capacity() float64 { return max(1, l.perSecond*burstTime.Seconds()) }

func (l *limiter) available(now time.Time) float64 {
	return min(l.tokens+l.perSecond*max(0, now.Sub(l.updated)).Seconds(), l.capacity())
}

// wait returns the time until a request may start after a number of others.
func (l *limiter) wait(now time.Time, others int) time.Duration {
	if l == nil {
		return 0
	}

	missing := float64(others+1) - l.available(now)
	if missing <= 0 {
		return 0
	}

	// The time is rounded up, so that the token is there when it has passed.
	return time.Duration(math.Ceil(missing / l.perSecond * float64(time.Second)))
}

// take takes the token of a request that starts.
func (l *limiter) take(now time.Time) {
	if l == nil {
		return
	}

	l.tokens = l.available(now) - 1
	l.updated = now
}
