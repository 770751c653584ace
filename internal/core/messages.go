package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Event is an event of this package or of one of the packages that it combines.
type Event any

// Effect is an effect of this package or of one of the packages that it combines.
type Effect any

type (
	// Started is the first event of a run.
	Started struct{}
	// RequestArrived reports a request of a caller.
	RequestArrived struct {
		Request request.Request
		// Parts, if not empty, are the services from which the reducer chooses one by weight. Otherwise Request names
		// it.
		Parts []manifest.Part
		// Local is set if the request was sent from the instance itself, by the backend server or by a caller there.
		Local bool
		// CallOnly is set if the request is only accepted as a call of the backend server, because it presents no API key.
		CallOnly bool
		// Stated is the deadline that the sender of a local request gave.
		Stated time.Time
	}
	// OwnedArrived reports a request with an idempotency key that another daemon has forwarded because this one owns
	// the key.
	OwnedArrived struct{ Request request.Request }
	// Answered reports that the response of a request has arrived. Response is nil if it is too large to keep.
	Answered struct {
		ID       request.ID
		Response *keys.Response
	}
	// RequestCancelled reports that the caller has closed its request.
	RequestCancelled struct{ ID request.ID }
	// AttemptEnded reports the end of an attempt that this daemon sent as the entry of the request.
	AttemptEnded struct {
		Ended routing.Ended
		// Report is the load that the reply carried; its Server is empty if it carried none.
		Report load.Report
		// Crash identifies the crash of the backend server that ended the attempt; empty if none did.
		Crash string
		// Alone is set if the attempt had to run while no other one did at its server.
		Alone bool
		// Notice is what the reply of the daemon From says of its server; zero if it says nothing.
		From   instance.ID
		Notice backend.Notice
	}
	// AttemptArrived reports an attempt for the local backend server.
	AttemptArrived struct {
		Attempt admission.Attempt
		Request request.Request
		// Wait is the longest time that the attempt may wait for a slot.
		Wait time.Duration
		// Slowest is the slowness of the server above which the attempt is refused; zero for no limit.
		Slowest float64
		// Notice is what the entry daemon remembers of the responses of the server; zero if that is nothing.
		Notice backend.Notice
	}
	// AttemptServed reports the end of an attempt at the local backend server.
	AttemptServed struct {
		Attempt admission.Attempt
		// Ran is set if the attempt has reached the server, Failed if the server could not or would not do the work.
		Ran, Failed bool
		// Unserved is set if the server did not respond, or only refused the attempt.
		Unserved bool
		// Misdirected is set if another server than the expected one has refused the attempt by status 421.
		Misdirected bool
	}
	// ServerCrashed reports that the local backend server has crashed.
	ServerCrashed struct{}
	// ManifestRead reports a manifest that was read from the store, or by another daemon from which it was fetched.
	ManifestRead struct {
		// Epoch is the epoch of the store in which it was read, and End the offset up to which its topic was read with it;
		// zero if unknown.
		Epoch    store.Epoch
		End      int64
		Version  uint64
		Manifest manifest.Manifest
	}
	// EvacuationsRead reports the evacuated failure domains, as read from the topic of the configuration or fetched from
	// another daemon.
	EvacuationsRead struct {
		// At is the position up to which the topic was read.
		At store.Position
		// Domains holds all evacuated domains.
		Domains []string
		// Ended holds the domains whose evacuation was ended by a record that was read this time.
		Ended []string
		// Incomplete is set if the topic may have later records, because a list of the newest ones may be outdated.
		Incomplete bool
	}
	// StoreRead reports that reads of the configuration from the store have begun to fail, or to succeed again.
	StoreRead struct{ Failed bool }
	// FetchEnded reports the end of FetchConfiguration. What was fetched comes before it, as other events.
	FetchEnded struct {
		From instance.ID
		// Failed is set if the daemon could not be asked or had nothing new.
		Failed bool
	}
	// EpochSeen reports the epoch that a response of the store has stated, whatever its topic. It comes before what the
	// response holds.
	EpochSeen struct{ Epoch store.Epoch }
	// DrainStarted makes the daemon tell others to send no more work, and hand over its idempotency keys.
	DrainStarted struct{}
	// Closing ends all requests that are still in progress, because the daemon is about to exit.
	Closing struct{}
	// Resumed reports that the process was suspended for some time.
	Resumed struct{}
	// Tick handles timers that have expired; see State.Next.
	Tick struct{}
)

type (
	// Refuse ends a request of a caller without a response.
	Refuse struct {
		ID request.ID
		// Verdict covers every delivery of the request's idempotency key.
		Verdict verdict.Verdict
		// Delivery covers this delivery alone.
		Delivery verdict.Verdict
		Reason   string
		// RetryAfter is the delay after which the caller may try again; zero if another try makes no sense.
		RetryAfter time.Duration
	}
	// Forward sends a request to the daemon that owns its idempotency key.
	Forward struct {
		ID    request.ID
		Owner instance.Member
	}
	// FollowGrants starts to read the grants of key partitions from the store.
	FollowGrants struct{}
	// ManifestChanged puts a manifest in force.
	ManifestChanged struct {
		Version  uint64
		Manifest manifest.Manifest
	}
	// RereadManifest reads the topic of the configuration again, because another daemon has the newer Version or has read
	// it up to the position Read.
	RereadManifest struct {
		Version uint64
		Read    store.Position
	}
	// EvacuationsChanged reports which failure domains are evacuated, for the log.
	EvacuationsChanged struct {
		// At is the position as of which they are known.
		At                    store.Position
		Domains, Began, Ended []string
		// Own is set if the domain of this daemon is evacuated.
		Own bool
	}
	// FetchConfiguration fetches the configuration from another daemon, because the store cannot be read. Version and Read
	// are what this daemon has. FetchEnded follows.
	FetchConfiguration struct {
		From    instance.Member
		Version uint64
		Read    store.Position
	}
	// StoreReturned reports that the store has come back from an older copy. What the daemon has read from its topics may
	// be lost, and other records may have taken the offsets.
	StoreReturned struct{ Epoch, Previous store.Epoch }
	// CheckStore makes a call to the store, because another daemon has seen a newer epoch.
	CheckStore struct{ Epoch store.Epoch }
	// ServerReplaced reports that the backend server has another ID than before. The daemon closes its unused
	// connections to the former one.
	ServerReplaced struct{ ID backend.ID }
	// ServerChanged reports a change of the backend server, for the log.
	ServerChanged struct {
		ID backend.ID
		// Closed is the reason for refusing all attempts; empty if attempts are accepted.
		Closed admission.Reason
		// Slots is the number of requests that may run at once.
		Slots int
		// Why names the event that led to the change.
		Why string
	}
)
