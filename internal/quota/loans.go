package quota

import (
	"math"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

const (
	// loanTime is the longest time for which a share is lent. It counts from the request for the borrower and from the
	// grant, plus loanMargin, for the lender.
	loanTime   = 2 * time.Second
	loanMargin = 50 * time.Millisecond
	// minLoanTime is the shortest loan. A share whose lease ends sooner is not lent.
	minLoanTime = 1200 * time.Millisecond
	// renewTime is the remaining time below which a loan does not count any more for whether a pool is short.
	renewTime = 800 * time.Millisecond
	// borrowInterval is the least time between two requests of a pool to the same failure domain, if a tenant needs at
	// least urgentRate more requests per second. Otherwise it is calmInterval for each other failure domain, so that the
	// messages of all pools grow only with the number of failure domains, not with its square.
	borrowInterval = 250 * time.Millisecond
	calmInterval   = 333 * time.Millisecond
	urgentRate     = 5
	// planInterval is the time between two checks of which tenants are short.
	planInterval = 50 * time.Millisecond
	// loanTimeout is the time after which a request for a loan counts as lost.
	loanTimeout = 200 * time.Millisecond
	// lenderSilence is the time for which a lender is not asked after two lost requests in a row.
	lenderSilence = 3 * time.Second
	// minBackoff and maxBackoff bound the time for which a lender is not asked for a tenant for which it has lent less
	// than a tenth of what was wanted.
	minBackoff = 500 * time.Millisecond
	maxBackoff = 4 * time.Second
	// shortHorizon is the time within which the bucket of a pool that is short would run out.
	shortHorizon = 2 * time.Second
	// demandReserve is the factor by which a share exceeds the demand if that is possible.
	demandReserve = 1.25
	// keptPart is the part of its leases that a pool does not lend, for callers that come back to its failure domain.
	keptPart = 0.1
	// keptTokens is the capacity that a pool keeps in any case if it has as much. With a smaller one, a bucket of a small
	// limit would not hold a token.
	keptTokens = 1.2
	// minLoan is the smallest share that is asked for or lent.
	minLoan = 0.01
	// demandEnd is the demand in requests per second below which a pool does not borrow.
	demandEnd = 0.2
)

// loan is a part of a limit that is lent until a time. Peer is the run of the lender or of the borrower.
type loan struct {
	peer  RunID
	share float64
	until time.Time
	// partial is set for a borrower if more was wanted.
	partial bool
	// sequence is, for a lender, that of the request.
	sequence uint64
}

// backoff is the time until which a lender is not asked. Step is the last delay.
type backoff struct {
	until time.Time
	step  time.Duration
}

// borrowedShare returns the sum of the loans from other pools.
func (t *tenant) borrowedShare(at time.Time) float64 {
	sum := 0.0

	for _, l := range t.borrowed {
		if at.Before(l.until) {
			sum += l.share
		}
	}

	return sum
}

// lentShare returns the sum of the loans to other pools. Of several loans to the same pool the largest counts, because
// a new loan replaces the former one at the borrower, unless it is lost.
func (t *tenant) lentShare(at time.Time) float64 {
	sum := 0.0

	for i, l := range t.lent {
		if !at.Before(l.until) {
			continue
		}

		larger := func(j int, other loan) bool {
			return other.peer == l.peer && at.Before(other.until) &&
				(other.share > l.share || other.share == l.share && j < i)
		}

		covered := false
		for j, other := range t.lent {
			covered = covered || larger(j, other)
		}

		if !covered {
			sum += l.share
		}
	}

	return sum
}

func (t *tenant) dropLoans(now time.Time) {
	t.borrowed = slices.DeleteFunc(t.borrowed, func(l loan) bool { return !now.Before(l.until) })
	// A loan still counts for the refill of the time before its end.
	t.lent = slices.DeleteFunc(t.lent, func(l loan) bool {
		return !now.Before(l.until) && !t.refilledAt.Before(l.until)
	})
}

// handleBorrow lends what the demand of this pool leaves.
func (s *State) handleBorrow(now time.Time, from instance.Member, m Message, out *effects) {
	base := s.base(now)
	term := s.loanTerm(now)
	lendable := s.leased(now, minLoanTime+loanMargin)
	reply := Message{Kind: Loan, Sequence: m.Sequence}

	for _, item := range m.Items {
		answer := Item{Tenant: item.Tenant}

		if t := s.byID[item.Tenant]; t != nil {
			answer.Share = s.lend(now, t, base, lendable, loan{
				peer: m.From, share: item.Share, until: now.Add(term + loanMargin), sequence: m.Sequence,
			})
			answer.Wait = term
		}

		reply.Items = append(reply.Items, answer)
	}

	s.send(from, reply, out)
}

// loanTerm returns for how long this pool can lend: until the first lease ends of those that last long enough.
func (s *State) loanTerm(now time.Time) time.Duration {
	term := loanTime

	for _, l := range s.pool.leases {
		if !l.own && l.valid(now.Add(minLoanTime+loanMargin)) {
			term = min(term, l.expires.Sub(now)-loanMargin)
		}
	}

	return term.Truncate(time.Millisecond)
}

// lend lends at most the wanted share and returns what was lent.
func (s *State) lend(now time.Time, t *tenant, base, lendable float64, wanted loan) float64 {
	t.dropLoans(now)
	t.refill(now, base)

	if t.limit.rate <= 0 {
		return 0
	}

	kept := max(base*keptPart, keptTokens/t.limit.capacity, demandReserve*t.demand.read(now)/t.limit.rate)
	// What the borrower has from this pool is replaced by the new loan.
	others := tenant{bucket: bucket{lent: slices.DeleteFunc(slices.Clone(t.lent), func(l loan) bool {
		return l.peer == wanted.peer
	})}}
	spare := min(lendable, base-kept) - others.lentShare(now)
	wanted.share = math.Floor(min(spare, wanted.share)*shareScale) / shareScale

	if wanted.share < minLoan {
		return 0
	}

	t.lent = append(t.lent, wanted)
	t.refill(now, base)
	s.counts.Lent++

	return wanted.share
}

// handleLoan adds what another pool has lent. The loan counts from the request for it.
func (s *State) handleLoan(now time.Time, from instance.Member, m Message) {
	at := slices.IndexFunc(s.lenders, func(l *lender) bool {
		return l.sequence != 0 && l.sequence == m.Sequence && sameRun(l.asked, from)
	})
	if at < 0 {
		return
	}

	l := s.lenders[at]
	wanted, sentAt := l.wanted, l.sentAt
	l.sequence, l.missed, l.wanted = 0, 0, nil
	base := s.base(now)

	for i, item := range m.Items {
		t := s.byID[item.Tenant]
		if t == nil || i >= len(wanted) || wanted[i].Tenant != item.Tenant {
			continue
		}

		t.setBackoff(now, l.place, item.Share < wanted[i].Share/10)
		t.refill(now, base)

		if item.Share > 0 {
			t.borrowed = slices.DeleteFunc(t.borrowed, func(b loan) bool { return b.peer == m.From })
			t.borrowed = append(t.borrowed, loan{
				peer: m.From, share: min(item.Share, wanted[i].Share), until: sentAt.Add(min(item.Wait, loanTime)),
				partial: item.Share < wanted[i].Share*0.9,
			})
			s.counts.Borrowed++
		}
	}

	s.planAt = now
}

// setBackoff records whether a lender had too little to lend.
func (t *tenant) setBackoff(now time.Time, place instance.Place, refused bool) {
	if t.backoff == nil {
		t.backoff = make(map[instance.Place]backoff)
	}

	if !refused {
		delete(t.backoff, place)

		return
	}

	step := min(max(2*t.backoff[place].step, minBackoff), maxBackoff)
	t.backoff[place] = backoff{until: now.Add(step), step: step}
}
