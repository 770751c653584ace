package logrelay

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
)

// Event is something that the log, a neighbour or a stream's reducer did.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

// Through is how far a daemon has read a stream.
type Through struct {
	Stream string
	// Offset is the offset after the last record.
	Offset uint64
	// Age is how long ago the log service confirmed that nothing follows; zero if the sender does
	// not say.
	Age time.Duration
}

// Page is what a daemon answers to a pull.
type Page struct {
	// Through is the offset at which the records start.
	Through uint64
	// Base, if not nil, is the state of the stream's reducer before Through.
	Base    []byte
	Records []logservice.Record
}

// Result says what became of an append.
type Result uint8

const (
	// Appended records are in the log.
	Appended Result = iota
	// NotAppended records were refused by the log service until they were too old to matter.
	NotAppended
	// NotFound records had their answer lost and were not there when the stream was read back.
	NotFound
	// Unresolved records had their answer lost, and the offsets at which they may be can no longer
	// be read.
	Unresolved
)

// String returns a lower-case name.
func (r Result) String() string {
	names := [...]string{"appended", "not appended", "not found", "unresolved"}
	if int(r) < len(names) {
		return names[r]
	}

	return "unknown"
}

type (
	// RoleChanged says whether this daemon reads the log for its region.
	RoleChanged struct{ Relay bool }
	// NeighboursChanged replaces the neighbours, nearest first.
	NeighboursChanged struct{ Neighbours []instance.ID }
	// ThroughsHeard reports how far another daemon has read, from an exchange or an announcement.
	ThroughsHeard struct {
		From     instance.ID
		Throughs []Through
	}
	// ReadEnded follows Read.
	ReadEnded struct {
		Stream string
		Page   logservice.Page
		Failed bool
	}
	// PullRequested asks for records on behalf of another daemon. Answer follows at once.
	PullRequested struct {
		Call   uint64
		Stream string
		From   uint64
	}
	// PullEnded follows Pull.
	PullEnded struct {
		Stream string
		Peer   instance.ID
		Page   Page
		Failed bool
	}
	// BaseSaved follows SaveBase. It holds the state of the stream's reducer before an offset.
	BaseSaved struct {
		Stream  string
		Through uint64
		Data    []byte
	}
	// BaseMissing says that the stream's reducer cannot decide, because records may be missing.
	BaseMissing struct{ Stream string }
	// AppendRequested queues a record. Token names it in AppendDone and is unique in this daemon.
	AppendRequested struct {
		Token  uint64
		Stream string
		Data   []byte
	}
	// AppendEnded follows Append. Effect is valid if Failed is set, Offset if it is not.
	AppendEnded struct {
		Token      uint64
		Offset     uint64
		Failed     bool
		Effect     logservice.Effect
		RetryAfter time.Duration
	}
	// Tick lets time pass; sent every TickInterval.
	Tick struct{}
)

type (
	// Read reads the log service. ReadEnded follows within a few seconds.
	Read struct {
		Stream string
		From   uint64
		Limit  int
	}
	// Pull asks another daemon for records. PullEnded follows within a few seconds.
	Pull struct {
		Peer   instance.ID
		Stream string
		From   uint64
	}
	// Answer ends a PullRequested.
	Answer struct {
		Call uint64
		Page Page
	}
	// Announce tells other daemons at once how far this one has read.
	Announce struct {
		Peers    []instance.ID
		Throughs []Through
	}
	// Deliver passes records on to the stream's reducer. First is the first offset that the log
	// still has, as far as known; Next is the offset after the last record.
	Deliver struct {
		Stream  string
		First   uint64
		Records []logservice.Record
		Next    uint64
	}
	// Offer passes a neighbour's base on to the stream's reducer.
	Offer struct {
		Stream  string
		Through uint64
		Data    []byte
	}
	// SaveBase asks the stream's reducer for its state.
	SaveBase struct{ Stream string }
	// Append appends a record to the log service.
	Append struct {
		Token  uint64
		Stream string
		Data   []byte
	}
	// AppendDone ends an AppendRequested. Offset is valid if Result is Appended.
	AppendDone struct {
		Token  uint64
		Result Result
		Offset uint64
	}
)

func (RoleChanged) isEvent()       {}
func (NeighboursChanged) isEvent() {}
func (ThroughsHeard) isEvent()     {}
func (ReadEnded) isEvent()         {}
func (PullRequested) isEvent()     {}
func (PullEnded) isEvent()         {}
func (BaseSaved) isEvent()         {}
func (BaseMissing) isEvent()       {}
func (AppendRequested) isEvent()   {}
func (AppendEnded) isEvent()       {}
func (Tick) isEvent()              {}

func (Read) isEffect()       {}
func (Pull) isEffect()       {}
func (Answer) isEffect()     {}
func (Announce) isEffect()   {}
func (Deliver) isEffect()    {}
func (Offer) isEffect()      {}
func (SaveBase) isEffect()   {}
func (Append) isEffect()     {}
func (AppendDone) isEffect() {}
