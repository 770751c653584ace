package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Guards against callers that come back under overload and go before those whose first sending can still be answered
// in time: both would be late.
func TestResentRequestKeepsTarget(t *testing.T) {
	const target = 500 * time.Millisecond

	s := newRequestSender(t, false)
	send := func(id request.ID, print request.Fingerprint, service string) request.Request {
		t.Helper()

		s.state.Apply(s.now, RequestArrived{Request: request.Request{
			ID: id, Service: service, Route: "r", Kind: manifest.Idempotent, Fingerprint: print,
			Deadline: s.now.Add(2 * time.Second), Target: s.now.Add(target),
		}})

		return s.state.requests[id]
	}

	// Nobody serves the service "none", so the request is refused at once.
	first := s.now
	send("a1", 7, "none")
	s.advance(300 * time.Millisecond)

	again := send("a2", 7, "other")
	require.Equal(t, first.Add(target), again.Target)
	require.Equal(t, first, again.Since)

	other := send("b", 8, "other")
	require.Equal(t, s.now.Add(target), other.Target)

	// One refusal brings one sending: the next equal request is that of another caller.
	equal := send("c", 7, "other")
	require.Equal(t, s.now.Add(target), equal.Target)

	// A request that is refused twice is still the one that was sent first.
	s.state.Apply(s.now, routing.Ended{ID: "a2", Outcome: routing.Unreachable})

	for range 20 {
		s.advance(50 * time.Millisecond)
		s.state.Apply(s.now, Tick{})
	}

	require.NotContains(t, s.state.requests, request.ID("a2"))
	require.Equal(t, first.Add(target), send("a3", 7, "other").Target)

	// A caller that comes back much later begins anew.
	send("d1", 9, "none")
	s.advance(2 * resendWindow)
	require.Equal(t, s.now.Add(target), send("d2", 9, "other").Target)
}
