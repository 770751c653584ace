package membership

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// link is the state of the exchanges with one peer: a neighbour, a daemon whose neighbour this one is,
// or a member that is being surveyed.
type link struct {
	id instance.ID
	// out is set for neighbours, with which this daemon starts the exchanges.
	out bool
	// acked is the version of this table that the peer has confirmed.
	acked uint64
	// heard is the version of the peer's table that this one includes.
	heard    uint64
	inflight bool
	sentAt   time.Time
	// again asks for another exchange after the one in flight.
	again bool
	// extra are entries that the peer lacks although their version is confirmed.
	extra []instance.ID
	// extraSent is how many of them the exchange in flight holds.
	extraSent int
	// differ counts exchanges in a row that left the tables different.
	differ  int
	contact time.Time
	// probing is set until the peer responds. Meanwhile it is sent next to nothing, because changes
	// that pile up behind a partition would be sent again with each attempt.
	probing bool
	// held is when the silence last looked like a partition.
	held time.Time
	due  time.Time
}

// open returns the link to a peer and creates it if necessary.
func (s *State) open(id instance.ID) *link {
	at, found := slices.BinarySearchFunc(s.links, id, func(l *link, id instance.ID) int { return cmp.Compare(l.id, id) })
	if !found {
		s.links = slices.Insert(s.links, at, &link{id: id, due: s.now})
		s.resetLink(id)
	}

	return s.links[at]
}

// resetLink forgets what a peer has confirmed; a new run of it has a new table.
func (s *State) resetLink(id instance.ID) {
	l := s.find(id)
	if l == nil {
		return
	}

	l.acked, l.heard = max(s.pulled, s.table.before(s.now.Add(-recentWindow))), 0
	l.extra, l.extraSent = []instance.ID{s.self.member.ID}, 0
	l.differ = 0
	l.contact, l.probing = s.now, true
}

// correct plans to send an entry again to a peer that has an older one.
func (s *State) correct(peer, id instance.ID) {
	if l := s.find(peer); l != nil && !slices.Contains(l.extra, id) {
		l.extra = append(l.extra, id)
	}
}

// choose brings the links in line with the member set.
func (s *State) choose() {
	if !s.stale || !s.ready {
		return
	}

	s.stale = false
	wanted := neighbours(s.table.entries, s.self)

	for _, id := range wanted {
		if l := s.open(id); !l.out {
			// The silence of a peer counts from when this daemon begins to contact it.
			l.out, l.contact = true, s.now
		}
	}

	for _, l := range s.links {
		_, l.out = slices.BinarySearch(wanted, l.id)
	}
}

// dropLinks ends links that serve no purpose any more.
func (s *State) dropLinks() {
	s.links = slices.DeleteFunc(s.links, func(l *link) bool {
		return !l.out && !l.inflight && s.now.Sub(l.contact) > linkTimeout
	})
}

// exchangeDue starts the regular exchanges.
func (s *State) exchangeDue() {
	for _, l := range s.links {
		if l.inflight && s.now.Sub(l.sentAt) > 2*CallTimeout {
			// The daemon should have reported the end; the reducer does not depend on it.
			l.inflight = false
		}

		if l.out && !l.inflight && !l.due.After(s.now) {
			s.exchange(l)
		}
	}
}

// exchange starts an exchange over a link that has none in flight.
func (s *State) exchange(l *link) {
	e := s.table.index[l.id]
	if e == nil {
		return
	}

	l.inflight, l.sentAt = true, s.now
	// A spread of a tenth keeps the fleet's exchanges from falling into step.
	l.due = s.now.Add(s.interval - s.interval/20 + time.Duration(s.random.Int64N(int64(s.interval/10)+1)))

	message, extra := s.message(l)
	l.extraSent = extra
	s.emit(Exchange{To: e.member, Message: message})
}

