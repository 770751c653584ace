package keys

import (
	"bytes"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

const (
	// chunkBytes bounds the stored responses in one message of a handover.
	chunkBytes = 256 << 10
	// handoverRetry is the time after which an unanswered message is repeated.
	handoverRetry = time.Second
)

// drain is the state of a leaving owner.
type drain struct {
	started bool
	// end is the end of the sign-off: after each accepted key.
	end   int64
	retry time.Time
	round int
	// targets holds the daemon to which each partition was sent.
	targets [Partitions]instance.ID
	// pending holds messages that were not answered yet, in the order of sending.
	pending []pendingHandover
}

type pendingHandover struct {
	SendHandover
	retry time.Time
}

// reception is what arrived from one owner.
type reception struct {
	partitions [Partitions]receipt
	// end is the end of the owner's sign-off, the same in all its messages.
	end int64
	// retry is when the owner's sign-off may be appended again.
	retry time.Time
}

// receipt is what arrived of a partition's handover.
type receipt struct {
	// round is zero until a message arrived; chunks lists those of the round that arrived.
	round    int
	chunks   []int
	floor    int64
	complete bool
}

func (s *State) startDrain() {
	if s.drain.started {
		return
	}

	s.drain.started = true
	s.drain.end = max(s.milliseconds(), s.accepted) + 1
	s.continueDrain()
}

// continueDrain signs off until that is read back, and sends the table to the successors. A claim that
// was appended late makes a grant appear after the sign-off; it is signed off in the same way.
func (s *State) continueDrain() {
	if s.holds() && !s.now.Before(s.drain.retry) {
		s.drain.retry = s.retryTime()
		s.emit(AppendGrants{Record: Record{Signoffs: []Signoff{{
			Owner: s.self.id, Incarnation: s.self.incarnation, End: s.drain.end,
		}}}})
	}

	s.sendToNewTargets()
	s.repeatHandovers()
}

// target returns the daemon that gets a partition's table: its new owner, or else the daemon that will
// claim it.
func (s *State) target(p int) (instance.ID, bool) {
	h := s.ledger.partition(s.service, p)
	if !slices.ContainsFunc(h, s.mine) {
		return "", false
	}

	if last, _ := h.last(); !s.mine(last) && s.usable(s.service, last) {
		return last.Owner, true
	}

	to := s.choice(p, s.self.id)

	return to, to != "" && to != s.self.id
}

func (s *State) sendToNewTargets() {
	partitions := map[instance.ID][]int{}

	for p := range Partitions {
		if to, ok := s.target(p); ok && to != s.drain.targets[p] {
			s.drain.targets[p] = to
			partitions[to] = append(partitions[to], p)
		}
	}

	for _, to := range sortedKeys(partitions) {
		s.drain.round++
		s.send(to, partitions[to])
	}
}

// send emits the entries of some partitions in chunks.
func (s *State) send(to instance.ID, partitions []int) {
	chunks := [][]KeyEntry{nil}
	size := 0

	for _, e := range s.entriesOf(partitions) {
		last := len(chunks) - 1
		if len(chunks[last]) == s.chunk || (size > 0 && size+e.Response.size() > chunkBytes) {
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

func (s *State) sendHandover(to instance.ID, h Handover) {
	h.Service, h.From, h.Incarnation = s.service, s.self.id, s.self.incarnation
	h.Floor, h.End, h.Round = s.table.floor, s.drain.end, s.drain.round
	effect := SendHandover{To: to, Handover: h}
	s.drain.pending = append(s.drain.pending, pendingHandover{effect, s.now.Add(handoverRetry)})
	s.emit(effect)
}

// entriesOf returns the table of some partitions, sorted by key.
func (s *State) entriesOf(partitions []int) []KeyEntry {
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

// handOverOutcome sends the outcome of a key that was running when the table was sent.
func (s *State) handOverOutcome(key Key, e entry) {
	if !s.drain.started || s.drain.targets[key.Partition] == "" {
		return
	}

	s.drain.round++
	s.sendHandover(s.drain.targets[key.Partition], Handover{
		Partitions: []int{key.Partition},
		Entries:    []KeyEntry{{Key: key.UUID, Fingerprint: e.fingerprint, State: e.state, Response: e.response}},
	})
}

// handoverEnded forgets a delivered message; one that failed is repeated after handoverRetry.
func (s *State) handoverEnded(e HandoverEnded) {
	if e.Delivered {
		s.drain.pending = slices.DeleteFunc(s.drain.pending, func(p pendingHandover) bool {
			return p.To == e.To && p.Handover.Round == e.Round && p.Handover.Chunk == e.Chunk
		})
	}
}

// repeatHandovers sends unanswered messages again while their receiver may still be there.
func (s *State) repeatHandovers() {
	s.drain.pending = slices.DeleteFunc(s.drain.pending, func(p pendingHandover) bool {
		i, ok := searchMember(s.members[s.service], p.To)

		return !ok || !s.members[s.service][i].Usable()
	})

	for i := range s.drain.pending {
		if p := &s.drain.pending[i]; !s.now.Before(p.retry) {
			p.retry = s.now.Add(handoverRetry)
			s.emit(p.SendHandover)
		}
	}
}

// Released reports whether a draining daemon has nothing left to sign off and to hand over.
func (s *State) DrainComplete() bool {
	return s.drain.started && !s.holds() && len(s.drain.pending) == 0 && len(s.table.ids) == 0
}

// handoverReceived adds the entries of another owner. They never make a key run.
func (s *State) handoverReceived(h Handover) {
	from := run{h.From, h.Incarnation}
	if h.Service != s.service || from == s.self {
		return
	}

	fits := true
	for _, e := range h.Entries {
		fits = s.receive(e) && fits
	}

	if h.Chunks <= 0 || !fits {
		return
	}

	received, ok := s.received[from]
	if !ok {
		received = &reception{end: h.End}
		s.received[from] = received
	}

	for _, p := range h.Partitions {
		if p >= 0 && p < Partitions {
			received.partitions[p].add(h)
		}
	}
}

func (r *receipt) add(h Handover) {
	if h.Round < r.round {
		return
	}

	if h.Round > r.round {
		*r = receipt{round: h.Round, floor: h.Floor, complete: r.complete}
	}

	if !slices.Contains(r.chunks, h.Chunk) {
		r.chunks = append(r.chunks, h.Chunk)
	}

	r.complete = r.complete || len(r.chunks) == h.Chunks
}

// receive merges one entry. It reports false if the table has no room for it.
func (s *State) receive(e KeyEntry) bool {
	key := newKey(e.Key)
	if key.Issued < s.table.floor {
		return true
	}

	present, ok := s.table.entries[key.UUID]

	switch {
	case ok && (!present.foreign || present.state != StateRunning):
		return true
	case !ok && len(s.table.entries) >= s.maximum:
		return false
	}

	merged := entry{fingerprint: e.Fingerprint, state: e.State, foreign: true}
	s.table.insert(key, merged)
	s.table.store(key.UUID, &merged, e.Response, s.store)

	return true
}

// forgetReceived drops receipts of owners whose keys are all before the floor.
func (s *State) forgetReceived() {
	for from, received := range s.received {
		if received.end <= s.table.floor {
			delete(s.received, from)
		}
	}
}

// handedOver reports whether a complete handover shows that a missing key was not accepted.
func (s *State) handedOver(key Key) bool {
	g, ok := s.ledger.partition(s.service, key.Partition).covering(key.Issued)
	if !ok {
		return false
	}

	received, ok := s.received[run{g.Owner, g.Incarnation}]
	if !ok {
		return false
	}

	r := received.partitions[key.Partition]

	return r.complete && r.floor <= key.Issued && key.Issued < received.end
}
