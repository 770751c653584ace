package routing

import (
	"time"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// spillBudget is a token bucket that limits the traffic between this daemon and other regions, requests and
// responses included. One attempt may take more than the bucket holds, so the balance may become negative; then no
// attempt is sent to another region until it is positive again.
type spillBudget struct {
	unlimited bool
	// rate is in bytes per second, balance in bytes.
	rate, balance float64
	updated       time.Time
}

// setLimit sets the rate to this daemon's share of the budget. The balance starts with the bytes of one second, which
// is also its maximum.
func (b *spillBudget) setLimit(now time.Time, budget manifest.Budget, daemons int) {
	b.refill(now)

	first := b.rate == 0
	b.unlimited = budget.Unlimited
	b.rate = float64(budget.Spill) / float64(max(1, daemons))

	if first {
		b.balance = b.rate
	}

	b.balance = min(b.balance, b.rate)
}

// refill adds the bytes for the time since the last call.
func (b *spillBudget) refill(now time.Time) {
	if elapsed := now.Sub(b.updated); elapsed > 0 {
		b.balance = min(b.rate, b.balance+b.rate*elapsed.Seconds())
		b.updated = now
	}
}

// hasBalance reports whether an attempt may be sent to another region.
func (b *spillBudget) hasBalance(now time.Time) bool {
	b.refill(now)

	return b.unlimited || b.balance > 0
}

// spend takes the expected bytes of an attempt from the balance.
func (b *spillBudget) spend(now time.Time, bytes float64) {
	b.refill(now)
	b.balance -= bytes
}
