package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Event is an event of this package or of one of the composed packages.
type Event any

// Effect is an effect of this package or of one of the composed packages.
type Effect any

type (
	// Started is the first event.
	Started struct{}
	// RequestArrived starts a request of a caller at the entry daemon.
	RequestArrived struct{ Request request.Request }
	// OwnedArrived starts a request whose idempotency key this daemon owns.
	OwnedArrived struct{ Request request.Request }
	// RequestCancelled reports that the caller has gone away.
	RequestCancelled struct{ ID request.ID }
	// RequestEnded drops what is kept of a request; its result has been handed over.
	RequestEnded struct{ ID request.ID }
	// Answered reports that the response to a request is at hand. Response is nil if it is too large
	// to be stored.
	Answered struct {
		ID       request.ID
		Response *keys.Response
	}
	// AttemptEnded reports the end of an attempt. Crash identifies the crash of the backend server
	// that ended it, or is empty. Alone is set if the attempt asked for a server of its own.
	AttemptEnded struct {
		Ended routing.AttemptEnded
		Crash string
		Alone bool
	}
	// AttemptArrived asks the local backend server to run an attempt.
	AttemptArrived struct {
		Request request.Request
		Number  int
		// NoWait asks for a refusal instead of a place in the queue.
		NoWait bool
	}
	// ServerCrashed reports that the backend server died, or, with Only set, that it broke the
	// connection of this attempt alone.
	ServerCrashed struct{ Only admission.Attempt }
	// ExchangeArrived is an exchange that a neighbour started; ExchangeReply answers it.
	ExchangeArrived struct {
		Call     uint64
		Message  membership.Message
		Throughs []logrelay.Through
		Reports  []suspects.Report
	}
	// ExchangeEnded is the response to an Exchange.
	ExchangeEnded struct {
		To       instance.ID
		Message  membership.Message
		Throughs []logrelay.Through
		Reports  []suspects.Report
	}
	// GrantsArrived brings changes of grants that another daemon of the failure domain wants appended.
	GrantsArrived struct{ Record keys.Record }
	// DrainStarted makes this daemon leave.
	DrainStarted struct{}
	// Tick lets time pass; sent every routing.TickInterval.
	Tick struct{}
)

type (
	// Forward sends a request to the owner of its key.
	Forward struct {
		ID    request.ID
		Owner instance.Member
	}
	// Refuse is the final result of a request without a response.
	Refuse struct {
		ID request.ID
		// Verdict covers every delivery of the request's key, Delivery this one alone.
		Verdict    verdict.Verdict
		Delivery   verdict.Verdict
		Reason     string
		RetryAfter time.Duration
	}
	// Abandon ends a request that nobody waits for.
	Abandon struct{ ID request.ID }
	// Exchange sends a message to a neighbour; ExchangeEnded or membership.ExchangeFailed follows.
	Exchange struct {
		To       instance.Member
		Message  membership.Message
		Throughs []logrelay.Through
		Reports  []suspects.Report
	}
	// ExchangeReply answers an ExchangeArrived.
	ExchangeReply struct {
		Call     uint64
		Message  membership.Message
		Throughs []logrelay.Through
		Reports  []suspects.Report
	}
	// ManifestChanged puts a manifest in force at the caller interface.
	ManifestChanged struct {
		Version  uint64
		Manifest manifest.Manifest
	}
	// SendGrants passes changes of grants to the combiner of the failure domain.
	SendGrants struct {
		To     instance.Member
		Record keys.Record
	}
)
