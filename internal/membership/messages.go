package membership

import (
	"net/netip"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Event is something that happened to this daemon, a peer or an exchange.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

// Message is one direction of an exchange.
type Message struct {
	From        instance.ID
	Incarnation instance.Incarnation
	// Members are the entries of the sender's table that the receiver may lack.
	Members []instance.Member
	// Digest of the sender's table without dead and left members.
	Digest uint64
	// Seq is the version of the sender's table up to which the receiver has been told.
	Seq uint64
	// Ack is the version of the receiver's table up to which the sender has heard.
	Ack uint64
}

type (
	// Started is the first event.
	Started struct {
		Self instance.Member
		// Seeds are peer addresses to pull the table from.
		Seeds []netip.AddrPort
	}
	// ContactsRead adds peer addresses that were read from the log.
	ContactsRead struct{ Peers []netip.AddrPort }
	// ExchangeReceived is an exchange that a peer started; Reply with the same Call answers it.
	ExchangeReceived struct {
		Call    uint64
		Message Message
	}
	// ExchangeEnded is the response to an Exchange.
	ExchangeEnded struct {
		To      instance.ID
		Message Message
	}
	// ExchangeFailed ends an Exchange without a response.
	ExchangeFailed struct{ To instance.ID }
	// PageRequested asks for a page of the table; ReplyPage with the same Call answers it.
	PageRequested struct {
		Call  uint64
		From  instance.ID
		After instance.ID
		Limit int
	}
	// PageReceived is the response to a Pull.
	PageReceived struct {
		To      netip.AddrPort
		Members []instance.Member
		More    bool
		// Busy means that Members are only a few other daemons to ask.
		Busy bool
	}
	// PullFailed ends a Pull without a response.
	PullFailed struct{ To netip.AddrPort }
	// DrainStarted stops new work at this daemon's server.
	DrainStarted struct{}
	// LeaveStarted announces that this daemon shuts down.
	LeaveStarted struct{}
	// PeerObserved reports that a peer answered on another path than an exchange.
	PeerObserved struct {
		ID          instance.ID
		Incarnation instance.Incarnation
	}
	// Tick lets time pass; sent every TickInterval.
	Tick struct{}
)

type (
	// Exchange sends a message to a peer; ExchangeEnded or ExchangeFailed follows.
	Exchange struct {
		To      instance.Member
		Message Message
	}
	// Reply answers an ExchangeReceived.
	Reply struct {
		Call    uint64
		Message Message
	}
	// Pull asks for a page of a peer's table; PageReceived or PullFailed follows.
	Pull struct {
		To    netip.AddrPort
		From  instance.ID
		After instance.ID
		Limit int
	}
	// ReplyPage answers a PageRequested.
	ReplyPage struct {
		Call    uint64
		Members []instance.Member
		More    bool
		Busy    bool
	}
	// MembersChanged replaces the members of a service, sorted by ID, without dead and left ones.
	MembersChanged struct {
		Service string
		Members []instance.Member
	}
	// Ready is emitted once: the table was pulled, or no peer answered in time.
	Ready struct {
		// Alone is set if no peer answered.
		Alone bool
	}
	// Superseded reports a later run with this daemon's ID. This run can't announce itself any more
	// and has to shut down.
	Superseded struct{ By instance.Member }
)

func (Started) isEvent()          {}
func (ContactsRead) isEvent()     {}
func (ExchangeReceived) isEvent() {}
func (ExchangeEnded) isEvent()    {}
func (ExchangeFailed) isEvent()   {}
func (PageRequested) isEvent()    {}
func (PageReceived) isEvent()     {}
func (PullFailed) isEvent()       {}
func (DrainStarted) isEvent()     {}
func (LeaveStarted) isEvent()     {}
func (PeerObserved) isEvent()     {}
func (Tick) isEvent()             {}

func (Exchange) isEffect()       {}
func (Reply) isEffect()          {}
func (Pull) isEffect()           {}
func (ReplyPage) isEffect()      {}
func (MembersChanged) isEffect() {}
func (Ready) isEffect()          {}
func (Superseded) isEffect()     {}
