package keys

import (
	"time"

	"github.com/google/uuid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Event is an input to State.Apply: a change of a key, a grant, a member or the configuration.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

// Response is a complete HTTP response that is stored for resends. Values are immutable.
type Response struct {
	Status int
	Header []Field
	Body   []byte
}

// Field is one field of a response header.
type Field struct{ Name, Value string }

type (
	// Arrived asks whether a request with a key may run. The request ID is unique.
	Arrived struct{ Request request.Request }
	// Finished reports the final outcome of an admitted request. The daemon sends it exactly once for each Admit, even
	// if the caller has disconnected.
	Finished struct {
		ID      request.ID
		Verdict verdict.Verdict
		// Response is stored for resends if the verdict is Answered; nil if it is too large to store.
		Response *Response
		// RetryAfter is passed on to waiting resends if the verdict is NotRun.
		RetryAfter time.Duration
	}
	// Cancelled reports that the caller of a waiting request has disconnected. An admitted request is not affected; it
	// runs until Finished.
	Cancelled struct{ ID request.ID }
	// EpochChanged reports the epoch that the store has stated in a response about any topic. If it is newer than the one
	// before, the store has come back from an older copy, and the stream "grants" has to be read from its start.
	EpochChanged struct{ Epoch store.Epoch }
	// RecordsRead reports records that were read from the stream "grants", in offset order.
	RecordsRead struct {
		// Epoch is the epoch of the store in which they were read. Records of an older epoch than the newest are ignored.
		Epoch store.Epoch
		// First is the offset of the oldest record that the log still has.
		First   uint64
		Records []Entry
		// Next is the offset after the newest record.
		Next uint64
	}
	// BaseOffered reports a base that was not read from the stream "grants" but elsewhere, such as from the topic of
	// bases.
	BaseOffered struct{ Base Base }
	// MembersChanged replaces the members of a service. They are sorted by ID.
	MembersChanged struct {
		Service string
		Members []instance.Member
	}
	// PolicyChanged replaces the configuration of keys. No key is admitted before the first one.
	PolicyChanged struct{ Keys manifest.Keys }
	// DrainStarted reports that the daemon leaves. It never admits a key again.
	DrainStarted struct{}
	// HandoverReceived reports a part of the table of a leaving owner.
	HandoverReceived struct{ Handover Handover }
	// HandoverEnded reports the outcome of a SendHandover.
	HandoverEnded struct {
		To           instance.ID
		Round, Chunk int
		Delivered    bool
	}
	// Tick reports that time has passed. It is due every TickInterval.
	Tick struct{}
)

type (
	// Admit allows a request to run. Finished follows.
	Admit struct{ Request request.Request }
	// Replay answers a resend with the stored response.
	Replay struct {
		ID       request.ID
		Response *Response
	}
	// Wait holds a resend until the running request with the same key ends. Replay or Refuse follows, unless the resend
	// is cancelled.
	Wait struct{ ID request.ID }
	// Refuse answers a request without running it.
	Refuse struct {
		ID request.ID
		// Verdict applies to all deliveries of the key so far, of which this request may be a repetition. It is NotRun
		// only if none of them can have run.
		Verdict verdict.Verdict
		// Delivery applies to this request alone. It is NotRun for every request that was never admitted. A caller that
		// sends the key for the first time can rely on it where Verdict is MayHaveRun.
		Delivery verdict.Verdict
		Reason   Reason
		// RetryAfter is the delay before another attempt, with a new key if Reason.NeedsNewKey is true.
		RetryAfter time.Duration
	}
	// AppendGrants appends a record to the stream "grants". Only reading the stream shows whether it was appended.
	AppendGrants struct{ Record Record }
	// SendHandover sends a part of the table to a successor. HandoverEnded follows.
	SendHandover struct {
		To       instance.ID
		Handover Handover
	}
)

// Reason says why a request was refused.
type Reason string

// Reasons for Refuse.
const (
	// InvalidKey means that the key is not a UUIDv7.
	InvalidKey Reason = "invalid-key"
	// KeyReused means that the key was used before for a request with another fingerprint.
	KeyReused Reason = "key-reused"
	// TooOld means that the key was issued before the acceptance window; the caller has to use a new key.
	TooOld Reason = "key-too-old"
	// TooNew means that the issue time of the key is further ahead than the tolerance.
	TooNew Reason = "key-too-new"
	// TableFull means that the owner's table holds the maximum number of keys.
	TableFull Reason = "table-full"
	// OwnerDraining means that the owner is leaving and admits no new keys.
	OwnerDraining Reason = "draining"
	// Superseded means that the key belongs to an owner that has left without running it; the caller has to use a new
	// key.
	Superseded Reason = "key-superseded"
	// NotOwner means that this daemon holds no grant for the issue time of the key, as far as it has read the log.
	NotOwner Reason = "not-owner"
	// OwnerLost means that the key is in the grant of an owner that cannot be reached.
	OwnerLost Reason = "owner-lost"
	// NoPolicy means that the daemon has no manifest yet.
	NoPolicy Reason = "no-policy"
	// InDoubt means that the key may have run and the outcome is not known.
	InDoubt Reason = "key-in-doubt"
	// Running means that the key is in progress at a leaving owner, or that too many of its resends wait.
	Running Reason = "key-running"
	// ResponseNotStored means that the key was answered before and the response is no longer stored.
	ResponseNotStored Reason = "response-not-stored"
	// FirstNotRun means that the delivery for which this resend has waited ended with NotRun.
	FirstNotRun Reason = "not-run"
)

// NeedsNewKey reports whether a retry needs a new key because the same key will not be admitted later either.
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
	// StateRunning means that the key was admitted and has no outcome yet.
	StateRunning EntryState = iota
	// StateNotRun means that the key was admitted and ended with NotRun.
	StateNotRun
	// StateInDoubt means that the key ended with MayHaveRun.
	StateInDoubt
	// StateAnswered means that the key ran and was answered.
	StateAnswered
)

// KeyEntry is an entry of the key table in a handover.
type KeyEntry struct {
	Key         uuid.UUID
	Fingerprint request.Fingerprint
	State       EntryState
	// Response is nil if none is stored.
	Response *Response
}

// Handover is a message with a part of the key table of a leaving owner, which no longer admits keys.
type Handover struct {
	Service     string
	From        instance.ID
	Incarnation instance.Incarnation
	Partitions  []int
	// Floor is the issue time from which the owner's table is complete, in Unix milliseconds.
	Floor int64
	// End is the end of the owner's sign-off in Unix milliseconds. It is after the issue time of each key that the
	// owner has admitted.
	End int64
	// Round numbers the transmissions of an owner. Chunk counts from zero to Chunks-1 within a round; the handover is
	// complete once all chunks of one round have arrived. Chunks is zero for a later update of single entries.
	Round, Chunk, Chunks int
	Entries              []KeyEntry
}

func (Arrived) isEvent()          {}
func (Finished) isEvent()         {}
func (Cancelled) isEvent()        {}
func (EpochChanged) isEvent()     {}
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
