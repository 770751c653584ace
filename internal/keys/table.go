package keys

import (
	"cmp"
	"maps"
	"slices"

	"github.com/google/uuid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

const (
	// bucketLength is the granularity of expiry in milliseconds of issue time.
	bucketLength = 10_000
	// responseOverhead is the estimated size in bytes of a stored response beside header and body.
	responseOverhead = 128
	// fieldOverhead is the size in bytes of the string headers of a Field.
	fieldOverhead = 32
)

// entry is a key in the table. It is kept small because there is one for each key of the last hours.
type entry struct {
	fingerprint request.Fingerprint
	response    *Response
	// running is nil unless this daemon admitted the key and has no outcome yet.
	running *running
	state   EntryState
	// foreign entries came with a handover.
	foreign bool
}

type running struct {
	id      request.ID
	waiting []request.ID
}

// table holds keys by UUID and forgets them by issue time.
type table struct {
	entries map[uuid.UUID]entry
	// buckets lists the keys of each bucketLength of issue time, for expiry without iterating a map.
	buckets map[int64][]uuid.UUID
	// floor is the issue time before which entries may have been forgotten. It never falls.
	floor int64
	// ids finds the key of a running or waiting request.
	ids map[request.ID]uuid.UUID
	// stored lists keys with a response, oldest first.
	stored      []uuid.UUID
	storedBytes int
}

func newTable() table {
	return table{
		entries: map[uuid.UUID]entry{}, buckets: map[int64][]uuid.UUID{}, ids: map[request.ID]uuid.UUID{},
	}
}

func (t *table) insert(key Key, e entry) {
	if _, ok := t.entries[key.UUID]; !ok {
		bucket := key.Issued / bucketLength
		t.buckets[bucket] = append(t.buckets[bucket], key.UUID)
	}

	t.entries[key.UUID] = e
}

// forget drops entries that were issued before the time given. Running keys are kept: while they run,
// a resend must not find them missing.
func (t *table) forget(before int64) {
	from, to := t.floor/bucketLength, before/bucketLength
	if to <= from {
		return
	}

	t.floor = to * bucketLength

	// A jump over more buckets than are in use, as at the first call, is taken by the buckets in use.
	var due []int64
	if to-from > int64(len(t.buckets)) {
		due = slices.DeleteFunc(sortedKeys(t.buckets), func(b int64) bool { return b >= to })
	} else {
		for b := from; b < to; b++ {
			due = append(due, b)
		}
	}

	for _, b := range due {
		for _, id := range t.buckets[b] {
			e := t.entries[id]
			if e.running != nil {
				t.buckets[to] = append(t.buckets[to], id)

				continue
			}

			t.storedBytes -= e.response.size()
			delete(t.entries, id)
		}

		delete(t.buckets, b)
	}

	t.trimStored()
}

// trimStored drops leading keys whose entry was forgotten, so that the list does not grow.
func (t *table) trimStored() {
	for len(t.stored) > 0 {
		if _, ok := t.entries[t.stored[0]]; ok {
			return
		}

		t.stored = t.stored[1:]
	}
}

// store keeps a response and drops the oldest ones beyond the limit in bytes.
func (t *table) store(id uuid.UUID, e *entry, response *Response, limit int) {
	if response == nil || response.size() > limit {
		return
	}

	e.response = response
	t.entries[id] = *e
	t.stored = append(t.stored, id)
	t.storedBytes += response.size()

	for t.storedBytes > limit {
		t.dropOldest()
	}
}

func (t *table) dropOldest() {
	oldest := t.stored[0]
	t.stored = t.stored[1:]

	if e, ok := t.entries[oldest]; ok && e.response != nil {
		t.storedBytes -= e.response.size()
		e.response = nil
		t.entries[oldest] = e
	}
}

func (r *Response) size() int {
	if r == nil {
		return 0
	}

	size := responseOverhead + len(r.Body)
	for _, f := range r.Header {
		size += fieldOverhead + len(f.Name) + len(f.Value)
	}

	return size
}

// sortedKeys returns the keys of a map in ascending order, so that map order influences nothing.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// run identifies one run of a daemon.
type run struct {
	id          instance.ID
	incarnation instance.Incarnation
}
