package routing

import "time"

const (
	// minAcceptTimeout is the shortest time, in addition to the round trip, that the daemon beside a server has to
	// acknowledge an attempt. It does so within a millisecond unless it is overloaded, stopped or cut off.
	minAcceptTimeout = 80 * time.Millisecond
	// maxAcceptTimeout is the longest such time. After it, another server is the better choice even if the
	// acknowledgement is merely late.
	maxAcceptTimeout = 500 * time.Millisecond
	// meanWeight and deviationWeight are the weights of one sample in the moving averages, and deviationFactor is
	// the number of mean deviations added to the mean, as for the retransmission timeout of RFC 6298.
	meanWeight      = 1.0 / 8
	deviationWeight = 1.0 / 4
	deviationFactor = 4
)

// acceptLatency estimates how long it takes until an attempt is acknowledged. The estimate rises when links or
// processors are busy; sending attempts twice at such times would add to the load.
type acceptLatency struct {
	mean, deviation time.Duration
	known           bool
}

func (a *acceptLatency) addSample(sample time.Duration) {
	if !a.known {
		a.mean, a.deviation, a.known = sample, sample/2, true

		return
	}

	diff := sample - a.mean
	a.deviation += time.Duration(deviationWeight * float64(diff.Abs()-a.deviation))
	a.mean += time.Duration(meanWeight * float64(diff))
}

// timeout returns the time after which an attempt without an acknowledgement counts as silent.
func (a *acceptLatency) timeout() time.Duration {
	return min(max(minAcceptTimeout, a.mean+deviationFactor*a.deviation), maxAcceptTimeout)
}
