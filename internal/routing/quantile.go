package routing

import (
	"math"
	"time"
)

const (
	// bucketsPerDoubling sets the resolution of the latency distribution to 9 %.
	bucketsPerDoubling = 8
	quantileBuckets    = 24 * bucketsPerDoubling
	quantileUnit       = 10 * time.Microsecond
	// quantileWindow is the number of samples after which all counts are halved, so that the
	// distribution follows the load.
	quantileWindow = 2000
	// quantileWarm is the number of samples below which no quantile is stated.
	quantileWarm = 50
	// quantileEvery is the number of samples after which the quantile is computed again.
	quantileEvery = 32
)

// distribution follows the distribution of recent latencies.
type distribution struct {
	counts [quantileBuckets]float64
	total  float64
	added  int
	cached time.Duration
}

func (d *distribution) add(latency time.Duration) {
	index := int(bucketsPerDoubling * math.Log2(max(1, float64(latency)/float64(quantileUnit))))
	d.counts[min(index, quantileBuckets-1)]++
	d.total++
	d.added++

	if d.total >= 2*quantileWindow {
		d.total = 0

		for i := range d.counts {
			d.counts[i] /= 2
			d.total += d.counts[i]
		}
	}
}

// quantile returns an upper bound for the quantile, or zero while there are too few samples.
func (d *distribution) quantile(q float64) time.Duration {
	if d.total < quantileWarm {
		return 0
	}

	if d.cached > 0 && d.added < quantileEvery {
		return d.cached
	}

	d.added = 0
	sum := 0.0

	for i, count := range d.counts {
		sum += count
		if sum >= q*d.total {
			d.cached = time.Duration(float64(quantileUnit) * math.Exp2(float64(i+1)/bucketsPerDoubling))

			break
		}
	}

	return d.cached
}
