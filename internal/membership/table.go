package membership

import (
	"cmp"
	"encoding/binary"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// entry is what the table keeps of a member.
type entry struct {
	member instance.Member
	// hash of the ID, by which neighbours, relays and combiners are chosen.
	hash uint64
	// mark is the member's part of the digest; zero for a dead or left one.
	mark uint64
	// seq is the table's version after the last change of the entry.
	seq uint64
	// described is the version at which the member's present description was stored.
	described uint64
	changed   time.Time
	// source is the peer from which the change was heard, which need not be told.
	source instance.ID
	// probed is when the last exchange with the member ended, or the zero time.
	probed time.Time
	// reached tells whether that exchange succeeded.
	reached bool
}

func (e *entry) live() bool { return live(e.member.Status) }

func live(status instance.Status) bool {
	return status != instance.Dead && status != instance.Left
}

// The log is compacted when it holds this many places per entry, and a few more.
const (
	logFactor = 2
	logSlack  = 64
)

// table holds the members. Entries are sorted by ID.
type table struct {
	entries []*entry
	index   map[instance.ID]*entry
	// log holds the entries by version; an entry that changed again has a later place too.
	log    []change
	seq    uint64
	digest uint64
}

// change is the place of an entry in the order of versions.
type change struct {
	seq   uint64
	entry *entry
}

func (c change) current() bool { return c.seq == c.entry.seq }

// compare orders two announcements of one member; the later one wins.
func compare(a, b instance.Member) int {
	return cmp.Or(
		cmp.Compare(a.Incarnation, b.Incarnation),
		cmp.Compare(a.Counter, b.Counter),
		cmp.Compare(a.Status, b.Status),
	)
}

func byID(e *entry, id instance.ID) int { return cmp.Compare(e.member.ID, id) }

// put stores an announcement unconditionally.
func (t *table) put(now time.Time, member instance.Member, source instance.ID) *entry {
	e := t.index[member.ID]
	if e == nil {
		e = &entry{hash: xxhash.Sum64String(string(member.ID))}
		at, _ := slices.BinarySearchFunc(t.entries, member.ID, byID)
		t.entries = slices.Insert(t.entries, at, e)
		t.index[member.ID] = e
	}

	t.seq++
	t.digest -= e.mark

	if e.member != member.WithStatus(e.member.Status, e.member.Counter) {
		e.described = t.seq
	}

	e.member, e.seq, e.changed, e.source = member, t.seq, now, source
	e.mark = mark(member)
	t.digest += e.mark
	t.log = append(t.log, change{seq: t.seq, entry: e})

	if len(t.log) > logFactor*len(t.entries)+logSlack {
		t.log = slices.DeleteFunc(t.log, func(c change) bool { return !c.current() })
	}

	return e
}

func mark(member instance.Member) uint64 {
	if !live(member.Status) {
		return 0
	}

	data := make([]byte, 0, 64)
	data = append(data, member.ID...)
	data = binary.LittleEndian.AppendUint64(data, uint64(member.Incarnation))
	data = binary.LittleEndian.AppendUint64(data, member.Counter)
	data = append(data, byte(member.Status))

	return xxhash.Sum64(data)
}

// brief returns an announcement without the description, for peers that know it.
func brief(member instance.Member) instance.Member {
	return instance.Member{
		ID: member.ID, Incarnation: member.Incarnation, Status: member.Status, Counter: member.Counter,
	}
}

// complete adds the description to a brief announcement. It reports false if the table lacks it.
func (t *table) complete(member instance.Member) (instance.Member, bool) {
	if member != brief(member) {
		return member, true
	}

	known := t.index[member.ID]
	if known == nil || known.member.Incarnation != member.Incarnation {
		return member, false
	}

	return known.member.WithStatus(member.Status, member.Counter), true
}

// since returns the changes after a version that did not come from a peer, oldest first, and the
// version up to which they reach.
func (t *table) since(version uint64, peer instance.ID, limit int) ([]*entry, uint64) {
	if version >= t.seq {
		return nil, t.seq
	}

	var changes []*entry

	at, _ := slices.BinarySearchFunc(t.log, version+1, func(c change, seq uint64) int { return cmp.Compare(c.seq, seq) })

	for _, c := range t.log[at:] {
		if !c.current() || c.entry.source == peer {
			continue
		}

		if len(changes) == limit {
			return changes, changes[limit-1].seq
		}

		changes = append(changes, c.entry)
	}

	return changes, t.seq
}

// before returns the version before the first change at or after a time.
func (t *table) before(at time.Time) uint64 {
	version := t.seq

	for _, e := range t.entries {
		if !e.changed.Before(at) {
			version = min(version, e.seq-1)
		}
	}

	return version
}

// page returns live members after an ID.
func (t *table) page(after instance.ID, limit int) (members []instance.Member, more bool) {
	at, found := slices.BinarySearchFunc(t.entries, after, byID)
	if found {
		at++
	}

	for _, e := range t.entries[at:] {
		if !e.live() {
			continue
		}

		if len(members) == limit {
			return members, true
		}

		members = append(members, e.member)
	}

	return members, false
}

// remove drops dead and left members that have not changed since a time.
func (t *table) remove(before time.Time) {
	t.entries = slices.DeleteFunc(t.entries, func(e *entry) bool {
		old := !e.live() && e.changed.Before(before)
		if old {
			delete(t.index, e.member.ID)
			// The log's places of the entry are out of date from now on.
			e.seq = 0
		}

		return old
	})
}
