package quota

import (
	"slices"
	"time"
)

// returnLoans returns loans early that are not needed any more, because the callers of a tenant have moved to another
// failure domain. It leaves small ones until they end, as each message costs more than they are worth.
func (s *State) returnLoans(now time.Time, base float64, out *effects) {
	for _, l := range s.lenders {
		member, found := l.pool(now)
		if !found || l.sequence != 0 {
			continue
		}

		var items []Item

		for _, t := range s.order {
			if len(items) < MaxItems && t.returnLoan(now, base, RunOf(member)) {
				items = append(items, Item{Tenant: t.id})
			}
		}

		if len(items) > 0 {
			s.send(member, Message{Kind: Return, Sequence: s.nextSequence(), Items: items}, out)
		}
	}
}

// returnLoan ends the loan of a lender if the demand does not need it. It reports whether it did.
func (t *tenant) returnLoan(now time.Time, base float64, lender RunID) bool {
	at := slices.IndexFunc(t.borrowed, func(l loan) bool { return l.peer == lender && now.Before(l.until) })
	if at < 0 || t.borrowed[at].share*t.limit.rate < urgentRate {
		return false
	}

	needed := demandReserve * t.demand.read(now) / t.limit.rate
	if t.share(now, base)-t.borrowed[at].share < needed {
		return false
	}

	t.refill(now, base)
	t.borrowed = slices.Delete(t.borrowed, at, at+1)

	return true
}

// handleReturn ends the loans that the borrower has returned. Those that it has asked for later, as datagrams may
// arrive in another order, remain.
func (s *State) handleReturn(now time.Time, m Message) {
	base := s.base(now)

	for _, item := range m.Items {
		if t := s.byID[item.Tenant]; t != nil {
			t.refill(now, base)
			t.lent = slices.DeleteFunc(t.lent, func(l loan) bool { return l.peer == m.From && l.sequence < m.Sequence })
		}
	}
}
