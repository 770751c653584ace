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
	// bucketMillis is the range of issue times in one expiry bucket, in milliseconds.
	bucketMillis = 10_000
	// responseOverhead is the estimated size in bytes of a stored response in addition to its header and body.
	responseOverhead = 128
	// fieldOverhead is the size in bytes of the string headers of a Field.
	fieldOverhead = 32
)

// entry is a key in the table. It is small because there is one for each key of the last hours.
type entry struct {
	fingerprint request.Fingerprint
	response    *Response
	// running is nil unless this daemon admitted the key and has no outcome yet.
	running *runningRequest
	state   EntryState
	// fromHandover is set if the entry came from another owner.
	fromHandover bool
}

// runningRequest is the admitted request of a key, and the resends that wait for its outcome.
type runningRequest struct {
	id      request.ID
	waiting []request.ID
}

// table holds the keys by UUID and forgets them by issue time.
type table struct {
	entries map[uuid.UUID]entry
	// buckets lists the keys by issue time divided by bucketMillis, so that expiry need not iterate over all entries.
	buckets map[int64][]uuid.UUID
	// floor is the issue time in Unix milliseconds before which entries may have been forgotten. It never falls.
	floor int64
	// keysByRequest holds the key of each running or waiting request.
	keysByRequest map[request.ID]uuid.UUID
	// storedOrder lists the keys with a stored response in the order of storing.
	storedOrder []uuid.UUID
	storedBytes int
}

func newTable() table {
	return table{
		entries: map[uuid.UUID]entry{}, buckets: map[int64][]uuid.UUID{}, keysByRequest: map[request.ID]uuid.UUID{},
	}
}

// insert adds or replaces the entry of a key.
func (t *table) insert(key Key, e entry) {
	if _, ok := t.entries[key.UUID]; !ok {
		bucket := key.Issued / bucketMillis
		t.buckets[bucket] = append(t.buckets[bucket], key.UUID)
	}

	t.entries[key.UUID] = e
}

// forget drops entries that were issued before a time in Unix milliseconds, rounded down to a bucket. Running keys are
// kept, because a resend must not find them missing.
func (t *table) forget(before int64) {
	from, to := t.floor/bucketMillis, before/bucketMillis
	if to <= from {
		return
	}

	t.floor = to * bucketMillis

	// If the floor moves by more buckets than are in use, as in the first call, only the buckets in use are visited.
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

// trimStored removes forgotten keys from the front of storedOrder, so that the list does not grow.
func (t *table) trimStored() {
	for len(t.storedOrder) > 0 {
		if _, ok := t.entries[t.storedOrder[0]]; ok {
			return
		}

		t.storedOrder = t.storedOrder[1:]
	}
}

// storeResponse stores the response of a key, and drops the oldest responses while all together exceed the limit in
// bytes. A response that alone exceeds the limit is not stored.
func (t *table) storeResponse(id uuid.UUID, e *entry, response *Response, limit int) {
	if response == nil || response.size() > limit {
		return
	}

	e.response = response
	t.entries[id] = *e
	t.storedOrder = append(t.storedOrder, id)
	t.storedBytes += response.size()

	for t.storedBytes > limit {
		t.dropOldestResponse()
	}
}

func (t *table) dropOldestResponse() {
	oldest := t.storedOrder[0]
	t.storedOrder = t.storedOrder[1:]

	if e, ok := t.entries[oldest]; ok && e.response != nil {
		t.storedBytes -= e.response.size()
		e.response = nil
		t.entries[oldest] = e
	}
}

// size returns the estimated memory use of a response in bytes; 0 for nil.
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

// sortedKeys returns the keys of a map in ascending order, so that results do not depend on map order.
func sortedKeys[K cmp.Ordered, V any](m map[K]V) []K { return slices.Sorted(maps.Keys(m)) }

// daemonRun identifies one run of a daemon.
type daemonRun struct {
	id          instance.ID
	incarnation instance.Incarnation
}
