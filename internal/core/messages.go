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
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Event is an event of this package or of one of the packages that it is composed of.
type Event any

// Effect is an effect of this package or of one of the packages that it is composed of.
type Effect any

type (
	// Started begins the life of the daemon.
	Started struct{}
	// RequestArrived brings a request of a caller. If Parts is not empty, the service is chosen by weight.
	RequestArrived struct {
		Request request.Request
		Parts   []manifest.Part
		// Local is set if it was sent from the instance itself, by the backend server or by a caller, and Stated is the
		// deadline that its sender stated.
		Local  bool
		Stated time.Time
	}
	// OwnedArrived brings a request with a key that another daemon forwards because this one owns the key.
	OwnedArrived struct{ Request request.Request }
	// Answered reports that the response of a request is at hand; Response is nil if it is too large to keep.
	Answered struct {
		ID       request.ID
		Response *keys.Response
	}
	// RequestCancelled reports that the caller has left.
	RequestCancelled struct{ ID request.ID }
	// AttemptEnded reports the end of an attempt of this daemon as entry.
	AttemptEnded struct {
		Ended routing.Ended
		// Report is the load that the reply carried; without a server if it carried none.
		Report load.Report
		// Crash identifies the crash of the backend server that ended the attempt, or is empty.
		Crash string
		// Alone is set if the attempt asked for a server of its own.
		Alone bool
	}
	// AttemptArrived brings an attempt for the backend server beside this daemon.
	AttemptArrived struct {
		Attempt admission.Attempt
		Request request.Request
		Wait    time.Duration
		Slowest float64
	}
	// AttemptServed reports the end of an attempt at the backend server.
	AttemptServed struct {
		Attempt admission.Attempt
		// Ran is set if it has reached the server, Failed if the server could not or would not do its work.
		Ran, Failed bool
		// Unserved is set if the server did not respond, or only to refuse it.
		Unserved bool
	}
	// ServerCrashed reports that the backend server has died.
	ServerCrashed struct{}
	// ManifestRead brings a configuration that was read.
	ManifestRead struct {
		Version  uint64
		Manifest manifest.Manifest
	}
	// DrainStarted makes the daemon take no further work from others.
	DrainStarted struct{}
	// Closing ends all requests that are still in progress, because the daemon is about to end.
	Closing struct{}
	// Resumed reports that the process stood still for some time.
	Resumed struct{}
	// Tick lets time pass.
	Tick struct{}
)

type (
	// Refuse ends a request of a caller without a response.
	Refuse struct {
		ID request.ID
		// Verdict covers every delivery of the request's key, Delivery this one alone.
		Verdict  verdict.Verdict
		Delivery verdict.Verdict
		Reason   string
		// RetryAfter is when another try makes sense; zero if it makes none.
		RetryAfter time.Duration
	}
	// Forward passes a request to the daemon that owns its key.
	Forward struct {
		ID    request.ID
		Owner instance.Member
	}
	// FollowGrants begins to read the grants of key partitions.
	FollowGrants struct{}
	// ManifestChanged puts a configuration in force.
	ManifestChanged struct {
		Version  uint64
		Manifest manifest.Manifest
	}
	// RereadManifest asks for the configuration, because another daemon has a newer one.
	RereadManifest struct{ Version uint64 }
	// ServerReplaced reports that another backend server is at the address.
	ServerReplaced struct{ ID backend.ID }
	// ServerChanged reports a change of what is known of the backend server.
	ServerChanged struct {
		ID backend.ID
		// Closed is the reason for refusing all attempts, or empty.
		Closed admission.Reason
		Slots  int
		// Why names the event that led to the change.
		Why string
	}
)
