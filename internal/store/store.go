// Package store describes the platform's append-only log service as the daemon uses it: topics of records,
// read by offset, and topics that keep the newest record of each key.
package store

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ExpiredError is returned by a read from an offset whose records the log no longer has.
type ExpiredError struct {
	// First is the oldest offset that the topic has.
	First int64
}

// Error implements error.
func (e *ExpiredError) Error() string {
	return fmt.Sprintf("records have expired, the first one left is %d", e.First)
}

var (
	// ErrConflict is returned by a conditional append if the topic does not end where it should.
	ErrConflict = errors.New("topic has changed")
	// ErrRejected is returned if the log states that it did not perform a call. After any other error, the
	// call may have been performed or may be performed later.
	ErrRejected = errors.New("log did not perform the call")
)

// Record is one record of a topic.
type Record struct {
	// Key is empty in a topic without keys.
	Key string
	// Value is nil if the key was dropped.
	Value  []byte
	Offset int64
}

// Page is a part of a topic in the order of offsets.
type Page struct {
	Records []Record
	// First is the oldest offset that the topic has.
	First int64
	// End is the offset after the topic's last record, or after the last record that a snapshot of the newest
	// records reflects.
	End int64
}

// Next is the offset to read from after the page.
func (p Page) NextOffset(from int64) int64 {
	if last := len(p.Records); last > 0 {
		return p.Records[last-1].Offset + 1
	}

	return max(from, p.First)
}
