package logrelay

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
)

const (
	// pullTime is after how long another neighbour is asked.
	pullTime = time.Second
	// maxAnswer bounds a page in bytes, so that a pull takes a fraction of pullTime on the region
	// link of 30 Mbit/s. One record may exceed it.
	maxAnswer = 512 << 10
	// peerTime is how long a daemon that is no neighbour is told of new offsets after it was heard.
	peerTime = 5 * time.Second
	// rereadInterval is the time between reads of the whole log while no peer has a base.
	rereadInterval = 30 * time.Second
	// maxPeers bounds the daemons remembered per stream.
	maxPeers = 64
)

// peer is how far another daemon has read.
type peer struct {
	id     instance.ID
	offset uint64
	heard  time.Time
}

func (s *State) changeNeighbours(neighbours []instance.ID) {
	s.neighbours = slices.Clone(neighbours)
}

func (st *stream) find(id instance.ID) (int, bool) {
	return slices.BinarySearchFunc(st.peers, id, func(p peer, id instance.ID) int { return cmp.Compare(p.id, id) })
}

func (s *State) heard(now time.Time, e ThroughsHeard) []Effect {
	var effects []Effect

	for _, through := range e.Throughs {
		st := s.stream(through.Stream)
		if st == nil {
			continue
		}

		st.note(now, e.From, through.Offset)

		if through.Offset >= st.next {
			st.heard = now
			if at := now.Add(-through.Age); at.After(st.confirmed) {
				st.confirmed = at
			}
		}

		st.expect(now, through.Offset)
		effects = s.pull(now, st, effects)
	}

	return effects
}

// note remembers how far a peer has read.
func (st *stream) note(now time.Time, id instance.ID, offset uint64) {
	st.peers = slices.DeleteFunc(st.peers, func(p peer) bool { return now.Sub(p.heard) > peerTime })

	i, found := st.find(id)
	if !found {
		if len(st.peers) >= maxPeers {
			return
		}

		st.peers = slices.Insert(st.peers, i, peer{id: id})
	}

	st.peers[i].offset, st.peers[i].heard = offset, now
}

// pull asks the nearest daemon that is ahead.
func (s *State) pull(now time.Time, st *stream, effects []Effect) []Effect {
	if st.pulling != "" {
		return effects
	}

	target, found := s.ahead(st)
	if !found {
		return effects
	}

	st.pulling, st.pullEnds = target, now.Add(pullTime)
	s.counts.Pulls++

	return append(effects, Pull{Peer: target, Stream: st.name, From: st.next})
}

func (s *State) ahead(st *stream) (instance.ID, bool) {
	for _, id := range s.neighbours {
		if i, found := st.find(id); found && st.peers[i].offset > st.next {
			return id, true
		}
	}

	for _, p := range st.peers {
		if p.offset > st.next {
			return p.id, true
		}
	}

	return "", false
}

func (s *State) pullOverdue(now time.Time, st *stream, effects []Effect) []Effect {
	if st.pulling == "" || now.Before(st.pullEnds) {
		return effects
	}

	return s.pullFailed(now, st, effects)
}

// pullFailed passes over a peer until it is heard again.
func (s *State) pullFailed(now time.Time, st *stream, effects []Effect) []Effect {
	s.counts.PullFailures++

	if i, found := st.find(st.pulling); found {
		st.peers[i].offset = 0
	}

	st.pulling = ""

	return s.pull(now, st, effects)
}

func (s *State) pullEnded(now time.Time, e PullEnded) []Effect {
	st := s.stream(e.Stream)
	if st == nil || st.pulling != e.Peer {
		return nil
	}

	before := st.next
	effects := s.takePage(now, st, e)

	if e.Failed || st.next == before {
		return s.pullFailed(now, st, effects)
	}

	st.pulling = ""

	return s.pull(now, st, effects)
}

func (s *State) takePage(now time.Time, st *stream, e PullEnded) []Effect {
	var effects []Effect

	p := page{records: e.Page.Records, start: e.Page.Through}

	switch {
	case e.Failed:
		return nil
	case e.Page.Base != nil && (!st.started || e.Page.Through > st.next):
		s.counts.Bases++
		effects = s.orphan(st, e.Page.Through, effects)
		st.restart(e.Page.Through, e.Page.Base)
		effects = append(effects, Offer{Stream: st.name, Through: e.Page.Through, Data: e.Page.Base})
	case st.baseless:
	case e.Page.Through > st.next:
		// The peer has no base and lacks records too. The log itself may still have them.
		return nil
	}

	if len(p.records) == 0 && e.Page.Base == nil {
		return nil
	}

	return s.ingest(now, st, p, false, effects)
}

// answer returns records, or the base if the tail does not reach back.
func (s *State) answer(e PullRequested) []Effect {
	s.counts.Answers++

	st := s.stream(e.Stream)
	if st == nil || !st.started {
		return []Effect{Answer{Call: e.Call}}
	}

	reply := Page{Through: e.From}
	if e.From < st.first {
		reply.Through, reply.Base = st.first, st.base
	}

	size := len(reply.Base)

	for offset := reply.Through; offset < st.next; offset++ {
		record := st.records[offset-st.first]
		if size += len(record.Data); size > maxAnswer && len(reply.Records) > 0 {
			break
		}

		reply.Records = append(reply.Records, logservice.Record{Offset: offset, Data: record.Data})
	}

	return []Effect{Answer{Call: e.Call, Page: reply}}
}

// announce tells the daemons that are not known to have read as far.
func (s *State) announce(now time.Time, st *stream, effects []Effect) []Effect {
	var peers []instance.ID

	for _, id := range s.neighbours {
		if i, found := st.find(id); !found || st.peers[i].offset < st.next {
			peers = append(peers, id)
		}
	}

	for _, p := range st.peers {
		if p.offset < st.next && now.Sub(p.heard) <= peerTime && !slices.Contains(s.neighbours, p.id) {
			peers = append(peers, p.id)
		}
	}

	if len(peers) == 0 {
		return effects
	}

	s.counts.Announcements += uint64(len(peers))

	return append(effects, Announce{Peers: peers, Throughs: []Through{st.through(now)}})
}

// baseMissing starts over: a neighbour may have a base, and a later read of the log a snapshot.
func (s *State) baseMissing(now time.Time, name string) []Effect {
	st := s.stream(name)
	if st == nil || now.Before(st.missingDue) {
		return nil
	}

	st.missingDue = now.Add(silence)
	if !st.anyBeyond() {
		st.missingDue = now.Add(rereadInterval)
	}

	effects := s.orphan(st, st.next, nil)
	st.started, st.reset = false, now
	st.first, st.next, st.records, st.size, st.base = 0, 0, nil, 0, nil

	return s.pull(now, st, effects)
}

// anyBeyond reports whether a peer was heard that has read something.
func (st *stream) anyBeyond() bool {
	return slices.ContainsFunc(st.peers, func(p peer) bool { return p.offset > 0 })
}
