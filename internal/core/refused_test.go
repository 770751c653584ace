package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// TestResentRequestKeepsTarget guards against refused requests that are sent again under overload and are served
// before requests that can still be answered in time. Both would be late.
func TestResentRequestKeepsTarget(t *testing.T) {
	const target = 500 * time.Millisecond

	s := newRequestSender(t, false)
	send := func(id request.ID, fingerprint request.Fingerprint, service string) request.Request {
		t.Helper()

		s.state.Apply(s.now, RequestArrived{Request: request.Request{
			ID: id, Service: service, Route: "r", Kind: manifest.Idempotent, Fingerprint: fingerprint,
			Deadline: s.now.Add(2 * time.Second), Target: s.now.Add(target),
		}})

		return s.state.requests[id]
	}

	// No server runs the service "none", so the request is refused at once.
	first := s.now
	send("a1", 7, "none")
	s.advance(300 * time.Millisecond)

	again := send("a2", 7, "other")
	require.Equal(t, first.Add(target), again.Target)
	require.Equal(t, first, again.Since)

	other := send("b", 8, "other")
	require.Equal(t, s.now.Add(target), other.Target)

	// A refusal counts for one request: the next equal one comes from another caller.
	equal := send("c", 7, "other")
	require.Equal(t, s.now.Add(target), equal.Target)

	// The first arrival also counts after a second refusal.
	s.state.Apply(s.now, routing.Ended{ID: "a2", Outcome: routing.Unreachable})

	for range 20 {
		s.advance(50 * time.Millisecond)
		s.state.Apply(s.now, Tick{})
	}

	require.NotContains(t, s.state.requests, request.ID("a2"))
	require.Equal(t, first.Add(target), send("a3", 7, "other").Target)

	// After resendWindow the request counts as a new one.
	send("d1", 9, "none")
	s.advance(2 * resendWindow)
	require.Equal(t, s.now.Add(target), send("d2", 9, "other").Target)
}
