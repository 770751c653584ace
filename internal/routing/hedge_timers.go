package routing

import (
	"cmp"
	"container/heap"
	"time"
)

// hedgeTimer is due when a running attempt has taken as long as its request's delay.
type hedgeTimer struct {
	at      time.Time
	attempt *attempt
	// pause is the time until the next check if this one sends nothing.
	pause time.Duration
}

// live reports whether the timer still has a purpose.
func (t hedgeTimer) live() bool {
	a := t.attempt

	return a.running && !a.ended && !a.cancelled && !a.flight.done && a.flight.giveUpReason == ""
}

// hedgeTimers is a heap of timers, so that neither the next one nor the expired ones need a scan of all requests.
// Timers without a purpose are removed when they come first.
type hedgeTimers []hedgeTimer

func (h hedgeTimers) Len() int { return len(h) }

// Less orders timers by time and then by request, so that equal events have equal effects.
func (h hedgeTimers) Less(i, j int) bool {
	return cmp.Or(h[i].at.Compare(h[j].at),
		cmp.Compare(h[i].attempt.flight.request.ID, h[j].attempt.flight.request.ID),
		cmp.Compare(h[i].attempt.number, h[j].attempt.number)) < 0
}

func (h hedgeTimers) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *hedgeTimers) Push(x any) {
	if timer, ok := x.(hedgeTimer); ok {
		*h = append(*h, timer)
	}
}

// Pop implements heap.Interface.
func (h *hedgeTimers) Pop() any {
	last := len(*h) - 1
	timer := (*h)[last]
	(*h)[last] = hedgeTimer{}
	*h = (*h)[:last]

	return timer
}

// next returns when the first timer is due; the zero time if there is none.
func (h *hedgeTimers) next() time.Time {
	for h.Len() > 0 {
		if first := (*h)[0]; first.live() {
			return first.at
		}

		heap.Pop(h)
	}

	return time.Time{}
}

// takeExpired removes the first timer that is due and returns it; false if none is due.
func (h *hedgeTimers) takeExpired(now time.Time) (hedgeTimer, bool) {
	at := h.next()
	if at.IsZero() || now.Before(at) {
		return hedgeTimer{}, false
	}

	timer, ok := heap.Pop(h).(hedgeTimer)

	return timer, ok
}
