package routing

import "time"

// share is a budget that grows with each request and is spent by repeated attempts.
type share struct{ balance float64 }

// shareReserve is the balance that a service starts with and the largest that it keeps, so that a quiet
// service can still retry, but a burst of failures does not multiply its load.
const shareReserve = 10

func newShare() share { return share{balance: shareReserve} }

// plenty reports whether enough is left to spend on what is useful but not necessary.
func (b *share) plenty() bool { return b.balance >= shareReserve/2 }

func (b *share) earn(amount float64) { b.balance = min(b.balance+amount, shareReserve) }

func (b *share) spend() bool {
	if b.balance < 1 {
		return false
	}

	b.balance--

	return true
}

func (b *share) refund() { b.earn(1) }

const (
	// HintBytes is charged for a load hint: the header that asks for it and the header that carries it.
	HintBytes = 64
	// ProbeBytes is charged for a probe: request and response with their headers.
	ProbeBytes = 512
	// headerBytes is added to a request's size for what crosses the region link.
	headerBytes = 400
	// spillUnit is the least that the budget for the region link can hold: a request and its answer
	// of the size that is still verified as a whole.
	spillUnit = 300 << 10
)

// bucket is a token bucket. It starts empty and its balance may become negative by settle, so that the
// total that was taken never exceeds rate times the time since the start.
type bucket struct {
	rate    float64
	burst   float64
	balance float64
	at      time.Time
}

// setRate changes the rate in units per second. The bucket holds what one second yields, but at least
// one unit of expenditure, because otherwise a small share could never be spent.
func (b *bucket) setRate(now time.Time, rate, unit float64) {
	b.refill(now)
	b.rate = max(0, rate)
	b.burst = 0

	if b.rate > 0 {
		b.burst = max(b.rate, unit)
	}

	b.balance = min(b.balance, b.burst)
}

func (b *bucket) refill(now time.Time) {
	if !b.at.IsZero() && now.After(b.at) {
		b.balance = min(b.balance+b.rate*now.Sub(b.at).Seconds(), b.burst)
	}

	b.at = now
}

// has reports whether the amount can be taken.
func (b *bucket) has(now time.Time, amount float64) bool {
	b.refill(now)

	return b.balance >= amount
}

// settle corrects the balance by the difference between an estimate and the actual amount.
func (b *bucket) settle(amount float64) { b.balance = min(b.balance-amount, b.burst) }

// measuring is an entry's share of a service's measuring budget.
type measuring struct {
	probes bucket
	bytes  bucket
	cross  bucket
}

// takeHint pays for a load hint from the server.
func (m *measuring) takeHint(now time.Time, srv *server) bool {
	return m.take(now, srv, HintBytes)
}

// takeProbe pays for a probe of the server.
func (m *measuring) takeProbe(now time.Time, srv *server) bool {
	if !m.probes.has(now, 1) || !m.take(now, srv, ProbeBytes) {
		return false
	}

	m.probes.settle(1)

	return true
}

func (m *measuring) take(now time.Time, srv *server, amount float64) bool {
	if !m.bytes.has(now, amount) || !srv.local && !m.cross.has(now, amount) {
		return false
	}

	m.settle(srv, amount)

	return true
}

func (m *measuring) settle(srv *server, amount float64) {
	m.bytes.settle(amount)

	if !srv.local {
		m.cross.settle(amount)
	}
}
