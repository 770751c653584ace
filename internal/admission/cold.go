package admission

import (
	"math"
	"time"
)

const (
	// startWindow is the time for which a cold server states how many starts it tolerates.
	startWindow = time.Second
	// startInterval is the resolution of a startLog. A start counts up to this much longer than startWindow.
	startInterval = 10 * time.Millisecond
	// startIntervals is the number of intervals that a window touches.
	startIntervals = int64(startWindow/startInterval) + 1
	// earlierRunShare is the share of the starts of a cold server that an earlier run of the daemon leaves for the
	// first second of this one. With the starts of that run, a second across the restart has at most 1.5 times the
	// rate.
	earlierRunShare = 0.5
)

// startLog counts the starts of the last second in intervals, so that its size does not depend on the rate.
type startLog struct {
	// since is the time of the first event. The starts before it are unknown.
	since time.Time
	// newest is the number of the present interval, counted from since.
	newest int64
	// counts holds the starts by the number of their interval modulo its length.
	counts [startIntervals]int
}

// advance moves the log to the present time.
func (l *startLog) advance(now time.Time) {
	if l.since.IsZero() {
		l.since = now
	}

	present := l.intervalOf(now)
	for number := max(l.newest+1, present-startIntervals+1); number <= present; number++ {
		l.counts[number%startIntervals] = 0
	}

	l.newest = max(l.newest, present)
}

func (l *startLog) intervalOf(at time.Time) int64 {
	return int64(max(0, at.Sub(l.since)) / startInterval)
}

// add counts a start at the present time.
func (l *startLog) add() { l.counts[l.newest%startIntervals]++ }

// remove no longer counts a start.
func (l *startLog) remove(at time.Time) {
	number := l.intervalOf(at)
	if number > l.newest-startIntervals && l.counts[number%startIntervals] > 0 {
		l.counts[number%startIntervals]--
	}
}

// oldest returns the number of the oldest interval that counts: in the window, and not before a time.
func (l *startLog) oldest(from time.Time) int64 {
	return max(0, l.newest-startIntervals+1, l.intervalOf(from))
}

// total returns the number of starts in the window since a time.
func (l *startLog) total(from time.Time) int {
	total := 0
	for number := l.oldest(from); number <= l.newest; number++ {
		total += l.counts[number%startIntervals]
	}

	return total
}

// wait returns the time until an attempt may start after a number of others, if at most limit start in any second.
// Starts before from do not count.
func (l *startLog) wait(now, from time.Time, others, limit int) time.Duration {
	// Each limit of the others takes a whole window of its own.
	windows, started := others/limit, l.total(from)
	excess := started + others%limit + 1 - limit

	wait := time.Duration(windows) * (startWindow + startInterval)
	if excess > 0 {
		wait += l.expiry(from, excess).Sub(now)
	}

	if from.After(l.since) {
		return max(0, wait)
	}

	return max(0, wait, l.earlierRunWait(now, started+others+1, limit))
}

// expiry returns when the oldest starts since a time, of a number, have left the window.
func (l *startLog) expiry(from time.Time, number int) time.Time {
	oldest := l.oldest(from)
	for number -= l.counts[oldest%startIntervals]; number > 0 && oldest < l.newest; {
		oldest++
		number -= l.counts[oldest%startIntervals]
	}

	return l.since.Add(time.Duration(oldest+startIntervals) * startInterval)
}

// earlierRunWait returns the time until a number of starts in this run leave room for those of an earlier one.
func (l *startLog) earlierRunWait(now time.Time, number, limit int) time.Duration {
	if now.Sub(l.since) >= startWindow {
		return 0
	}

	seconds := float64(number) / (earlierRunShare * float64(limit))
	if seconds >= startWindow.Seconds() {
		return l.since.Add(startWindow).Sub(now)
	}

	return l.since.Add(time.Duration(math.Ceil(seconds * float64(time.Second)))).Sub(now)
}

// coldWait returns the time until an attempt may start after a number of others as far as the server is cold.
func (s *State) coldWait(now time.Time, others int) time.Duration {
	if s.coldRate <= 0 || !now.Before(s.coldUntil) {
		return 0
	}

	limit := max(1, int(s.coldRate))

	return min(s.starts.wait(now, s.coldFrom, others, limit), s.coldUntil.Sub(now))
}

// startWait returns the time until an attempt may start after a number of others, by the limit that the server states
// and while it is cold. An attempt that starts counts for both.
func (s *State) startWait(now time.Time, others int) time.Duration {
	return max(s.limiter.wait(now, others), s.coldWait(now, others))
}

// refusalWait returns the time until an attempt may start after a number of others, as far as it is certain: a server
// that only may be cold is expected to say so within milliseconds.
func (s *State) refusalWait(now time.Time, others int) time.Duration {
	if s.coldUnknown {
		return s.limiter.wait(now, others)
	}

	return s.startWait(now, others)
}

// mayStart reports whether an attempt may start as far as limits are concerned.
func (s *State) mayStart(now time.Time) bool { return s.startWait(now, 0) == 0 }
