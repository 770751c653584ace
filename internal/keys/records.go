package keys

import (
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// LedgerID identifies a ledger, which is what follows from the records of the stream since a Restart. The zero value is
// the ledger of a log that has never come back from an older copy.
type LedgerID struct {
	// Epoch is the epoch of the store in which the ledger began.
	Epoch store.Epoch
	// Start is the offset of the Restart.
	Start uint64
}

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
	// Ledger is the ledger that the author of the record had read. In any other ledger, the record is without effect.
	Ledger     LedgerID
	Signoffs   []Signoff
	Extensions []Extension
	Claims     []Claim
	// Carried are grants of earlier ledgers, which their owner has read back there and still holds.
	Carried []Claim
	// Base and Restart are nil if the record holds none.
	Base    *Base
	Restart *Restart
}

// Empty reports whether the record changes nothing.
func (r Record) Empty() bool {
	return len(r.Signoffs)+len(r.Extensions)+len(r.Claims)+len(r.Carried) == 0 && r.Base == nil && r.Restart == nil
}

// Restart begins a ledger without grants at its offset. It is without effect in any other epoch of the store than Epoch,
// and if it was appended late: if a record of that epoch stands between Through and the restart.
type Restart struct {
	Epoch store.Epoch
	// Through is the offset up to which the author has read the stream.
	Through uint64
	// Barrier is the issue time, in Unix milliseconds, before which owners that the log has lost may hold grants.
	Barrier int64
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
	// Uncertain is set only inside a Base and for a carried grant, as in Grant.
	Uncertain bool
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

// Base is a snapshot of all grants before offset Through. Grants of one partition are in the order of their issue times.
type Base struct {
	Through uint64
	// Ledger and Barrier are those of the ledger.
	Ledger  LedgerID
	Barrier int64
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
	// Uncertain is set for a grant of an earlier ledger after which the log may have lost another owner's grant. It cannot
	// be extended, and the next grant starts at the barrier at the earliest.
	Uncertain bool
}

// extensible reports whether the owner can extend the grant.
func (g Grant) extensible() bool { return !g.Ended && !g.Uncertain }

// claim returns the grant as a claim to some partitions.
func (g Grant) claim(service string, partitions ...int) Claim {
	return Claim{
		Service: service, Partitions: partitions, Owner: g.Owner, Incarnation: g.Incarnation,
		From: g.From, Until: g.Until, Ended: g.Ended, Uncertain: g.Uncertain,
	}
}

// covers reports whether the range of the grant contains an issue time.
func (g Grant) covers(issued int64) bool { return g.From <= issued && issued < g.Until }

func (g Grant) heldBy(id instance.ID, incarnation instance.Incarnation) bool {
	return g.Owner == id && g.Incarnation == incarnation
}
