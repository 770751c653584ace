// Package store defines the data types and errors of the platform's append-only log service. A topic is a sequence of
// records that are read by offset; a keyed topic keeps only the newest record of each key.
package store

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ExpiredError is returned by a read from an offset whose records have expired.
type ExpiredError struct {
	// First is the oldest offset that the topic still has.
	First int64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records have expired; the oldest remaining offset is %d", e.First)
}

var (
	// ErrConflict is returned by a conditional append if the topic does not end at the expected offset.
	ErrConflict = errors.New("topic has changed")
	// ErrRejected is returned if the log states that it did not perform a call. After any other error, the call may have
	// been performed, or may still be performed later.
	ErrRejected = errors.New("log did not perform the call")
	// ErrSilent is returned if the response to a call does not begin in time, pauses or takes too long.
	ErrSilent = errors.New("log has stopped answering")
)

// Epoch numbers the histories of a log. It rises each time the log comes back from an older copy: records appended since
// that copy are lost, and their offsets are given out again. Zero means that the log states no epoch.
type Epoch uint64

// Record is a record of a topic.
type Record struct {
	// Key is empty in a topic without keys.
	Key string
	// Value is nil if the record removes its key.
	Value  []byte
	Offset int64
}

// Page is a part of a topic, ordered by offset.
type Page struct {
	Records []Record
	// First is the oldest offset that the topic still has.
	First int64
	// End is the offset after the last record of the topic. In a list of the newest record of each key, it is the offset
	// after the last record that the list takes into account.
	End int64
}

// NextOffset returns the offset from which to read after a page that was read from the given offset.
func (p Page) NextOffset(from int64) int64 {
	if last := len(p.Records); last > 0 {
		return p.Records[last-1].Offset + 1
	}

	return max(from, p.First)
}
