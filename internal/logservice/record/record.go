// Package record holds the records that the system keeps in the log service, as domain types, and
// their codecs. A decoder accepts any bytes: what it cannot read is an error that readers skip, so
// that one bad record does not stop a stream.
package record

import "time"

// Stream names.
const (
	ConfigStream  = "config"
	GrantsStream  = "grants"
	MembersStream = "members"
)

// Config is a record of the stream "config": a Publish or a Snapshot.
type Config interface{ isConfig() }

type (
	// Publish asks to replace version Base by a manifest.
	Publish struct {
		// ID is chosen by the publisher; a lost append answer is resolved by looking for it.
		ID       string
		Base     uint64
		Manifest string
	}
	// Snapshot is the state of the stream before offset Through.
	Snapshot struct {
		Version uint64
		// Through is the offset after the last record that the snapshot reflects.
		Through  uint64
		Manifest string
		// ID of the publish record that became Version.
		ID string
	}
)

func (Publish) isConfig()  {}
func (Snapshot) isConfig() {}

// Grants is a record of the stream "grants". It may hold changes of several owners.
type Grants struct {
	Claims     []Claim
	Extensions []Extension
	Signoffs   []Signoff
	// Base is nil unless the record replaces all earlier ones.
	Base *GrantBase
}

type (
	// Claim asks for partitions of a service for key issue times in [From, Until).
	Claim struct {
		Service     string
		Partitions  []uint32
		Owner       string
		Incarnation uint64
		From, Until time.Time
	}
	// Extension moves the end of all grants that an owner holds.
	Extension struct {
		Owner       string
		Incarnation uint64
		Until       time.Time
	}
	// Signoff ends all grants of an owner early.
	Signoff struct {
		Owner       string
		Incarnation uint64
		End         time.Time
	}
	// GrantBase is the state of all grants before offset Through.
	GrantBase struct {
		Through uint64
		Grants  []Claim
	}
)

// Contact is a record of the stream "members": peer addresses of a failure domain from which a
// daemon can start.
type Contact struct {
	Domain string
	Peers  []string
}
