package config

import "github.com/tarragonmill/tarragonmill/internal/logservice"

// Event is something that was read from the log or offered by a peer.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

type (
	// RecordsRead holds records of the stream "config", from the log or passed on by a peer.
	RecordsRead struct {
		// First is the first offset that the source has. Earlier records cannot be had from it.
		First uint64
		// Records are contiguous and may repeat what was read before.
		Records []logservice.Record
		// Next is the end of the stream as the source sees it.
		Next uint64
	}
	// BaseOffered is the state of a peer that has read the stream without a gap.
	BaseOffered struct{ Base Base }
	// RoleChanged says whether this daemon is a relay. Relays write snapshots first.
	RoleChanged struct{ Relay bool }
	// Tick lets time pass; sent every TickInterval.
	Tick struct{}
)

// Base is the state of the stream before an offset. It answers which version is current there.
type Base struct {
	Version uint64
	// Through is the offset after the last record that the state reflects.
	Through  uint64
	Manifest string
	// ID of the publish record that became Version.
	ID string
}

type (
	// InForce puts a version in force. Versions of successive effects grow.
	InForce struct {
		Version  uint64
		Manifest string
		ID       string
	}
	// Append asks to append a record to the stream "config".
	Append struct{ Data []byte }
	// NeedBase asks for the state of a peer: a decisive record may be missing here.
	NeedBase struct{}
	// Decided reports what became of a publish record.
	Decided struct {
		Offset   uint64
		ID       string
		Accepted bool
		// Version is the accepted version, or the version that was current at the rejection.
		Version uint64
		// Winner is the identifier of the publish record that became Version.
		Winner string
		Reason Reason
	}
)

// Reason says why a publish record was rejected.
type Reason string

// Reasons of Decided.
const (
	// Accepted is the reason of an accepted record.
	Accepted Reason = ""
	// Outdated records replace a version that is not the current one.
	Outdated Reason = "base is not the current version"
	// Invalid records hold a manifest that fails validation.
	Invalid Reason = "manifest is invalid"
)

func (RecordsRead) isEvent() {}
func (BaseOffered) isEvent() {}
func (RoleChanged) isEvent() {}
func (Tick) isEvent()        {}

func (InForce) isEffect()  {}
func (Append) isEffect()   {}
func (NeedBase) isEffect() {}
func (Decided) isEffect()  {}
