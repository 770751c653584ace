package keys

import (
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Entry is a record with its offset in the stream "grants".
type Entry struct {
	Offset uint64
	Record Record
}

// Record is one record of the stream "grants". It may hold changes by several owners. They are applied in the order
// sign-offs, extensions, claims, so that an owner that still extends its grant takes precedence over a successor
// whose claim is in the same record. A record that cannot be decoded is treated as an empty Record, so that all
// readers derive the same grants.
type Record struct {
	Signoffs   []Signoff
	Extensions []Extension
	Claims     []Claim
	// Base is nil if the record holds none.
	Base *Base
}

// Empty reports whether the record changes nothing.
func (r Record) Empty() bool {
	return len(r.Signoffs)+len(r.Extensions)+len(r.Claims) == 0 && r.Base == nil
}

// Claim requests the grants of partitions of a service for issue times in [From, Until), in Unix milliseconds.
type Claim struct {
	Service     string
	Partitions  []int
	Owner       instance.ID
	Incarnation instance.Incarnation
	From, Until int64
	// Ended is set only inside a Base, for a grant whose owner has signed off.
	Ended bool
}

// Extension moves the end of the latest grants that an owner holds.
type Extension struct {
	Owner       instance.ID
	Incarnation instance.Incarnation
	// Until is the new end in Unix milliseconds. An earlier end than the present one has no effect.
	Until int64
	// Partitions are the partitions whose grants are extended; empty means all.
	Partitions []int
}

// covers reports whether the extension applies to a partition.
func (e Extension) covers(partition int) bool {
	return len(e.Partitions) == 0 || slices.Contains(e.Partitions, partition)
}

// Signoff ends the latest grants of an owner.
type Signoff struct {
	Owner       instance.ID
	Incarnation instance.Incarnation
	// End is the new end in Unix milliseconds, unless a grant ends earlier. It is after the issue time of each key that
	// the owner has admitted.
	End int64
}

// Base is a snapshot of all grants before offset Through. Grants of one partition are in log order.
type Base struct {
	Through uint64
	Grants  []Claim
}

// Grant is an accepted claim to one partition with its current end.
type Grant struct {
	Owner       instance.ID
	Incarnation instance.Incarnation
	// From and Until bound the issue times [From, Until) in Unix milliseconds.
	From, Until int64
	// Ended is set after the owner's sign-off. An ended grant cannot be extended.
	Ended bool
}

// covers reports whether the range of the grant contains an issue time.
func (g Grant) covers(issued int64) bool { return g.From <= issued && issued < g.Until }

func (g Grant) heldBy(id instance.ID, incarnation instance.Incarnation) bool {
	return g.Owner == id && g.Incarnation == incarnation
}
