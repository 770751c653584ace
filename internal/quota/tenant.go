package quota

import (
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	// allowance is the number of tokens, and rateAllowance the time in which the rate brings as many, that the buckets of
	// all pools together may hold besides the burst. Without them, a pool with a small share of a small burst could not
	// hold one token.
	allowance     = 14
	rateAllowance = 50 * time.Millisecond
	// burstRefill is the time in which a burst without a rate becomes available again.
	burstRefill = 100 * time.Second
)

// limit is what a tenant may send to all daemons together.
type limit struct {
	// rate is in requests per second.
	rate float64
	// capacity is the number of tokens that all pools together may hold.
	capacity float64
}

// limitOf returns the limit of a tenant that has one. A burst without a rate becomes available again within
// burstRefill. A rate without a burst still lets the pools hold the allowance.
func limitOf(t manifest.Tenant) limit {
	rate, burst := sane(t.Rate), sane(t.Burst)
	if rate == 0 {
		rate = burst / burstRefill.Seconds()
	}

	return limit{rate: rate, capacity: burst + allowance + rate*rateAllowance.Seconds()}
}

// sane returns a number from 0 to manifest.MaxRate; zero for NaN.
func sane(number float64) float64 {
	if !(number > 0) {
		return 0
	}

	return min(number, manifest.MaxRate)
}

// tenant is the state of one limited tenant: what this daemon needs as an entry daemon and as a pool.
type tenant struct {
	name  string
	id    TenantID
	limit limit
	entry
	bucket
}

// changePolicy puts the limits of a manifest in force. A changed limit drops the tokens at this daemon. The requests of
// a tenant that has no limit any more continue.
func (s *State) changePolicy(now time.Time, e PolicyChanged, out *effects) {
	s.refillAll(now)

	former := s.tenants
	s.tenants = make(map[string]*tenant, len(e.Tenants))
	s.byID = make(map[TenantID]*tenant, len(e.Tenants))
	s.order = s.order[:0]

	for _, m := range e.Tenants {
		if !m.Limited() {
			continue
		}

		t := former[m.Name]
		if t == nil {
			t = &tenant{name: m.Name}
			t.refilledAt = now
		}

		if l := limitOf(m); l != t.limit {
			t.limit, t.stock, t.refusedUntil = l, nil, time.Time{}
			t.refill(now, s.base(now))
		}

		s.tenants[m.Name] = t
		s.order = append(s.order, t)
	}

	slices.SortFunc(s.order, func(a, b *tenant) int {
		if a.name < b.name {
			return -1
		}

		return 1
	})

	s.setTenantIDs()

	s.busy = slices.DeleteFunc(s.busy, func(t *tenant) bool {
		if s.tenants[t.name] == t {
			return false
		}

		s.admitAll(t, out)

		return true
	})
}

// setTenantIDs gives each tenant an ID of its own. Daemons with the same tenants choose the same IDs.
func (s *State) setTenantIDs() {
	for _, t := range s.order {
		t.id = TenantIDOf(t.name)

		for suffix := ""; s.byID[t.id] != nil; {
			suffix += "/"
			t.id = TenantIDOf(t.name + suffix)
		}

		s.byID[t.id] = t
	}
}

// admitAll lets all waiting requests of a tenant continue without a token.
func (s *State) admitAll(t *tenant, out *effects) {
	for _, w := range t.queue {
		delete(s.waiting, w.id)
		out.add(Admit{ID: w.id})
	}

	t.queue = nil
}

// refuseAll refuses all waiting requests.
func (s *State) refuseAll(now time.Time, reason Reason, out *effects) {
	for _, t := range s.busy {
		s.refuseQueue(now, t, reason, out)
	}
}

// takenToken is the token of an admitted request.
type takenToken struct {
	id      request.ID
	tenant  string
	expires time.Time
}

// returnToken puts the token of a refused request back into the stock, unless it has expired.
func (s *State) returnToken(now time.Time, id request.ID) {
	at := slices.IndexFunc(s.taken, func(t takenToken) bool { return t.id == id })
	if at < 0 {
		return
	}

	token := s.taken[at]
	s.taken = slices.Delete(s.taken, at, at+1)

	if t := s.tenants[token.tenant]; t != nil && now.Before(token.expires) {
		t.addStock(batch{count: 1, expires: token.expires})
		s.counts.Returned++
	}
}

// dropTaken forgets the tokens that are too old to be returned.
func (s *State) dropTaken(now time.Time) {
	kept := slices.IndexFunc(s.taken, func(t takenToken) bool { return now.Before(t.expires) })
	if kept < 0 {
		kept = len(s.taken)
	}

	s.taken = slices.Delete(s.taken, 0, kept)
}
