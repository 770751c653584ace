package membership

import (
	"net/netip"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// Entry is the record that a daemon keeps in the store.
type Entry struct {
	Member instance.Member
	// Server is the ID of the backend server that announced itself last; empty if none did.
	Server string
	// Born is the start time of that server, by its own clock; zero if unknown.
	Born time.Time
	// Left is set if that server has shut down or is about to.
	Left bool
	// Limit is the number of that server's slots that give the best throughput; zero if not known yet.
	Limit int
}

// equalInStore reports whether e and other need the same stored entry. Slots and the counter are not compared, because
// beats carry them.
func (e Entry) equalInStore(other Entry) bool {
	e.Member.Counter, e.Member.Slots = other.Member.Counter, other.Member.Slots

	return e == other
}

// Beat is a datagram from one daemon to another.
type Beat struct {
	From instance.Member
	// Reference replaces From if it is not zero: the receiver already has the member record.
	Reference Reference
	// References is set if the sender resolves references.
	References bool
	// Watch asks the receiver to send beats to the sender for watchLifetime.
	Watch bool
	// Greeting asks for one beat in return.
	Greeting bool
	// Version is the version of the configuration in force at the sender.
	Version uint64
	// Epoch is the newest epoch that the store has stated to the sender; zero if it states none.
	Epoch store.Epoch
	// End is the offset up to which the sender has read the topic of the configuration in Epoch; zero if it has read none.
	End    int64
	Report load.Report
	// Message is a message to all daemons; nil if there is none. This package does not interpret it.
	Message []byte
}

// Event is an input to State.Apply.
type Event interface{ isEvent() }

// Effect is an action that the daemon performs.
type Effect interface{ isEffect() }

type (
	// Started reports that the daemon has started. It is the first event.
	Started struct {
		// Seeds are configured addresses of daemons to greet at startup.
		Seeds []netip.AddrPort
		// Announced is set if the backend server announces itself.
		Announced bool
	}
	// EntriesRead reports the outcome of ReadEntries: all entries of the store, or that the read failed.
	EntriesRead struct {
		Entries []Entry
		Failed  bool
	}
	// EntryWritten reports the outcome of WriteEntry.
	EntryWritten struct{ Failed bool }
	// BeatHeard reports a received beat and its source address.
	BeatHeard struct {
		Beat   Beat
		Source netip.AddrPort
	}
	// SelfChanged replaces the daemon's own entry.
	SelfChanged struct{ Entry Entry }
	// LoadChanged reports the load of the daemon's own server, the version of the configuration in force, the epoch of the
	// store, and the position up to which the topic of the configuration was read.
	LoadChanged struct {
		Report  load.Report
		Version uint64
		Epoch   store.Epoch
		Read    store.Position
	}
	// BudgetChanged limits the traffic of beats that report a change of the load.
	BudgetChanged struct {
		// Bytes is the limit in bytes per second.
		Bytes     float64
		Unlimited bool
	}
	// Used reports that this daemon sends requests to a service.
	Used struct{ Service string }
	// Spread asks to send a message to all daemons.
	Spread struct{ Message []byte }
	// StoreReturned reports that the store has come back from an older copy, which may lack entries.
	StoreReturned struct{}
	// Resumed reports that the process was suspended for some time.
	Resumed struct{}
	// Left reports that the daemon leaves the fleet. Its watchers and the members that it watches are notified.
	Left struct{}
	// Tick reports that time has passed; State.Next returns when it is due.
	Tick struct{}
)

type (
	// ReadEntries reads all entries of the store. EntriesRead follows.
	ReadEntries struct{}
	// WriteEntry stores the daemon's own entry. EntryWritten follows.
	WriteEntry struct{ Entry Entry }
	// SendBeat sends a beat as a datagram.
	SendBeat struct {
		To   netip.AddrPort
		Beat Beat
	}
	// MembersChanged reports the complete list of members, including this daemon, sorted by ID.
	MembersChanged struct{ Members []instance.Member }
	// Reported passes on the load of a member's server.
	Reported struct{ Report load.Report }
	// MessageHeard passes on a received message to all daemons.
	MessageHeard struct{ Message []byte }
	// VersionHeard reports that a member has a newer configuration.
	VersionHeard struct {
		Version uint64
		From    instance.Member
	}
	// PositionHeard reports that a member has read more of the topic of the configuration.
	PositionHeard struct {
		Position store.Position
		From     instance.Member
	}
	// EpochHeard reports that a member has seen a newer epoch of the store.
	EpochHeard struct{ Epoch store.Epoch }
	// Ready reports that the first read of the entries has ended, successfully or not.
	Ready struct {
		// Own is the entry of the daemon's previous run; zero if there is none or the read failed.
		Own Entry
		// Service holds the entries of the other daemons of the same service.
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
func (StoreReturned) isEvent() {}
func (Resumed) isEvent()       {}
func (Left) isEvent()          {}
func (Tick) isEvent()          {}

func (ReadEntries) isEffect()    {}
func (WriteEntry) isEffect()     {}
func (SendBeat) isEffect()       {}
func (MembersChanged) isEffect() {}
func (Reported) isEffect()       {}
func (VersionHeard) isEffect()   {}
func (PositionHeard) isEffect()  {}
func (EpochHeard) isEffect()     {}
func (MessageHeard) isEffect()   {}
func (Ready) isEffect()          {}
