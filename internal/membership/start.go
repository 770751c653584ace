package membership

import (
	"net/netip"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

const (
	// retryDelay is the largest delay before the next peer is asked for the table. It doubles with
	// each refusal, up to retryDoublings times, so that a mass start does not flood the seeds.
	retryDelay     = 100 * time.Millisecond
	retryDoublings = 3
	// patience multiplies the start timeout of a daemon whose peers respond but are starting
	// themselves: the seeds start first, and the others then find one fleet.
	patience = 3
)

// pull is the state of pulling a table in pages, at the start or to repair a difference.
type pull struct {
	// peers are addresses to try, in turn.
	peers []netip.AddrPort
	at    int
	// seeds are the peers that did not come from the table.
	seeds []netip.AddrPort

	target   netip.AddrPort
	inflight bool
	sentAt   time.Time
	after    instance.ID
	next     time.Time
	// refused counts busy peers in a row.
	refused int
	// isSeed is set if others start from this daemon.
	isSeed   bool
	deadline time.Time
	// repair is the peer whose table is compared, or empty while starting.
	repair     instance.ID
	repairedAt time.Time
	// repairDelay is the least time to the next repair; it doubles until two tables agree.
	repairDelay time.Duration
}

// add appends addresses that are not known yet.
func (p *pull) add(peers ...netip.AddrPort) {
	for _, peer := range peers {
		if peer.IsValid() && !slices.Contains(p.seeds, peer) {
			p.seeds = append(p.seeds, peer)
			p.seeds = p.seeds[max(len(p.seeds)-seedLimit, 0):]
		}

		if peer.IsValid() && !slices.Contains(p.peers, peer) {
			p.peers = append(p.peers, peer)
		}
	}
}

func (s *State) startUp(e Started) {
	s.self = s.table.put(s.now, e.Self, e.Self.ID)
	s.services[e.Self.Service] = struct{}{}
	s.lastTick, s.lastSweep = s.now, s.now
	s.startedAt, s.reuniteAt = s.now, s.now.Add(s.interval)
	s.pull.deadline = s.now.Add(s.start)

	s.pull.isSeed = slices.Contains(e.Seeds, e.Self.Peer)
	seeds := slices.DeleteFunc(slices.Clone(e.Seeds), func(a netip.AddrPort) bool { return a == e.Self.Peer })
	s.random.Shuffle(len(seeds), func(i, j int) { seeds[i], seeds[j] = seeds[j], seeds[i] })
	s.pull.add(seeds...)
	s.advancePull()
}

// alone reports whether no other member is known.
func (s *State) alone() bool {
	return !slices.ContainsFunc(s.table.entries, func(e *entry) bool { return e != s.self && e.live() })
}

// advancePull asks the next peer for the table while there is none.
func (s *State) advancePull() {
	p := &s.pull

	if p.inflight && s.now.Sub(p.sentAt) > 2*CallTimeout {
		p.inflight = false
	}

	if !s.ready && !p.deadline.After(s.now) {
		s.becomeReady(true)
	}

	if p.inflight || p.next.After(s.now) || len(p.peers) == 0 || (s.ready && !s.alone()) {
		return
	}

	p.target = p.peers[p.at%len(p.peers)]
	p.at++
	p.repair, p.after = "", ""
	s.askPage()
}

func (s *State) askPage() {
	s.pull.inflight, s.pull.sentAt = true, s.now
	s.emit(Pull{To: s.pull.target, From: s.self.member.ID, After: s.pull.after, Limit: pageSize})
}

// becomeReady starts the exchanges.
func (s *State) becomeReady(alone bool) {
	if s.ready {
		return
	}

	s.ready, s.stale, s.urgent = true, true, true
	s.pulled = s.table.seq

	for _, l := range s.links {
		l.acked = max(l.acked, s.pulled)
	}

	s.emit(Ready{Alone: alone})
}

// startRepair pulls the table of a peer, to compare it page by page.
func (s *State) startRepair(e *entry) bool {
	p := &s.pull
	if p.inflight || s.now.Sub(p.repairedAt) < p.repairDelay {
		return false
	}

	p.repair, p.repairedAt = e.member.ID, s.now
	p.repairDelay = min(max(2*p.repairDelay, repairInterval), repairLimit)
	p.target, p.after = e.member.Peer, ""
	s.askPage()

	return true
}

func (s *State) pageReceived(e PageReceived) {
	p := &s.pull
	if !p.inflight || e.To != p.target {
		return
	}

	p.inflight = false

	if e.Busy {
		p.refused = min(p.refused+1, retryDoublings)

		if !p.isSeed {
			p.deadline = s.startedAt.Add(patience * s.start)
		}

		for _, member := range e.Members {
			if member.Peer != s.self.member.Peer && !slices.Contains(p.peers, member.Peer) {
				p.peers = append(p.peers, member.Peer)
			}
		}

		s.retryPull()

		return
	}

	for _, member := range e.Members {
		s.merge(member, p.repair)
	}

	if p.repair != "" {
		s.offer(p.repair, p.after, e)
	}

	if e.More && len(e.Members) > 0 {
		p.after = e.Members[len(e.Members)-1].ID
		s.askPage()

		return
	}

	p.repair, p.refused = "", 0

	if !s.alone() {
		p.peers = slices.Clone(p.seeds)
		s.becomeReady(false)
	}

	s.retryPull()
}

// offer plans to send what a peer's page lacks.
func (s *State) offer(peer, after instance.ID, page PageReceived) {
	for _, e := range s.table.entries {
		id := e.member.ID
		if id <= after || !e.live() || (page.More && len(page.Members) > 0 && id > page.Members[len(page.Members)-1].ID) {
			continue
		}

		if !slices.ContainsFunc(page.Members, func(m instance.Member) bool { return m.ID == id }) {
			s.correct(peer, id)
		}
	}
}

func (s *State) pullFailed(to netip.AddrPort) {
	if s.pull.inflight && to == s.pull.target {
		s.pull.inflight, s.pull.repair = false, ""
		s.retryPull()
	}
}

// retryPull sets when the next peer is asked: soon during the start, once a second after it.
func (s *State) retryPull() {
	delay := time.Duration(s.random.Int64N(int64(retryDelay << s.pull.refused)))
	if s.ready {
		delay += s.interval
	}

	s.pull.next = s.now.Add(delay)
}

// reunite tries a dead member or a seed that is not in the table, one every reuniteInterval.
func (s *State) reunite() {
	if s.now.Before(s.reuniteAt) || !s.ready {
		return
	}

	s.reuniteAt = s.now.Add(s.reunitePeriod() + time.Duration(s.random.Int64N(int64(retryDelay))))

	var dead []*entry

	known := map[netip.AddrPort]bool{}

	for _, e := range s.table.entries {
		if e.live() {
			known[e.member.Peer] = true
		} else if e.member.Status == instance.Dead {
			dead = append(dead, e)
		}
	}

	var seeds []netip.AddrPort

	for _, seed := range s.pull.seeds {
		if !known[seed] {
			seeds = append(seeds, seed)
		}
	}

	switch at := s.random.IntN(max(len(dead)+len(seeds), 1)); {
	case at < len(dead):
		if l := s.open(dead[at].member.ID); !l.inflight {
			s.exchange(l)
		}
	case len(seeds) > 0 && !s.pull.inflight:
		s.pull.target, s.pull.repair, s.pull.after = seeds[at-len(dead)], "", ""
		s.askPage()
	}
}

// reunitePeriod is short for a while after the start: of daemons that start at once, each may have
// found another seed.
func (s *State) reunitePeriod() time.Duration {
	if s.now.Sub(s.startedAt) < startPhase {
		return s.interval
	}

	return reuniteInterval
}

// served is a pull by another daemon.
type served struct {
	from    instance.ID
	expires time.Time
}

func (s *State) pageRequested(e PageRequested) {
	s.served = slices.DeleteFunc(s.served, func(p served) bool {
		return p.from == e.From || !p.expires.After(s.now)
	})

	// A table that is still being pulled would pass for a whole one.
	if len(s.served) >= pullLimit || !s.ready {
		s.emit(ReplyPage{Call: e.Call, Members: s.others(), Busy: true})

		return
	}

	members, more := s.table.page(e.After, max(e.Limit, 1))
	if more {
		s.served = append(s.served, served{from: e.From, expires: s.now.Add(pullTimeout)})
	}

	s.emit(ReplyPage{Call: e.Call, Members: members, More: more})
}

// others returns a few members that a refused daemon may ask instead.
func (s *State) others() []instance.Member {
	var candidates []instance.Member

	for _, e := range s.table.entries {
		if e != s.self && e.member.Status == instance.Alive {
			candidates = append(candidates, e.member)
		}
	}

	s.random.Shuffle(len(candidates), func(i, j int) { candidates[i], candidates[j] = candidates[j], candidates[i] })

	return candidates[:min(len(candidates), contactLimit)]
}
