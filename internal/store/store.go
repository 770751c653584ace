// Package store defines the data types and errors of the platform's append-only log service. A topic is a sequence of
// records that are read by offset; a keyed topic keeps only the newest record of each key.
package store

import (
	"fmt"

	"github.com/cockroachdb/errors"
)

// ExpiredError is returned by a read from an offset whose records have expired.
type ExpiredError struct {
	// First is the oldest offset that the topic still has, in the given epoch.
	First int64
	Epoch Epoch
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
	// ErrReturned is returned by a call that refers to a position of another epoch, and for a response that states an older
	// epoch than an earlier response. What a reader has derived from the topic may be wrong, and records of an append may
	// be lost, or may follow others than its condition allows.
	ErrReturned = errors.New("log has come back from an older copy")
	// ErrSilent is returned if the response to a call does not begin in time, pauses or takes too long.
	ErrSilent = errors.New("log has stopped answering")
)

// Epoch numbers the histories of a log. It rises each time the log comes back from an older copy: records appended since
// that copy are lost, and their offsets are given out again. Zero means that the log states no epoch.
type Epoch uint64

// FirstEpoch is the epoch of a log that has never come back from an older copy.
const FirstEpoch Epoch = 1

// Position is a place in a topic. An offset alone does not say what stands before it, because it is given out again after
// a return from an older copy. Nothing stands before offset zero, so that a position there is valid in each epoch.
type Position struct {
	Epoch  Epoch
	Offset int64
}

// ValidIn reports whether the records before p are those that a log in the given epoch has before the same offset.
func (p Position) ValidIn(epoch Epoch) bool { return p.Offset == 0 || p.Epoch == epoch }

// After reports whether p stands after another position, in the same epoch or in a later one.
func (p Position) After(other Position) bool {
	return p.Epoch > other.Epoch || p.Epoch == other.Epoch && p.Offset > other.Offset
}

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
	// Epoch is that of the response.
	Epoch   Epoch
	Records []Record
	// First is the oldest offset that the topic still has.
	First int64
	// End is the offset after the last record of the topic. In a list of the newest record of each key, it is the offset
	// after the last record that the list takes into account.
	End int64
}

// Next returns the position from which to read after a page that was read from the given offset.
func (p Page) Next(from int64) Position {
	next := max(from, p.First)
	if last := len(p.Records); last > 0 {
		next = p.Records[last-1].Offset + 1
	}

	return Position{Epoch: p.Epoch, Offset: next}
}

// EndPosition returns the position of the end of the page.
func (p Page) EndPosition() Position { return Position{Epoch: p.Epoch, Offset: p.End} }
