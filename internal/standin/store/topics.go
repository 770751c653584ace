package store

import (
	"encoding/binary"
	"slices"
	"strings"
	"time"
)

// keyedPrefix is the prefix of the names of topics that keep the newest record of each key.
const keyedPrefix = "keyed."

// record is one record of a topic.
type record struct {
	content []byte
	at      time.Time
}

// key returns the key of a record of a keyed topic, and whether the record has a value. The first byte of a record is
// the length of the key. The key of a malformed record is empty.
func (r record) key() (string, bool) {
	if len(r.content) == 0 || len(r.content) < 1+int(r.content[0]) {
		return "", false
	}

	end := 1 + int(r.content[0])

	return string(r.content[1:end]), end < len(r.content)
}

func (r record) value() []byte { return r.content[1+int(r.content[0]):] }

// topic is a topic with a single partition.
type topic struct {
	keyed bool
	// first is the offset of records[0].
	first   int64
	records []record
	// newest holds the newest record of each key of a keyed topic.
	newest map[string]item
	// history holds all records since the start, expired ones included. The record at an offset has that index.
	history []record
	// changed is closed and replaced by each append.
	changed chan struct{}
}

// item is the newest record of a key.
type item struct {
	Key    string `json:"key"`
	Value  []byte `json:"value"`
	Offset int64  `json:"offset"`
	at     time.Time
}

func newTopic(name string) *topic {
	return &topic{
		keyed: strings.HasPrefix(name, keyedPrefix), newest: make(map[string]item), changed: make(chan struct{}),
	}
}

func (t *topic) end() int64 { return t.first + int64(len(t.records)) }

// append appends records and returns the offset of the first one.
func (t *topic) append(now time.Time, contents [][]byte) int64 {
	offset := t.end()

	for _, content := range contents {
		r := record{content: content, at: now}
		t.updateNewest(r, t.end())
		t.records = append(t.records, r)
		t.history = append(t.history, r)
	}

	t.wakeReaders()

	return offset
}

// wakeReaders makes waiting reads look at the topic again.
func (t *topic) wakeReaders() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// restore removes the records that were appended after a time. Their offsets are given out again.
func (t *topic) restore(copied time.Time) {
	end := int64(len(t.history))
	for end > 0 && t.history[end-1].at.After(copied) {
		end--
	}

	t.history = t.history[:end:end]
	t.records = t.records[:max(0, min(int64(len(t.records)), end-t.first))]
	t.first = min(t.first, end)
	clear(t.newest)

	for offset, r := range t.history {
		t.updateNewest(r, int64(offset))
	}

	t.wakeReaders()
}

// updateNewest updates the newest record of a key. A record without a value deletes the key.
func (t *topic) updateNewest(r record, offset int64) {
	if !t.keyed {
		return
	}

	key, hasValue := r.key()
	if key == "" {
		return
	}

	if !hasValue {
		delete(t.newest, key)

		return
	}

	t.newest[key] = item{Key: key, Value: r.value(), Offset: offset, at: r.at}
}

// items returns the newest records of the keys that sort after the given one, in the order of keys. Records newer than
// asOf are left out.
func (t *topic) items(after string, asOf time.Time) []item {
	var all []item

	for key, newest := range t.newest {
		if key > after && !newest.at.After(asOf) {
			all = append(all, newest)
		}
	}

	slices.SortFunc(all, func(a, b item) int { return strings.Compare(a.Key, b.Key) })

	return all
}

// endAsOf returns the end of the topic as it was at a time.
func (t *topic) endAsOf(asOf time.Time) int64 {
	end := t.end()

	for end > t.first && t.records[end-1-t.first].at.After(asOf) {
		end--
	}

	return end
}

// dropHistory deletes all records. The newest record of each key is still listed.
func (t *topic) dropHistory() {
	t.first, t.records = t.end(), nil
}

// splitRecords splits data into records, each of which is preceded by its length in 4 bytes. It returns false if data
// is malformed.
func splitRecords(data []byte) ([][]byte, bool) {
	var contents [][]byte

	for len(data) > 0 {
		if len(data) < 4 {
			return nil, false
		}

		size := int(binary.BigEndian.Uint32(data))
		data = data[4:]

		if len(data) < size {
			return nil, false
		}

		contents = append(contents, slices.Clone(data[:size]))
		data = data[size:]
	}

	return contents, true
}

// appendRecord appends a record to out, in the format that splitRecords reads.
func appendRecord(out, content []byte) []byte {
	out = binary.BigEndian.AppendUint32(out, uint32(len(content)))

	return append(out, content...)
}
