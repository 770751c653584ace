package keys

import (
	"bytes"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

const (
	// maxChunkBytes is the maximum size in bytes of the stored responses in one message of a handover, unless a single
	// response is larger.
	maxChunkBytes = 256 << 10
	// handoverRetryDelay is the time after which an undelivered message is repeated.
	handoverRetryDelay = time.Second
)

// drain is the state of a leaving owner.
type drain struct {
	started bool
	// end is the end of the sign-off, in Unix milliseconds. It is after the issue time of each admitted key.
	end int64
	// retryAt is when the sign-off may be appended again.
	retryAt time.Time
	// round is the number of the latest transmission, as in Handover.Round.
	round int
	// successors holds the daemon to which each partition was sent; empty if it was not sent.
	successors [Partitions]instance.ID
	// pending holds the messages that were not delivered yet, in the order of sending.
	pending []pendingHandover
}

// pendingHandover is a sent message and the time at which it is repeated.
type pendingHandover struct {
	SendHandover
	retryAt time.Time
}

// ownerHandover is the received part of the handover of one owner.
type ownerHandover struct {
	partitions [Partitions]partitionHandover
	// end is the end of the owner's sign-off, the same in all its messages.
	end int64
	// signoffRetryAt is when the owner's sign-off may be appended again.
	signoffRetryAt time.Time
}

// partitionHandover is the received part of the handover of one partition.
type partitionHandover struct {
	// round is the latest round of which a message has arrived, zero if none has. chunks lists its received chunks.
	round  int
	chunks []int
	// floor is the floor of the owner's table, in Unix milliseconds.
	floor int64
	// complete is set once all chunks of a round have arrived.
	complete bool
}

// startDrain ends the admission of keys and fixes the end of the sign-off.
func (s *State) startDrain() {
	if s.drain.started {
		return
	}

	s.drain.started = true
	s.drain.end = max(s.nowMillis(), s.maxAdmitted) + 1
	s.continueDrain()
}

// continueDrain appends the sign-off until it is read back, and sends the table to the successors. If a claim reaches
// the log after the sign-off, the daemon signs off the resulting grant in the same way.
func (s *State) continueDrain() {
	if s.hasOpenGrant() && !s.now.Before(s.drain.retryAt) {
		s.drain.retryAt = s.appendRetryAt()
		s.appendRecord(Record{Signoffs: []Signoff{{
			Owner: s.self.id, Incarnation: s.self.incarnation, End: s.drain.end,
		}}})
	}

	s.sendToNewSuccessors()
	s.repeatHandovers()
}

// successor returns the daemon that receives the table of a partition: its new owner, or else the daemon that is
// expected to claim it. It returns false if this daemon has never owned the partition or there is no such daemon.
func (s *State) successor(p int) (instance.ID, bool) {
	h := s.ledger.partition(s.service, p)
	if !slices.ContainsFunc(h, s.isOwn) {
		return "", false
	}

	if last, _ := h.last(); !s.isOwn(last) && s.usable(s.service, last) {
		return last.Owner, true
	}

	to := s.preferredOwner(p, s.self.id)

	return to, to != "" && to != s.self.id
}

// sendToNewSuccessors sends the table of each partition whose successor has changed.
func (s *State) sendToNewSuccessors() {
	partitions := map[instance.ID][]int{}

	for p := range Partitions {
		if to, ok := s.successor(p); ok && to != s.drain.successors[p] {
			s.drain.successors[p] = to
			partitions[to] = append(partitions[to], p)
		}
	}

	for _, to := range sortedKeys(partitions) {
		s.drain.round++
		s.sendTable(to, partitions[to])
	}
}

// sendTable sends the entries of some partitions in chunks.
func (s *State) sendTable(to instance.ID, partitions []int) {
	chunks := [][]KeyEntry{nil}
	size := 0

	for _, e := range s.tableEntries(partitions) {
		last := len(chunks) - 1
		if len(chunks[last]) == s.chunkEntries || (size > 0 && size+e.Response.size() > maxChunkBytes) {
			chunks = append(chunks, nil)
			last, size = last+1, 0
		}

		chunks[last] = append(chunks[last], e)
		size += e.Response.size()
	}

	for i, entries := range chunks {
		s.sendHandover(to, Handover{Partitions: partitions, Chunk: i, Chunks: len(chunks), Entries: entries})
	}
}

// sendHandover completes a message with the daemon's identity and drain state and sends it. It is repeated until
// HandoverEnded reports its delivery.
func (s *State) sendHandover(to instance.ID, h Handover) {
	h.Service, h.From, h.Incarnation = s.service, s.self.id, s.self.incarnation
	h.Floor, h.End, h.Round = s.table.floor, s.drain.end, s.drain.round
	effect := SendHandover{To: to, Handover: h}
	s.drain.pending = append(s.drain.pending, pendingHandover{effect, s.now.Add(handoverRetryDelay)})
	s.emit(effect)
}

// tableEntries returns the entries of some partitions, sorted by key.
func (s *State) tableEntries(partitions []int) []KeyEntry {
	var entries []KeyEntry

	for id, e := range s.table.entries {
		if slices.Contains(partitions, newKey(id).Partition) {
			entries = append(entries, KeyEntry{
				Key: id, Fingerprint: e.fingerprint, State: e.state, Response: e.response,
			})
		}
	}

	slices.SortFunc(entries, func(a, b KeyEntry) int { return bytes.Compare(a.Key[:], b.Key[:]) })

	return entries
}

// handOverOutcome sends the outcome of a key that was still running when the table was sent.
func (s *State) handOverOutcome(key Key, e entry) {
	if !s.drain.started || s.drain.successors[key.Partition] == "" {
		return
	}

	s.drain.round++
	s.sendHandover(s.drain.successors[key.Partition], Handover{
		Partitions: []int{key.Partition},
		Entries:    []KeyEntry{{Key: key.UUID, Fingerprint: e.fingerprint, State: e.state, Response: e.response}},
	})
}

// handoverEnded removes a delivered message from the pending ones. A failed one is repeated after handoverRetryDelay.
func (s *State) handoverEnded(e HandoverEnded) {
	if e.Delivered {
		s.drain.pending = slices.DeleteFunc(s.drain.pending, func(p pendingHandover) bool {
			return p.To == e.To && p.Handover.Round == e.Round && p.Handover.Chunk == e.Chunk
		})
	}
}

// repeatHandovers sends undelivered messages again, and drops those whose receiver is no longer usable.
func (s *State) repeatHandovers() {
	s.drain.pending = slices.DeleteFunc(s.drain.pending, func(p pendingHandover) bool {
		i, ok := searchMember(s.members[s.service], p.To)

		return !ok || !s.members[s.service][i].Usable()
	})

	for i := range s.drain.pending {
		if p := &s.drain.pending[i]; !s.now.Before(p.retryAt) {
			p.retryAt = s.now.Add(handoverRetryDelay)
			s.emit(p.SendHandover)
		}
	}
}

// DrainComplete reports whether a draining daemon has signed off all grants, handed over its table, and has no running
// or waiting request left.
func (s *State) DrainComplete() bool {
	signedOff := !s.hasOpenGrant() && len(s.missingGrants()) == 0

	return s.drain.started && signedOff && len(s.drain.pending) == 0 && len(s.table.keysByRequest) == 0
}

// handoverReceived merges the entries of another owner into the table. They never cause a key to run. If the table has
// no room for an entry, the message does not count as received.
func (s *State) handoverReceived(h Handover) {
	from := daemonRun{h.From, h.Incarnation}
	if h.Service != s.service || from == s.self {
		return
	}

	fits := true
	for _, e := range h.Entries {
		fits = s.mergeEntry(e) && fits
	}

	if h.Chunks <= 0 || !fits {
		return
	}

	received, ok := s.handovers[from]
	if !ok {
		received = &ownerHandover{end: h.End}
		s.handovers[from] = received
	}

	for _, p := range h.Partitions {
		if p >= 0 && p < Partitions {
			received.partitions[p].addChunk(h)
		}
	}
}

// addChunk records a received message. Messages of earlier rounds are ignored, and a later round replaces the chunks.
func (r *partitionHandover) addChunk(h Handover) {
	if h.Round < r.round {
		return
	}

	if h.Round > r.round {
		*r = partitionHandover{round: h.Round, floor: h.Floor, complete: r.complete}
	}

	if !slices.Contains(r.chunks, h.Chunk) {
		r.chunks = append(r.chunks, h.Chunk)
	}

	r.complete = r.complete || len(r.chunks) == h.Chunks
}

// mergeEntry adds an entry of a handover, or the outcome of a key that was running. It returns false if the table has
// no room for the entry.
func (s *State) mergeEntry(e KeyEntry) bool {
	key := newKey(e.Key)
	if key.Issued < s.table.floor {
		return true
	}

	present, ok := s.table.entries[key.UUID]

	switch {
	case ok && (!present.fromHandover || present.state != StateRunning):
		return true
	case !ok && len(s.table.entries) >= s.maxEntries:
		return false
	}

	merged := entry{fingerprint: e.Fingerprint, state: e.State, fromHandover: true}
	s.table.insert(key, merged)
	s.table.storeResponse(key.UUID, &merged, e.Response, s.maxStoredBytes)

	return true
}

// forgetHandovers drops the handovers of owners whose keys are all before the floor.
func (s *State) forgetHandovers() {
	for from, received := range s.handovers {
		if received.end <= s.table.floor {
			delete(s.handovers, from)
		}
	}
}

// absentFromHandover reports whether a complete handover shows that a key missing from the table was not admitted.
func (s *State) absentFromHandover(key Key) bool {
	g, ok := s.ledger.partition(s.service, key.Partition).covering(key.Issued)
	if !ok {
		return false
	}

	received, ok := s.handovers[daemonRun{g.Owner, g.Incarnation}]
	if !ok {
		return false
	}

	r := received.partitions[key.Partition]

	return r.complete && r.floor <= key.Issued && key.Issued < received.end
}
