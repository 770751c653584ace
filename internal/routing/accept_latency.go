package routing

import "time"

const (
	// acceptTimeout is the least time, beyond the round trip, that the daemon beside a server has to say that it
	// has read an attempt. It reads within a millisecond unless it is overloaded, stopped or cut off.
	acceptTimeout = 80 * time.Millisecond
	// acceptMax is the longest such time. Beyond it, another server is the better choice even if the attempt is
	// only late.
	acceptMax = 500 * time.Millisecond
	// meanShare and deviationShare are the weights of one sample, and deviations the number of deviations above
	// the mean that are usual, as in RFC 6298 for retransmissions.
	meanShare      = 1.0 / 8
	deviationShare = 1.0 / 4
	deviations     = 4
)

// acceptance estimates how long an attempt takes to be acknowledged. It grows when links or processors are busy, where
// attempts that are sent twice make matters worse.
type acceptance struct {
	mean, deviation time.Duration
	known           bool
}

func (a *acceptance) add(sample time.Duration) {
	if !a.known {
		a.mean, a.deviation, a.known = sample, sample/2, true

		return
	}

	diff := sample - a.mean
	a.deviation += time.Duration(deviationShare * float64(diff.Abs()-a.deviation))
	a.mean += time.Duration(meanShare * float64(diff))
}

// timeout is the time after which an attempt without acknowledgement counts as silent.
func (a *acceptance) timeout() time.Duration {
	return min(max(acceptTimeout, a.mean+deviations*a.deviation), acceptMax)
}
