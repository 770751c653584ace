// Package record holds the records that the system keeps in the log service, as domain types, and
// their codecs. A decoder accepts any bytes: what it cannot read is an error that readers skip, so
// that one bad record does not stop a stream.
package record

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

// Contact is a record of the stream "members": peer addresses of a failure domain from which a
// daemon can start.
type Contact struct {
	Domain string
	Peers  []string
}
