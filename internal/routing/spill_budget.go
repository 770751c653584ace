package routing

import (
	"time"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// link limits what this daemon sends to other regions, as requests and responses. What is used is only known
// afterwards and may be more than a second's share, so the balance may become negative; nothing is sent until
// it is positive again.
type link struct {
	unlimited bool
	// rate and balance are in bytes per second and bytes.
	rate, balance float64
	updated       time.Time
}

// limit sets this daemon's share of the budget. The balance starts with the share of one second.
func (l *link) limit(now time.Time, budget manifest.Budget, daemons int) {
	l.advance(now)

	first := l.rate == 0
	l.unlimited = budget.Unlimited
	l.rate = float64(budget.Spill) / float64(max(1, daemons))

	if first {
		l.balance = l.rate
	}

	l.balance = min(l.balance, l.rate)
}

func (l *link) advance(now time.Time) {
	if elapsed := now.Sub(l.updated); elapsed > 0 {
		l.balance = min(l.rate, l.balance+l.rate*elapsed.Seconds())
		l.updated = now
	}
}

func (l *link) free(now time.Time) bool {
	l.advance(now)

	return l.unlimited || l.balance > 0
}

func (l *link) use(now time.Time, bytes float64) {
	l.advance(now)
	l.balance -= bytes
}
