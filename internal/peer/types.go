package peer

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
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
	Throughs []Through
	Suspects []Suspect
}

// Through is the offset after the last record of a log stream that a daemon has applied.
type Through struct {
	Stream string
	Offset uint64
}

// Suspect is a request that was in flight when a backend server crashed.
type Suspect struct {
	// Key is empty for a request without an idempotency key.
	Key         string
	Fingerprint request.Fingerprint
	// Crashes is the number of backend servers that died with the request in flight.
	Crashes int
	Expires time.Time
	Cleared bool
	// Source names the daemon and the crash, so that a report is counted once.
	Source string
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

// Record is one record of a log stream.
type Record struct {
	Offset uint64
	Data   []byte
}

// Records are consecutive records, or a base and the records that follow it.
type Records struct {
	Records []Record
	// Base, if set, is the encoded state of the stream's reducer before offset Through.
	Base    []byte
	Through uint64
}

// Handover is a part of the key table of an owner that leaves.
type Handover struct {
	Service     string
	From        instance.ID
	Incarnation instance.Incarnation
	Partitions  []int
	Entries     []KeyEntry
	// Complete is set on the last part.
	Complete bool
}

// KeyEntry is one key of a key table.
type KeyEntry struct {
	Key         string
	Fingerprint request.Fingerprint
	Verdict     verdict.Verdict
	Running     bool
	// Stored means that Status, Headers and Body are the complete response.
	Stored  bool
	Status  int
	Headers []Header
	Body    []byte
	Expires time.Time
}

// Header is one field of a stored response.
type Header struct{ Name, Value string }
