package peer

import (
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// Exchange is one direction of an exchange between two daemons.
type Exchange struct {
	From        instance.ID
	Incarnation instance.Incarnation
	// Members are the entries of the sender's table that the receiver may lack.
	Members []instance.Member
	// Digest of the sender's member table.
	Digest uint64
	// Seq is the sender's table version up to which Members tell the receiver.
	Seq uint64
	// Ack is the receiver's table version up to which the sender has heard.
	Ack      uint64
	Throughs []logrelay.Through
	Suspects []suspects.Report
}

// PageRequest asks for a page of the member table.
type PageRequest struct {
	// From is the daemon that pulls.
	From instance.ID
	// After is the last ID of the previous page.
	After instance.ID
	Limit int
}

// Page is a part of a member table, sorted by ID.
type Page struct {
	Members []instance.Member
	More    bool
	// Busy means that no page was served; Members are a few other daemons to ask.
	Busy bool
}

// RecordsRequest asks for records of a log stream.
type RecordsRequest struct {
	Stream string
	// From is the first offset wanted.
	From uint64
}
