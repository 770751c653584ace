package membership

import (
	"net/netip"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
)

// Entry is what a daemon keeps in the store.
type Entry struct {
	Member instance.Member
	// Server is the backend server that announced itself last; empty if none did.
	Server string
	// Born is the start of that server, by its own clock; zero if unknown.
	Born time.Time
	// Left is set if that server has left or is about to.
	Left bool
	// Limit is the number of that server's slots that were found to be worth using; zero if none was found yet.
	Limit int
}

// storedAs reports whether the store need not be told of e if it holds other. Slots go with the beats.
func (e Entry) storedAs(other Entry) bool {
	e.Member.Counter, e.Member.Slots = other.Member.Counter, other.Member.Slots

	return e == other
}

// Beat is a datagram from one daemon to another.
type Beat struct {
	From instance.Member
	// Reference stands for From if it is not zero: the receiver knows the member already.
	Reference Reference
	// References says that the sender understands references.
	References bool
	// Watch asks for the receiver's beats for some seconds.
	Watch bool
	// Greeting asks for one beat in return.
	Greeting bool
	// Version of the configuration in force at the sender.
	Version uint64
	Report  load.Report
	// Message to all daemons, or nil. Membership does not know what it says.
	Message []byte
}

// Event is something that was learned of the fleet.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

type (
	// Started begins membership.
	Started struct {
		// Seeds are daemons that may be there.
		Seeds []netip.AddrPort
		// Announced is set if the backend server announces itself.
		Announced bool
	}
	// EntriesRead brings all entries of the store, or says that they could not be read.
	EntriesRead struct {
		Entries []Entry
		Failed  bool
	}
	// EntryWritten is the outcome of WriteEntry.
	EntryWritten struct{ Failed bool }
	// BeatHeard brings a beat and the address that it was sent from.
	BeatHeard struct {
		Beat   Beat
		Source netip.AddrPort
	}
	// SelfChanged brings a change of the daemon's own entry.
	SelfChanged struct{ Entry Entry }
	// LoadChanged brings the load of the daemon's own server and the version in force.
	LoadChanged struct {
		Report  load.Report
		Version uint64
	}
	// BudgetChanged limits what the beats that tell a change of the load may cost.
	BudgetChanged struct {
		// Bytes per second.
		Bytes     float64
		Unlimited bool
	}
	// Used says that this daemon sends requests of a service.
	Used struct{ Service string }
	// Spread sends a message to all daemons.
	Spread struct{ Message []byte }
	// Resumed reports that the process stood still for some time.
	Resumed struct{}
	// Left ends membership: the others are told.
	Left struct{}
	// Tick lets time pass.
	Tick struct{}
)

type (
	// ReadEntries asks for all entries of the store.
	ReadEntries struct{}
	// WriteEntry stores the daemon's own entry.
	WriteEntry struct{ Entry Entry }
	// SendBeat sends a datagram.
	SendBeat struct {
		To   netip.AddrPort
		Beat Beat
	}
	// MembersChanged brings all members.
	MembersChanged struct{ Members []instance.Member }
	// Reported brings the load of a member's server.
	Reported struct{ Report load.Report }
	// MessageHeard brings a message to all daemons.
	MessageHeard struct{ Message []byte }
	// VersionHeard says that a member has a newer configuration.
	VersionHeard struct {
		Version uint64
		From    instance.Member
	}
	// Ready follows the first read of the entries, or the first failure to read them.
	Ready struct {
		// Own is the entry that an earlier run has left.
		Own Entry
		// Service are the entries of the daemon's own service.
		Service []Entry
	}
)

func (Started) isEvent()       {}
func (EntriesRead) isEvent()   {}
func (EntryWritten) isEvent()  {}
func (BeatHeard) isEvent()     {}
func (SelfChanged) isEvent()   {}
func (LoadChanged) isEvent()   {}
func (BudgetChanged) isEvent() {}
func (Used) isEvent()          {}
func (Spread) isEvent()        {}
func (Resumed) isEvent()       {}
func (Left) isEvent()          {}
func (Tick) isEvent()          {}

func (ReadEntries) isEffect()    {}
func (WriteEntry) isEffect()     {}
func (SendBeat) isEffect()       {}
func (MembersChanged) isEffect() {}
func (Reported) isEffect()       {}
func (VersionHeard) isEffect()   {}
func (MessageHeard) isEffect()   {}
func (Ready) isEffect()          {}
