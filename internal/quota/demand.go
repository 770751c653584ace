package quota

import (
	"math"
	"time"
)

// demandPeriods are the periods over which a pool measures the demand of a tenant, the longest first.
var demandPeriods = [...]time.Duration{16 * time.Second, 4 * time.Second, time.Second, 200 * time.Millisecond}

// maxDeviations is the number of standard deviations by which the averages over two periods may differ by chance.
const maxDeviations = 2

// idleRate is the rate in requests per second below which a tenant counts as idle.
const idleRate = 0.02

// minKnown is the shortest time over which requests are averaged after a tenant was idle.
const minKnown = time.Second

// demand is the rate of the requests that a pool has heard of.
type demand struct {
	// since is when the tenant's first request arrived after it was idle.
	since    time.Time
	averages [len(demandPeriods)]average
}

// add counts requests.
func (d *demand) add(now time.Time, count float64) {
	if d.averages[0].read(now, demandPeriods[0]) < idleRate {
		d.since = now
	}

	for i, period := range demandPeriods {
		d.averages[i].add(now, count, period)
	}
}

// read returns the rate per second: the average over the longest period that differs from those over shorter ones only
// by chance. So the rate of a tenant with few requests is steady, and a change of many is noticed at once.
func (d *demand) read(now time.Time) float64 {
	rate := d.averages[0].read(now, demandPeriods[0])
	// An average that has begun a short time ago is too low.
	rate /= 1 - math.Exp(-d.known(now).Seconds()/demandPeriods[0].Seconds())

	for i, period := range demandPeriods[1:] {
		recent := d.averages[i+1].read(now, period)
		// The average of requests at random times has this deviation.
		deviation := maxDeviations * math.Sqrt(max(rate, recent)/(2*period.Seconds()))
		rate = min(max(rate, recent-deviation), recent+deviation)
	}

	return rate
}

// known returns the time for which the longest average has counted requests, at least minKnown and at most its period.
func (d *demand) known(now time.Time) time.Duration {
	return min(max(now.Sub(d.since), minKnown), demandPeriods[0])
}

// average is a rate per second that decays with a time constant.
type average struct {
	value float64
	at    time.Time
}

// add counts events.
func (a *average) add(now time.Time, count float64, period time.Duration) {
	a.value, a.at = a.read(now, period)+count/period.Seconds(), now
}

// read returns the rate per second.
func (a *average) read(now time.Time, period time.Duration) float64 {
	if a.value == 0 {
		return 0
	}

	return a.value * math.Exp(-max(0, now.Sub(a.at).Seconds())/period.Seconds())
}
