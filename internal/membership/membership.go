// Package membership keeps the table of daemons: who they are, whether they take new work, and which
// of them read and append the log for others. Tables spread by exchanges with a few neighbours, which
// also test liveness. The package does no I/O and reads no clock.
//
// Limits: tables agree eventually and not at any one moment; a member that is reachable from only a
// part of the fleet counts as reachable. Nothing here authenticates an announcement.
package membership

import (
	"cmp"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// State is the member table of one daemon and its exchanges. It is not safe for concurrent use.
type State struct {
	options
	random *rand.Rand
	table  table
	// self is nil before Started.
	self  *entry
	links []*link
	pull  pull
	// served holds the pulls that are being served, oldest first.
	served []served

	now       time.Time
	startedAt time.Time
	lastTick  time.Time
	lastSweep time.Time
	lastPush  time.Time
	reuniteAt time.Time
	surveyAt  time.Time

	// pulled is the version of the table when the start was complete. The fleet knows what came before:
	// it is not passed on, except for this daemon's own entry.
	pulled     uint64
	ready      bool
	superseded bool
	// stale is set if the neighbours have to be chosen anew.
	stale bool
	// urgent is set if a change waits for a push.
	urgent bool
	// services are those whose members changed during the present event.
	services map[string]struct{}
	effects  []Effect
}

// New returns a state that waits for Started.
func New(chosen ...Option) *State {
	s := &State{
		options:  defaults(),
		table:    table{index: map[instance.ID]*entry{}},
		services: map[string]struct{}{},
	}
	for _, option := range chosen {
		option(&s.options)
	}

	s.random = rand.New(rand.NewPCG(s.seed, 0))

	return s
}

// Apply changes the state by an event and returns what the daemon has to do. Times must not go back.
func (s *State) Apply(now time.Time, event Event) []Effect {
	s.now, s.effects = now, nil

	if started, ok := event.(Started); ok {
		s.startUp(started)
	} else if s.self != nil {
		s.apply(event)
	}

	s.flush()

	return s.effects
}

func (s *State) apply(event Event) {
	switch e := event.(type) {
	case ContactsRead:
		s.pull.add(e.Peers...)
	case ExchangeReceived:
		s.exchangeReceived(e)
	case ExchangeEnded:
		s.exchangeEnded(e)
	case ExchangeFailed:
		s.exchangeFailed(e.To)
	case PageRequested:
		s.pageRequested(e)
	case PageReceived:
		s.pageReceived(e)
	case PullFailed:
		s.pullFailed(e.To)
	case DrainStarted:
		if s.self.member.Status == instance.Alive {
			s.announce(instance.Draining)
		}
	case LeaveStarted:
		if s.self.member.Status != instance.Left {
			s.announce(instance.Left)
		}
	case PeerObserved:
		s.observed(e)
	case Tick:
		s.tick()
	}
}

func (s *State) tick() {
	if s.now.Sub(s.lastTick) > pauseLimit {
		s.resume()
	}

	s.lastTick = s.now

	s.choose()
	s.exchangeDue()

	if s.self.member.Status == instance.Left {
		// Only the announcement is still to be passed on.
		return
	}

	s.advancePull()
	s.judgeLinks()
	s.survey()
	s.reunite()

	if s.now.Sub(s.lastSweep) >= sweepInterval {
		s.lastSweep = s.now
		s.table.remove(s.now.Add(-s.retention))
		s.dropLinks()
	}
}

// flush emits the effects that an event's changes call for.
func (s *State) flush() {
	if s.self == nil {
		return
	}

	if s.urgent && s.now.Sub(s.lastPush) >= pushInterval {
		s.push()
	}

	for _, service := range sortedKeys(s.services) {
		s.emit(MembersChanged{Service: service, Members: s.Members(service)})
	}

	clear(s.services)
}

func (s *State) emit(effect Effect) { s.effects = append(s.effects, effect) }

// announce changes this daemon's own status and tells its neighbours at once.
func (s *State) announce(status instance.Status) {
	s.store(s.self.member.WithStatus(status, s.self.member.Counter+1), s.self.member.ID)
	// Not delayed by an earlier push: a daemon that leaves ends soon after.
	s.push()
}

// store puts a changed announcement into the table.
func (s *State) store(member instance.Member, source instance.ID) {
	old := s.table.index[member.ID]

	var before instance.Member
	if old != nil {
		before = old.member
	}

	s.table.put(s.now, member, source)

	visible := member
	visible.Counter = before.Counter

	if old == nil || before != visible {
		s.stale = true
		s.services[member.Service] = struct{}{}
	}

	if old != nil && before.Service != member.Service {
		s.services[before.Service] = struct{}{}
	}

	if old != nil && before.Incarnation != member.Incarnation {
		s.resetLink(member.ID)
	}
}

// merge compares an announcement from a peer with the table.
func (s *State) merge(member instance.Member, source instance.ID) {
	if member.ID == s.self.member.ID {
		s.mergeSelf(member, source)

		return
	}

	member, ok := s.table.complete(member)
	if !ok {
		// The digest shows that an entry is missing.
		return
	}

	known := s.table.index[member.ID]
	if known != nil && !s.later(member, known.member) {
		if compare(known.member, member) > 0 {
			// The peer's entry is out of date.
			s.correct(source, member.ID)
		}

		return
	}

	s.store(member, source)

	// New work has to stop everywhere within 2 s; other changes can wait for the next exchange.
	if member.Status == instance.Draining || member.Status == instance.Left {
		s.urgent = true
	}
}

// later reports whether an announcement replaces another one.
func (s *State) later(announced, known instance.Member) bool {
	if s.unguarded && announced.Incarnation != known.Incarnation {
		return true
	}

	return compare(announced, known) > 0
}

// mergeSelf refutes what others say about this daemon.
func (s *State) mergeSelf(heard instance.Member, source instance.ID) {
	own := s.self.member

	switch {
	case heard.Incarnation > own.Incarnation && !s.ready:
		// The clock went back since the last run. Nothing depends on this run's number yet.
		own.Incarnation, own.Counter = heard.Incarnation+1, 0
		s.store(own, own.ID)
		s.urgent = true
	case heard.Incarnation > own.Incarnation:
		if !s.superseded {
			s.superseded = true
			s.emit(Superseded{By: heard})
		}
	case compare(heard, own) > 0:
		s.store(own.WithStatus(own.Status, heard.Counter+1), own.ID)
		s.urgent = true
	case compare(heard, own) < 0:
		s.correct(source, own.ID)
	}
}

// Self returns this daemon's own entry. The incarnation may grow until Ready, if an earlier run had a
// higher one.
func (s *State) Self() instance.Member {
	if s.self == nil {
		return instance.Member{}
	}

	return s.self.member
}

// All returns the members that are neither dead nor left, sorted by ID.
func (s *State) All() []instance.Member {
	members, _ := s.table.page("", len(s.table.entries))

	return members
}

// Members returns the members of a service that are neither dead nor left, sorted by ID.
func (s *State) Members(service string) []instance.Member {
	var members []instance.Member

	for _, e := range s.table.entries {
		if e.live() && e.member.Service == service {
			members = append(members, e.member)
		}
	}

	return members
}

// Neighbours returns the members that this daemon contacts, sorted by ID.
func (s *State) Neighbours() []instance.Member {
	var members []instance.Member

	for _, l := range s.links {
		if e := s.table.index[l.id]; l.out && e != nil {
			members = append(members, e.member)
		}
	}

	return members
}

// Relay reports whether this daemon reads the log for a region. Two or none for a while are harmless.
func (s *State) Relay(region string) bool {
	return s.leads("relay "+region, func(m instance.Member) bool { return m.Place.Region == region })
}

// Combiner reports whether this daemon appends to the log for a failure domain.
func (s *State) Combiner(domain string) bool {
	return s.leads("combiner "+domain, func(m instance.Member) bool { return m.Place.Domain == domain })
}

func (s *State) leads(role string, eligible func(instance.Member) bool) bool {
	return s.self != nil && leader(s.table.entries, role, eligible) == s.self
}

// Contacts returns a few peer addresses of this daemon's failure domain for a contact record.
func (s *State) Contacts() []netip.AddrPort {
	if s.self == nil {
		return nil
	}

	var peers []netip.AddrPort

	mates := newLayout(s.table.entries).regions[s.self.member.Place.Region][s.self.member.Place.Domain]
	for _, e := range gates(mates, "contact "+s.self.member.Place.Domain, contactLimit) {
		if e.member.Status == instance.Alive {
			peers = append(peers, e.member.Peer)
		}
	}

	return peers
}

// Dump is the state for operators.
type Dump struct {
	Self    instance.Member
	Ready   bool
	Digest  uint64
	Members []instance.Member
	Links   []LinkDump
}

// LinkDump is a peer that is exchanged with.
type LinkDump struct {
	ID instance.ID
	// Neighbour is set if this daemon starts the exchanges.
	Neighbour bool
	Contact   time.Time
	// Behind is the number of table versions that the peer has not confirmed.
	Behind uint64
}

// Dump returns the state. Members include dead and left ones.
func (s *State) Dump() Dump {
	dump := Dump{Self: s.Self(), Ready: s.ready, Digest: s.table.digest}

	for _, e := range s.table.entries {
		dump.Members = append(dump.Members, e.member)
	}

	for _, l := range s.links {
		dump.Links = append(dump.Links, LinkDump{
			ID: l.id, Neighbour: l.out, Contact: l.contact, Behind: s.table.seq - l.acked,
		})
	}

	return dump
}

func (s *State) find(id instance.ID) *link {
	at, found := slices.BinarySearchFunc(s.links, id, func(l *link, id instance.ID) int { return cmp.Compare(l.id, id) })
	if !found {
		return nil
	}

	return s.links[at]
}
