package quota

import (
	"math"
	"slices"
	"time"
)

// isShort reports whether the bucket is expected to run out soon, without the loans that end soon.
func (s *State) isShort(now time.Time, t *tenant, base float64) bool {
	demand := t.demand.read(now)
	if demand < demandEnd || t.limit.rate <= 0 {
		return false
	}

	share := s.lastingShare(now, t, base)
	if share >= 1 {
		return false
	}

	level := min(t.level, share*t.limit.capacity)
	// The demand of a small tenant may seem too large by chance.
	deviation := math.Sqrt(demand/(2*t.demand.known(now).Seconds())) / 2

	return level+(share*t.limit.rate-demand+deviation)*shortHorizon.Seconds() < 1
}

// lastingShare returns the share without the loans that end soon.
func (s *State) lastingShare(now time.Time, t *tenant, base float64) float64 {
	return max(0, base+t.borrowedShare(now.Add(renewTime))-t.lentShare(now))
}

// stepLoans asks the pools of other failure domains for a part of the limits of the tenants that are short of tokens.
func (s *State) stepLoans(now time.Time, out *effects) {
	s.loseRequests(now)

	if s.planAt.IsZero() || now.Before(s.planAt) {
		return
	}

	s.planAt = time.Time{}
	base := s.base(now)
	s.returnLoans(now, base, out)
	short := s.shortTenants(now, base)
	plan := make([][]Item, len(s.lenders))

	// A message that an urgent tenant needs carries the others as well.
	for _, urgent := range []bool{true, false} {
		for _, t := range short {
			want := s.missingShare(now, t, base)
			if want < minLoan || urgent != (want*t.limit.rate >= urgentRate) {
				continue
			}

			if at, share := s.chooseLender(now, t, want, plan); at >= 0 {
				plan[at] = append(plan[at], Item{Tenant: t.id, Share: share})
			}
		}
	}

	for i, items := range plan {
		if len(items) > 0 {
			s.borrow(now, s.lenders[i], items, out)
		}
	}
}

// shortTenants returns the tenants that are short of tokens. It schedules the next check if there are any, or if loans
// may have to be renewed.
func (s *State) shortTenants(now time.Time, base float64) []*tenant {
	var short []*tenant

	for _, t := range s.order {
		if !t.short && t.demand == (demand{}) {
			continue
		}

		t.dropLoans(now)
		t.refill(now, base)

		if t.short = s.isShort(now, t, base); t.short {
			short = append(short, t)
		}

		if t.short || len(t.borrowed) > 0 {
			s.planAt = now.Add(planInterval)
		}

		if t.demand.read(now) < demandEnd/2 {
			t.demand = demand{}
		}
	}

	return short
}

// missingShare returns the share that a tenant's demand needs in addition.
func (s *State) missingShare(now time.Time, t *tenant, base float64) float64 {
	return min(1, demandReserve*t.demand.read(now)/t.limit.rate) - s.lastingShare(now, t, base)
}

// chooseLender returns the lender to ask for a share that a tenant needs, and the share to ask for; a negative number
// if none is to be asked now. A lender whose loan ends soon comes first.
func (s *State) chooseLender(now time.Time, t *tenant, want float64, plan [][]Item) (int, float64) {
	interval := calmInterval * time.Duration(len(s.lenders))
	if want*t.limit.rate >= urgentRate {
		interval = borrowInterval
	}

	chosen, share := -1, want

	for i, l := range s.lenders {
		if l.sequence != 0 {
			// An outstanding request may be about this tenant.
			if slices.ContainsFunc(l.wanted, func(item Item) bool { return item.Tenant == t.id }) {
				return -1, 0
			}

			continue
		}

		member, found := l.pool(now)
		open := len(plan[i]) > 0 || now.Sub(l.sentAt) >= interval

		if !found || !open || len(plan[i]) >= MaxItems || now.Before(t.backoff[l.place].until) {
			continue
		}

		ending, more, former := t.loanState(now, RunOf(member))
		if ending {
			return i, want
		}

		if more && chosen < 0 {
			// The new loan replaces the former one.
			chosen, share = i, want+former
		}
	}

	return chosen, share
}

// loanState reports whether a lender's loan ends soon, and otherwise whether the lender may lend more than now.
func (t *tenant) loanState(now time.Time, lender RunID) (ending, more bool, share float64) {
	at := slices.IndexFunc(t.borrowed, func(b loan) bool { return b.peer == lender })
	if at < 0 {
		return false, true, 0
	}

	former := t.borrowed[at]
	if !now.Add(renewTime).Before(former.until) {
		return true, false, 0
	}

	return false, !former.partial, former.share
}