// message builds what a peer has to be told, and returns how many of the extra entries it holds.
func (s *State) message(l *link) (Message, int) {
	limit := messageLimit

	var changes []*entry

	seq := l.acked
	if l.probing {
		limit = probeLimit
	} else {
		changes, seq = s.table.since(l.acked, l.id, messageLimit)
	}

	if e := s.table.index[l.id]; e != nil && (e.member.Status == instance.Accused || !e.live()) && !slices.Contains(changes, e) {
		// The peer has to know what it is to refute.
		changes = append(changes, e)
	}

	extra := min(len(l.extra), max(limit-len(changes), 0))
	for _, id := range l.extra[:extra] {
		if e := s.table.index[id]; e != nil && !slices.Contains(changes, e) {
			changes = append(changes, e)
		}
	}

	members := make([]instance.Member, len(changes))
	for i, e := range changes {
		members[i] = e.member

		if e.described <= l.acked && !slices.Contains(l.extra[:extra], e.member.ID) {
			members[i] = brief(e.member)
		}
	}

	return Message{
		From:        s.self.member.ID,
		Incarnation: s.self.member.Incarnation,
		Members:     members,
		Digest:      s.table.digest,
		Seq:         seq,
		Ack:         l.heard,
	}, extra
}

// pending reports whether a peer has to be told something.
func (s *State) pending(l *link) bool {
	changes, _ := s.table.since(l.acked, l.id, 1)

	return len(changes) > 0 || len(l.extra) > 0
}

// push passes urgent changes on at once, to the neighbours and to those whose neighbour this daemon is.
func (s *State) push() {
	s.urgent, s.lastPush = false, s.now
	s.choose()

	for _, l := range s.links {
		e := s.table.index[l.id]
		if e == nil || !e.live() || !s.pending(l) {
			continue
		}

		if l.inflight {
			l.again = true
		} else {
			s.exchange(l)
		}
	}
}

// hear takes over what a peer told.
func (s *State) hear(l *link, message Message) {
	// Versions of an earlier run's table mean nothing for the present one.
	e := s.table.index[l.id]
	current := e == nil || message.Incarnation >= e.member.Incarnation

	if current {
		s.contacted(l)
	}

	if current && message.Ack <= s.table.seq {
		l.acked = max(l.acked, message.Ack)
	}

	for _, member := range message.Members {
		s.merge(member, l.id)
	}

	if current {
		l.heard = max(l.heard, message.Seq)
	}
}

func (s *State) exchangeReceived(e ExchangeReceived) {
	from := e.Message.From
	if from == s.self.member.ID || from == "" {
		s.emit(Reply{Call: e.Call, Message: Message{From: s.self.member.ID, Incarnation: s.self.member.Incarnation}})

		return
	}

	l := s.open(from)
	s.hear(l, e.Message)

	message, extra := s.message(l)
	l.extra = l.extra[extra:]
	l.extraSent = max(l.extraSent-extra, 0)
	s.emit(Reply{Call: e.Call, Message: message})
}

func (s *State) exchangeEnded(e ExchangeEnded) {
	l := s.find(e.To)
	if l == nil {
		return
	}

	if e.Message.From != e.To {
		// Another daemon has taken over the address.
		s.exchangeFailed(e.To)

		return
	}

	l.inflight = false
	l.extra = l.extra[l.extraSent:]
	l.extraSent = 0
	l.again = l.again || (l.probing && l.out)
	s.hear(l, e.Message)
	s.compareDigest(l, e.Message)
	s.follow(l)
}

func (s *State) exchangeFailed(id instance.ID) {
	l := s.find(id)
	if l == nil {
		return
	}

	l.inflight, l.extraSent, l.probing = false, 0, true
	s.missed(id)
	s.follow(l)
}

// follow starts the exchange that a push asked for while another one was in flight.
func (s *State) follow(l *link) {
	if l.again && s.pending(l) {
		s.exchange(l)
	}

	l.again = false
}

// compareDigest starts a comparison page by page with a peer whose table stays different.
func (s *State) compareDigest(l *link, message Message) {
	if message.Digest == s.table.digest {
		l.differ, s.pull.repairDelay = 0, 0

		return
	}

	if s.pending(l) || len(message.Members) >= messageLimit {
		return
	}

	l.differ++

	if e := s.table.index[l.id]; l.differ >= differLimit && e != nil && s.startRepair(e) {
		l.differ = 0
	}
}
