package quota

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

const (
	// maxRefillTime is the longest time for which a bucket is refilled at once.
	maxRefillTime = 5 * time.Second
	// answerRetention is how long an answer is kept to repeat it.
	answerRetention = time.Second
	// emptyWait is the time after which to ask again while a pool has no share.
	emptyWait = 25 * time.Millisecond
	// rounding makes up for sums of fractions that are just below a whole number.
	rounding = 1e-6
)

// pool holds the shares that are leased to this daemon.
type pool struct {
	// leases are sorted by the ID of the daemon whose share it is.
	leases []heldLease
	active bool
}

// heldLease is the share of a daemon until a time.
type heldLease struct {
	id      instance.ID
	run     RunID
	expires time.Time
	// sequence is that of the last report of the run.
	sequence uint64
	// released is set once the daemon has taken its share back. The entry is kept, so that a delayed report does not bring
	// the share back.
	released bool
	// own is set for the share of this daemon, which does not expire.
	own bool
}

func (l heldLease) valid(now time.Time) bool { return l.own || !l.released && now.Before(l.expires) }

func (p *pool) holds(id instance.ID) bool {
	return slices.ContainsFunc(p.leases, func(l heldLease) bool { return l.id == id })
}

// uses reports whether the share of a daemon is leased now.
func (p *pool) uses(id instance.ID, now time.Time) bool {
	return slices.ContainsFunc(p.leases, func(l heldLease) bool { return l.id == id && l.valid(now) })
}

// put adds a lease or replaces the one of the same daemon.
func (p *pool) put(lease heldLease) {
	at, found := slices.BinarySearchFunc(p.leases, lease.id, func(l heldLease, id instance.ID) int {
		return cmp.Compare(l.id, id)
	})

	if found {
		p.leases[at] = lease

		return
	}

	p.leases = slices.Insert(p.leases, at, lease)
}

// base returns the part of each limit that is leased to this daemon, 0 to 1.
func (s *State) base(now time.Time) float64 { return s.leased(now, 0) }

// leased returns the part of each limit that is leased to this daemon and stays so for a time.
func (s *State) leased(now time.Time, remaining time.Duration) float64 {
	count := 0

	for _, l := range s.pool.leases {
		if l.valid(now.Add(remaining)) {
			count++
		}
	}

	return min(1, float64(count)/s.size.at(now))
}

// bucket is the part of a tenant's state for the pool.
type bucket struct {
	level      float64
	refilledAt time.Time
	demand     demand
	answers    []answer
	// borrowed are the loans from other pools, lent those to other pools.
	borrowed, lent []loan
	// refusedAt is when an entry daemon last got fewer tokens than its requests needed.
	refusedAt time.Time
	// short is set while the pool tries to borrow.
	short bool
	// backoff holds the lenders that had nothing to lend.
	backoff map[instance.Place]backoff
}

// answer is the last answer to an entry daemon.
type answer struct {
	run  RunID
	at   time.Time
	item Item
}

// refill adds the tokens since the last refill, by the share that has been valid for the whole time since then.
func (t *tenant) refill(now time.Time, base float64) {
	elapsed := min(max(0, now.Sub(t.refilledAt)), maxRefillTime)
	share := max(0, base+t.borrowedShare(now)-t.lentShare(t.refilledAt))
	t.refilledAt = now
	t.level = min(t.level+share*t.limit.rate*elapsed.Seconds(), t.capacity(now, base))
}

// share returns the part of the limit that the pool may use.
func (t *tenant) share(now time.Time, base float64) float64 {
	return max(0, base+t.borrowedShare(now)-t.lentShare(now))
}

func (t *tenant) capacity(now time.Time, base float64) float64 {
	return t.share(now, base) * t.limit.capacity
}

// refillAll refills all buckets before the leases change.
func (s *State) refillAll(now time.Time) {
	base := s.base(now)

	for _, t := range s.order {
		t.refill(now, base)
	}
}

// handleReport leases or releases the share of a daemon and grants tokens.
func (s *State) handleReport(now time.Time, from instance.Member, m Message, out *effects) {
	reply := Message{Kind: Reply, Sequence: m.Sequence, Lease: s.contacted}
	if len(m.Items) == 0 {
		reply.Stamp = s.stamp(now)
	}

	s.applyLease(now, from, m)

	if m.Release {
		reply.Release = !s.pool.uses(from.ID, now) && s.mayGiveBack(now)
	}

	for _, item := range m.Items {
		if t := s.byID[item.Tenant]; t != nil {
			reply.Items = append(reply.Items, s.grant(now, t, m.From, item))
		} else {
			reply.Items = append(reply.Items, Item{Tenant: item.Tenant, Number: item.Number, Wait: emptyWait})
		}
	}

	s.send(from, reply, out)
}

