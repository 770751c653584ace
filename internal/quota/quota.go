// Package quota enforces the rate limits of tenants over all daemons together. It does no I/O and reads no clock.
//
// A limit is divided into shares. With N daemons, each has the share 1/N and leases it to one pool: the daemon of its
// failure domain that has the lowest ID and answers. A pool keeps a token bucket for each tenant, filled at the part of
// the limit that the leases amount to. A request takes one token at its entry daemon, which asks the pool for tokens. A
// pool that runs short borrows a part of the limit from the pools of other failure domains. No share is ever counted in
// two pools, whatever datagrams are lost or daemons restarted; docs/design/rate-limits.md gives the reasons.
package quota

import (
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

// State is the part of the rate limits that one daemon keeps: as an entry daemon, and as the pool of its failure domain
// if other daemons choose it. It is not safe for concurrent use.
type State struct {
	// self is this daemon as the other daemons know it.
	self instance.Member
	run  RunID
	// started is the time of the first event, from which stamps count; zero before it.
	started time.Time
	// listed is set once the number of members is known.
	listed bool
	// contacted is set once no reachable daemon uses the share of this one by a lease of its earlier run: all others in the
	// failure domain know that the run has ended, or contactTime has passed.
	contacted bool
	closing   bool
	size      fleetSize
	// list holds all members, and members all by run.
	list    []instance.Member
	members map[RunID]instance.Member
	// neighbours are the members of the failure domain, sorted by ID, this daemon included.
	neighbours []instance.Member

	// tenants holds the limited tenants by name, byID by their ID, and order sorted by name.
	tenants map[string]*tenant
	byID    map[TenantID]*tenant
	order   []*tenant
	// busy lists the tenants that have waiting requests or ask for tokens.
	busy []*tenant
	// waiting holds the tenants of waiting requests.
	waiting map[request.ID]*tenant
	// taken lists the tokens that admitted requests have taken and may return, by expiry.
	taken []takenToken

	sequence uint64
	lease    lease
	pool     pool
	lenders  []*lender
	planAt   time.Time
	counts   Counts
}

// New returns the state of a daemon that knows no other daemon and no tenant yet.
func New(self instance.Member) *State {
	return &State{
		self: self, run: RunOf(self), members: make(map[RunID]instance.Member), tenants: make(map[string]*tenant),
		byID: make(map[TenantID]*tenant), waiting: make(map[request.ID]*tenant),
		lease: lease{silent: make(map[instance.ID]time.Time)},
	}
}

// Apply updates the state for one event and returns the resulting effects in order.
func (s *State) Apply(now time.Time, event Event) []Effect {
	if s.started.IsZero() {
		s.started = now
	}

	var out effects

	s.apply(now, event, &out)

	if len(s.tenants) > 0 {
		s.step(now, &out)
	}

	return out
}

// effects collects the effects of an event.
type effects []Effect

func (e *effects) add(effect Effect) { *e = append(*e, effect) }

func (s *State) apply(now time.Time, event Event, out *effects) {
	switch e := event.(type) {
	case Arrived:
		s.arrive(now, e, out)
	case Cancelled:
		s.cancel(e.ID)
	case Returned:
		s.returnToken(now, e.ID)
	case MembersChanged:
		s.changeMembers(now, e)
	case Contacted:
		s.contacted = true
		s.lease.sentAt = time.Time{}
	case PolicyChanged:
		s.changePolicy(now, e, out)
	case Heard:
		s.hear(now, e.Message, out)
	case Resumed:
		s.resume(now)
	case Closing:
		s.closing = true
		s.refuseAll(now, ShuttingDown, out)
	}
}

// step performs what is due.
func (s *State) step(now time.Time, out *effects) {
	if !s.listed {
		return
	}

	s.contacted = s.contacted || !now.Before(s.started.Add(contactTime))
	s.stepLease(now, out)
	s.stepEntry(now, out)
	s.stepLoans(now, out)
	s.notePool(now, out)
}

// Next returns when Tick is due; the zero time for never.
func (s *State) Next() time.Time {
	if len(s.tenants) == 0 || !s.listed {
		return time.Time{}
	}

	next := times.Next(s.nextLease(), s.nextLoan(), s.nextExpiry())
	for _, t := range s.busy {
		next = times.Next(next, t.nextEntry())
	}

	return next
}

// hear handles a datagram. It ignores those of unknown senders and those that are meant for another run.
func (s *State) hear(now time.Time, m Message, out *effects) {
	from, known := s.members[m.From]
	if !known || from.ID == "" || m.To != s.run || from.ID == s.self.ID {
		s.counts.Ignored++

		return
	}

	s.counts.Received++
	delete(s.lease.silent, from.ID)

	for _, l := range s.lenders {
		delete(l.silent, from.ID)
	}

	near := from.Place == s.self.Place

	switch {
	case m.Kind == Report && near:
		s.handleReport(now, from, m, out)
	case m.Kind == Reply && near:
		s.handleReply(now, from, m, out)
	case m.Kind == Borrow && !near:
		s.handleBorrow(now, from, m, out)
	case m.Kind == Loan && !near:
		s.handleLoan(now, from, m)
	case m.Kind == Return && !near:
		s.handleReturn(now, m)
	}
}

// send adds the effect that sends a message to a member.
func (s *State) send(to instance.Member, m Message, out *effects) {
	m.From, m.To = s.run, RunOf(to)

	s.counts.Sent++
	if to.Place != s.self.Place {
		s.counts.SentAcross++
	}

	out.add(Send{To: to.Peer, Message: m})
}

func (s *State) nextSequence() uint64 {
	s.sequence++

	return s.sequence
}

// stamp returns a time as a stamp of this run.
func (s *State) stamp(now time.Time) uint64 {
	return uint64(max(0, now.Sub(s.started).Milliseconds())) + 1
}

// timeOf returns the time of a stamp of this run.
func (s *State) timeOf(stamp uint64) time.Time {
	return s.started.Add(time.Duration(stamp-1) * time.Millisecond)
}

// changeMembers replaces the members. Leases and loans of runs that have ended are dropped.
func (s *State) changeMembers(now time.Time, e MembersChanged) {
	s.listed = s.listed || e.Listed

	if slices.EqualFunc(e.Members, s.list, equalHere) {
		return
	}

	s.refillAll(now)
	s.list = e.Members
	clear(s.members)
	s.neighbours = s.neighbours[:0]

	for _, member := range e.Members {
		if member.ID == s.self.ID {
			s.self, s.run = member, RunOf(member)
		}

		s.addMember(member)
	}

	for _, member := range e.Members {
		if member.Place == s.self.Place {
			s.neighbours = append(s.neighbours, member)
		}
	}

	for id := range s.lease.silent {
		if !slices.ContainsFunc(s.neighbours, func(m instance.Member) bool { return m.ID == id }) {
			delete(s.lease.silent, id)
		}
	}

	s.size.set(now, len(e.Members))
	s.dropEndedRuns()
	s.setLenders()
}

// addMember adds a member by its run. Of two members whose runs have the same ID, neither is known until one restarts,
// which happens to one fleet of 610 daemons in 20,000.
func (s *State) addMember(member instance.Member) {
	run := RunOf(member)

	if _, taken := s.members[run]; taken {
		member = instance.Member{}
	}

	s.members[run] = member
}

// equalHere reports whether two records of members do not differ in what matters for rate limits.
func equalHere(a, b instance.Member) bool {
	return sameRun(a, b) && a.Status == b.Status && a.Place == b.Place && a.Peer == b.Peer
}

// dropEndedRuns removes what depends on runs of daemons that are no members any more.
func (s *State) dropEndedRuns() {
	s.pool.leases = slices.DeleteFunc(s.pool.leases, func(l heldLease) bool {
		_, known := s.members[l.run]

		return !known
	})

	for _, t := range s.order {
		t.borrowed = slices.DeleteFunc(t.borrowed, func(l loan) bool {
			_, known := s.members[l.peer]

			return !known
		})
	}
}

// resume drops tokens, leases and loans, because they may have expired while the process was suspended.
func (s *State) resume(now time.Time) {
	s.pool.leases = nil
	s.lease.echo, s.lease.sentAt = 0, time.Time{}

	for _, t := range s.order {
		t.stock, t.borrowed = nil, nil
		t.level, t.refilledAt = 0, now
		t.answers = nil
	}
}

// shrinkDelay is the time for which a decrease of the number of members has no effect, so that a daemon that hears of
// it early does not use a larger share while others still use the former ones.
const shrinkDelay = 3 * time.Second

// fleetSize is the number of members by which the limits are divided.
type fleetSize struct {
	count, next int
	nextAt      time.Time
}

func (f *fleetSize) set(now time.Time, count int) {
	f.at(now)

	if count >= f.count {
		f.count = count
	} else if count != f.next {
		f.nextAt = now.Add(shrinkDelay)
	}

	f.next = count
}

// at returns the number at a time, at least one.
func (f *fleetSize) at(now time.Time) float64 {
	if f.next != f.count && !now.Before(f.nextAt) {
		f.count = f.next
	}

	return float64(max(1, f.count))
}
