package keys

import (
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Entry is a record with its offset in the stream.
type Entry struct {
	Offset uint64
	Record Record
}

// Record is one record of the stream "grants". It may hold changes of several owners. They are applied
// in the order sign-offs, extensions, claims, so that an owner that still extends is preferred to a
// successor whose claim is in the same record. A record that cannot be decoded is passed as an empty
// Record, because every reader has to treat it in the same way.
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

// Claim asks for partitions of a service for issue times in [From, Until), in Unix milliseconds.
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
	Until       int64
	// Partitions that are extended; empty means all.
	Partitions []int
}

func (e Extension) covers(partition int) bool {
	return len(e.Partitions) == 0 || slices.Contains(e.Partitions, partition)
}

// Signoff ends every latest grant of an owner at End, which is after the issue time of each key that
// the owner has accepted.
type Signoff struct {
	Owner       instance.ID
	Incarnation instance.Incarnation
	End         int64
}

// Base is the state of all grants before offset Through. Grants of one partition are in log order.
type Base struct {
	Through uint64
	Grants  []Claim
}

// Grant is an accepted claim of one partition with its present end.
type Grant struct {
	Owner       instance.ID
	Incarnation instance.Incarnation
	From, Until int64
	// Ended is set after the owner's sign-off. An ended grant cannot be extended.
	Ended bool
}

func (g Grant) covers(issued int64) bool { return g.From <= issued && issued < g.Until }

func (g Grant) heldBy(id instance.ID, incarnation instance.Incarnation) bool {
	return g.Owner == id && g.Incarnation == incarnation
}