// applyLease renews, adds or ends the lease of a daemon's share.
func (s *State) applyLease(now time.Time, from instance.Member, m Message) {
	if !m.Lease && !m.Release {
		return
	}

	at := slices.IndexFunc(s.pool.leases, func(l heldLease) bool { return l.id == from.ID })
	if at >= 0 && s.pool.leases[at].run == m.From && m.Sequence <= s.pool.leases[at].sequence {
		return
	}

	// A released lease is remembered for as long as a delayed report could bring it back.
	expires := now.Add(leaseTime)

	if m.Lease {
		if m.Echo == 0 || m.Echo > s.stamp(now) {
			return
		}

		expires = s.timeOf(m.Echo).Add(leaseTime)
	}

	if at < 0 || !s.pool.leases[at].valid(now) || m.Release {
		s.refillAll(now)
	}

	s.pool.put(heldLease{id: from.ID, run: m.From, expires: expires, sequence: m.Sequence, released: m.Release})

	if m.Release {
		s.refillAll(now)
	}
}

// mayGiveBack reports whether the remaining leases cover all loans.
func (s *State) mayGiveBack(now time.Time) bool {
	base := s.base(now)

	return !slices.ContainsFunc(s.order, func(t *tenant) bool { return t.lentShare(now) > base })
}

// releaseOwnShare ends the lease of this daemon's share to itself. It returns when the share is free: the end of all
// loans if the remaining leases do not cover them.
func (s *State) releaseOwnShare(now time.Time) time.Time {
	s.refillAll(now)
	s.pool.leases = slices.DeleteFunc(s.pool.leases, func(l heldLease) bool { return l.own })
	s.refillAll(now)

	free := now

	if s.mayGiveBack(now) {
		return free
	}

	for _, t := range s.order {
		for _, l := range t.lent {
			if free.Before(l.until) {
				free = l.until
			}
		}
	}

	return free
}

// grant takes tokens out of a bucket for an entry daemon. A repeated request gets the same answer again.
func (s *State) grant(now time.Time, t *tenant, run RunID, item Item) Item {
	t.answers = slices.DeleteFunc(t.answers, func(a answer) bool { return now.Sub(a.at) > answerRetention })

	at := slices.IndexFunc(t.answers, func(a answer) bool { return a.run == run })
	if at >= 0 && item.Number <= t.answers[at].item.Number {
		return t.answers[at].item
	}

	base := s.base(now)
	t.demand.add(now, float64(item.Arrivals))
	t.refill(now, base)

	granted := min(item.Tokens+item.Extra, int(t.level+rounding))
	t.level = max(0, t.level-float64(granted))

	reply := Item{Tenant: item.Tenant, Number: item.Number, Tokens: granted}
	if granted < item.Tokens {
		supply := t.share(now, base) * t.limit.rate
		reply.Wait = waitFor(1-t.level, supply)
		reply.Share = shareOf(supply, t.demand.read(now))
		t.refusedAt = now
	}

	if at >= 0 {
		t.answers = slices.Delete(t.answers, at, at+1)
	}

	t.answers = append(t.answers, answer{run: run, at: now, item: reply})
	s.counts.TokensGranted += uint64(granted)

	if !t.short && s.isShort(now, t, base) {
		t.short, s.planAt = true, now
	}

	return reply
}

// waitFor returns the time until a bucket has got a number of tokens at a rate per second.
func waitFor(tokens, rate float64) time.Duration {
	if rate <= 0 {
		return emptyWait
	}

	return max(time.Millisecond, time.Duration(math.Ceil(min(maxRetryAfter.Seconds(), tokens/rate)*1e3))*time.Millisecond)
}

// shareOf returns the part of a demand that a supply covers.
func shareOf(supply, demand float64) float64 {
	if demand <= supply || demand <= 0 {
		return 1
	}

	return supply / demand
}

// notePool drops leases that have ended, and reports when this daemon starts or ceases to hold any.
func (s *State) notePool(now time.Time, out *effects) {
	s.pool.leases = slices.DeleteFunc(s.pool.leases, func(l heldLease) bool {
		return !l.own && !now.Before(l.expires)
	})

	if active := s.base(now) > 0; active != s.pool.active {
		s.pool.active = active
		out.add(PoolChanged{Started: active})
	}
}

// nextExpiry returns when the first lease ends.
func (s *State) nextExpiry() time.Time {
	var next time.Time

	for _, l := range s.pool.leases {
		if !l.own {
			next = times.Next(next, l.expires)
		}
	}

	return next
}
