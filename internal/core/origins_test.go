package core

import (
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// requestSender sends requests from the instance of a daemon and runs requests at its backend server.
type requestSender struct {
	*testing.T
	state *State
	now   time.Time
}

// newRequestSender returns a sender. If restarted is set, the daemon has an entry of an earlier run.
func newRequestSender(t *testing.T, restarted bool) *requestSender {
	t.Helper()

	s := &requestSender{T: t, now: time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)}
	self := instance.Member{ID: "self", Service: "stock"}
	s.state = New(Options{Self: self, QueuePerSlot: 2})
	s.state.Apply(s.now, Started{})

	read := membership.EntriesRead{Entries: []membership.Entry{{
		Member: instance.Member{ID: "there", Service: "other", Slots: 9},
	}}}
	if restarted {
		read.Entries = append(read.Entries, membership.Entry{Member: self})
	}

	s.state.Apply(s.now, read)
	s.state.Apply(s.now, health.Announced{Announcement: backend.Announcement{
		ID: "i", Service: "stock", Slots: 4, Sequence: 1,
	}})

	return s
}

// isCall sends a request and reports whether the daemon takes it for a call of the backend server.
func (s *requestSender) isCall(id request.ID, route string, left time.Duration) bool {
	s.Helper()

	s.state.Apply(s.now, RequestArrived{
		Request: request.Request{
			ID: id, Service: "other", Route: route, Kind: manifest.Idempotent, Deadline: s.now.Add(left),
		},
		Local: true, Stated: s.now.Add(left),
	})

	sent, ok := s.state.requests[id]
	require.True(s, ok, "the request has ended")

	return sent.Nested()
}

// startParent starts a request at the backend server and returns its attempt.
func (s *requestSender) startParent(id request.ID, left time.Duration) admission.Attempt {
	s.Helper()

	attempt := admission.Attempt{Entry: "entry", ID: id}
	s.state.Apply(s.now, AttemptArrived{Attempt: attempt, Request: request.Request{
		ID: id, Service: "stock", Route: "stock/parent", Deadline: s.now.Add(left),
	}})
	require.True(s, s.state.localAttempts[attempt].started)

	return attempt
}

func (s *requestSender) advance(elapsed time.Duration) { s.now = s.now.Add(elapsed) }

// TestOriginOfRequests guards against requests of callers that are taken for calls of the backend server, since both
// come from the address of the instance. Under overload such requests would wait until their deadline, and would be
// served before requests whose parents hold slots.
func TestOriginOfRequests(t *testing.T) {
	t.Run("nothing runs at the server", func(t *testing.T) {
		s := newRequestSender(t, false)
		require.False(t, s.isCall("a", "other/lookup", time.Second))
	})

	t.Run("a call ends with its parent", func(t *testing.T) {
		s := newRequestSender(t, false)
		s.startParent("parent", time.Second)
		s.advance(300 * time.Millisecond)
		require.True(t, s.isCall("call", "other/call", 400*time.Millisecond))
		require.True(t, s.isCall("late call", "other/call", 700*time.Millisecond))
		require.False(t, s.isCall("caller", "other/lookup", 2500*time.Millisecond))
	})

	t.Run("a route that callers use", func(t *testing.T) {
		s := newRequestSender(t, false)
		require.False(t, s.isCall("first", "other/lookup", 2*time.Second))
		s.startParent("parent", 5*time.Second)
		require.False(t, s.isCall("second", "other/lookup", 2*time.Second))
		require.True(t, s.isCall("call", "other/call", 400*time.Millisecond))
	})

	t.Run("the parent has just ended", func(t *testing.T) {
		s := newRequestSender(t, false)
		attempt := s.startParent("parent", time.Second)
		s.state.Apply(s.now, AttemptServed{Attempt: attempt, Ran: true})
		s.advance(10 * time.Millisecond)
		require.True(t, s.isCall("call", "other/call", 400*time.Millisecond))
		s.advance(time.Second)
		require.False(t, s.isCall("caller", "other/call", 400*time.Millisecond))
	})

	t.Run("the parent came through an earlier run", func(t *testing.T) {
		s := newRequestSender(t, true)
		require.True(t, s.isCall("call", "other/call", 400*time.Millisecond))
		s.advance(2 * earlierRunTime)
		require.False(t, s.isCall("caller", "other/lookup", time.Second))
	})
}

// TestEndedParentsExpire guards against a daemon whose memory grows with each request at its server, because it gets no
// request from its own instance.
func TestEndedParentsExpire(t *testing.T) {
	const (
		requests = 10_000
		interval = 10 * time.Millisecond
	)

	s := newRequestSender(t, false)

	for n := range requests {
		attempt := s.startParent(request.ID(strconv.Itoa(n)), time.Second)
		s.now = s.now.Add(interval)
		s.state.Apply(s.now, AttemptServed{Attempt: attempt, Ran: true})
		require.LessOrEqual(t, len(s.state.origins.endedParents), int(lateCallTime/interval)+1)
	}
}
