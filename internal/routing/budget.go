package routing

import "time"

// budgetSlots is the number of parts of a budget's window. The window slides by one part.
const budgetSlots = 10

// budgetUse is the part of the budget that a daemon uses. The rest is left for the calls that repeated requests
// make, which other daemons send and cannot tell from new ones, and which are only estimated.
const budgetUse = 0.7

// Repeats limits how often requests are sent once more.
type Repeats struct {
	// Share is the number of repeats allowed per request of the window.
	Share float64
	// Slack is the number of repeats that the whole fleet is allowed in each window besides.
	Slack float64
	// Window is the time over which both are counted.
	Window time.Duration
}

// budget counts the requests and repeats of one service in a sliding window.
type budget struct {
	requests [budgetSlots]int
	// repeats includes the calls that repeated requests are expected to make.
	repeats [budgetSlots]float64
	slot    int64
}

func (b *budget) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / (window.Nanoseconds() / budgetSlots)
	if b.slot == 0 || slot-b.slot >= budgetSlots {
		*b = budget{slot: slot}

		return
	}

	for b.slot < slot {
		b.slot++
		b.requests[b.slot%budgetSlots] = 0
		b.repeats[b.slot%budgetSlots] = 0
	}
}

func (b *budget) addRequest(now time.Time, limits Repeats) {
	b.advance(now, limits.Window)
	b.requests[b.slot%budgetSlots]++
}

func (b *budget) addRepeats(now time.Time, limits Repeats, count float64) {
	b.advance(now, limits.Window)
	b.repeats[b.slot%budgetSlots] += count
}

// counted returns the requests and repeats of the window.
func (b *budget) counted(now time.Time, limits Repeats) (int, float64) {
	b.advance(now, limits.Window)

	requests, repeats := 0, 0.0
	for i := range budgetSlots {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}

	return requests, repeats
}

// left is the number of repeats that may still be sent, if the fleet's slack is divided among daemons.
func (b *budget) left(now time.Time, limits Repeats, daemons int) float64 {
	requests, repeats := b.counted(now, limits)
	allowed := limits.Share*float64(requests) + limits.Slack/float64(max(1, daemons))

	return budgetUse*allowed - repeats
}
