package keys

import (
	"time"

	"github.com/google/uuid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Event is something that happened to a key, a grant, a member or the configuration.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

// Response is a complete response that is kept for resends. Values are immutable.
type Response struct {
	Status int
	Header []Field
	Body   []byte
}

// Field is one header field.
type Field struct{ Name, Value string }

type (
	// Arrived asks whether a request with a key may run. The ID is not in use by another request.
	Arrived struct{ Request request.Request }
	// Finished reports the final outcome of an admitted request. The daemon sends it exactly once for
	// each Admit, also for requests whose caller has gone away.
	Finished struct {
		ID      request.ID
		Verdict verdict.Verdict
		// Response is stored for resends if the verdict is Answered; nil if it is too large to keep.
		Response *Response
		// RetryAfter is passed on to waiting resends if the verdict is NotRun.
		RetryAfter time.Duration
	}
	// Cancelled reports that the caller of a waiting request has gone away. A request that was admitted
	// stays running until Finished.
	Cancelled struct{ ID request.ID }
	// RecordsRead brings records of the stream "grants" in offset order.
	RecordsRead struct {
		// First is the offset of the oldest record that the log still has.
		First   uint64
		Records []Entry
		// Next is the offset after the newest record.
		Next uint64
	}
	// BaseOffered brings the state of the grants from a peer.
	BaseOffered struct{ Base Base }
	// MembersChanged replaces the members of a service, sorted by ID.
	MembersChanged struct {
		Service string
		Members []instance.Member
	}
	// PolicyChanged replaces the configuration of keys. Until the first one no key is accepted.
	PolicyChanged struct{ Keys manifest.Keys }
	// DrainStarted stops accepting keys, for good.
	DrainStarted struct{}
	// HandoverReceived brings a part of the table of a leaving owner.
	HandoverReceived struct{ Handover Handover }
	// HandoverEnded reports the outcome of a SendHandover.
	HandoverEnded struct {
		To           instance.ID
		Round, Chunk int
		Delivered    bool
	}
	// Tick lets time pass; sent every TickInterval.
	Tick struct{}
)

type (
	// Admit lets a request run. Finished follows.
	Admit struct{ Request request.Request }
	// Replay answers a resend with the stored response.
	Replay struct {
		ID       request.ID
		Response *Response
	}
	// Wait holds a resend of a running key; Replay or Refuse follows, unless it is cancelled.
	Wait struct{ ID request.ID }
	// Refuse answers a request without running it.
	Refuse struct {
		ID request.ID
		// Verdict covers every delivery of the key so far, of which this request may be a repetition.
		// It is NotRun only if none of them can have run.
		Verdict verdict.Verdict
		// Delivery covers this request alone. It is NotRun for every request that was never admitted. A
		// caller that sends the key for the first time can rely on it where Verdict is MayHaveRun.
		Delivery verdict.Verdict
		Reason   Reason
		// RetryAfter is the delay before another try, with a new key if Reason.NewKey says so.
		RetryAfter time.Duration
	}
	// AppendGrants asks the combiner of the failure domain to append to the stream "grants". The
	// outcome is learned only by reading the stream.
	AppendGrants struct{ Record Record }
	// SendHandover passes a part of the table to a successor. HandoverEnded follows.
	SendHandover struct {
		To       instance.ID
		Handover Handover
	}
)

// Reason says why a request was refused.
type Reason string

// Reasons for Refuse.
const (
	// InvalidKey is not a UUIDv7.
	InvalidKey Reason = "invalid-key"
	// KeyReused was used before for a request with another fingerprint.
	KeyReused Reason = "key-reused"
	// TooOld is issued before the acceptance window; the caller takes a new key.
	TooOld Reason = "key-too-old"
	// TooNew is issued further ahead than the tolerance.
	TooNew Reason = "key-too-new"
	// TableFull owners hold as many keys as they may.
	TableFull Reason = "table-full"
	// IsDraining owners accept no new keys.
	OwnerDraining Reason = "draining"
	// Superseded keys belong to an owner that has left without accepting them; the caller takes a new key.
	Superseded Reason = "key-superseded"
	// NotOwner daemons hold no grant for the key's issue time, as far as they have read the log.
	NotOwner Reason = "not-owner"
	// OwnerLost keys fall into the grant of an owner that cannot be reached.
	OwnerLost Reason = "owner-lost"
	// NoPolicy daemons have no manifest yet.
	NoPolicy Reason = "no-policy"
	// InDoubt keys may have run, and the outcome is not known.
	InDoubt Reason = "key-in-doubt"
	// Running keys are in progress at a leaving owner, or have too many resends waiting.
	Running Reason = "key-running"
	// NotStored keys were answered before and the response is no longer stored.
	ResponseNotStored Reason = "response-not-stored"
	// RanNot is the reason for waiting resends whose first delivery ended with NotRun.
	FirstNotRun Reason = "not-run"
)

// NewKey reports whether the same key will not be accepted later either.
func (r Reason) NeedsNewKey() bool {
	switch r {
	case InvalidKey, KeyReused, TooOld, Superseded, InDoubt, ResponseNotStored:
		return true
	default:
		return false
	}
}

// EntryState is the state of a key in the table.
type EntryState uint8

const (
	// StateRunning keys were admitted and have no outcome yet.
	StateRunning EntryState = iota
	// StateNotRun keys were admitted and ended with NotRun.
	StateNotRun
	// StateInDoubt keys ended with MayHaveRun.
	StateInDoubt
	// StateAnswered keys ran and were answered.
	StateAnswered
)

// KeyEntry is a key of the table in a handover.
type KeyEntry struct {
	Key         uuid.UUID
	Fingerprint request.Fingerprint
	State       EntryState
	// Response is nil if none is stored.
	Response *Response
}

// Handover is a part of the table of a leaving owner, which accepts no key any more.
type Handover struct {
	Service     string
	From        instance.ID
	Incarnation instance.Incarnation
	Partitions  []int
	// Floor is the issue time from which the table is complete, in Unix milliseconds.
	Floor int64
	// End is after the issue time of each key that the owner has accepted, in Unix milliseconds. It is
	// the end of its sign-off.
	End int64
	// Round numbers the transmissions of an owner. Chunk counts from zero to Chunks-1 within a round; the
	// handover is complete once all chunks of one round have arrived. Chunks is zero for a later change of
	// single entries.
	Round, Chunk, Chunks int
	Entries              []KeyEntry
}

func (Arrived) isEvent()          {}
func (Finished) isEvent()         {}
func (Cancelled) isEvent()        {}
func (RecordsRead) isEvent()      {}
func (BaseOffered) isEvent()      {}
func (MembersChanged) isEvent()   {}
func (PolicyChanged) isEvent()    {}
func (DrainStarted) isEvent()     {}
func (HandoverReceived) isEvent() {}
func (HandoverEnded) isEvent()    {}
func (Tick) isEvent()             {}

func (Admit) isEffect()        {}
func (Replay) isEffect()       {}
func (Wait) isEffect()         {}
func (Refuse) isEffect()       {}
func (AppendGrants) isEffect() {}
func (SendHandover) isEffect() {}
