package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

var (
	limitTestStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	serverBorn     = limitTestStart.Add(-time.Hour)
)

// announce announces a run of the server s-1.
func announce(s *State, now time.Time, born time.Time, sequence int64) {
	s.Apply(now, health.Announced{Announcement: backend.Announcement{
		ID: "s-1", Born: born, Sequence: sequence, Service: "stockdesk", Slots: 6,
	}})
}

// newRestarted returns the state of a daemon that has just restarted and knows its server by an announcement only.
func newRestarted(now time.Time) *State {
	s := New(Options{Self: instance.Member{ID: "self", Service: "stockdesk"}, Announced: true, QueuePerSlot: 2})
	s.Apply(now, Started{})
	announce(s, now, serverBorn, 7)

	return s
}

// arrive applies the arrival of an attempt that must not wait, and returns the reason for refusing it; empty if it starts.
func arrive(s *State, now time.Time, id string, notice backend.Notice) admission.Reason {
	attempt := admission.Attempt{Entry: "entry", ID: request.ID(id)}
	arrived := AttemptArrived{
		Attempt: attempt, Request: request.Request{ID: attempt.ID, Deadline: now.Add(time.Minute)}, Notice: notice,
	}

	for _, effect := range s.Apply(now, arrived) {
		if refused, ok := effect.(admission.Refuse); ok && refused.Attempt == attempt {
			return refused.Reason
		}
	}

	return ""
}

// TestNoticeOfLeaving guards against requests to a server that has said in a response that it leaves, after the daemon
// beside it has restarted without the store, while late announcements still call it ready.
func TestNoticeOfLeaving(t *testing.T) {
	now := limitTestStart
	s := newRestarted(now)
	notice := backend.Notice{Server: "s-1", Born: serverBorn, Leaving: true}

	require.Empty(t, arrive(s, now, "unaware", backend.Notice{}))
	require.Equal(t, admission.ServerUnknown, arrive(s, now, "aware", notice))
	require.True(t, s.ServerNotice().Leaving)

	announce(s, now, serverBorn, 8)
	require.Equal(t, admission.ServerUnknown, arrive(s, now, "late", backend.Notice{}))

	// A later run of the server is not affected, although the notice of the earlier one still arrives.
	announce(s, now, serverBorn.Add(time.Minute), 1)
	require.Empty(t, arrive(s, now, "later-run", notice))
}

// TestNoticeOfLimit guards against a limit that the daemon beside the server has forgotten after a restart, and against
// an old limit that replaces what the server has said since.
func TestNoticeOfLimit(t *testing.T) {
	now := limitTestStart
	s := newRestarted(now)
	notice := backend.Notice{Server: "s-1", Born: serverBorn, Limit: backend.Limit{Set: true, PerSecond: 1}}

	require.Empty(t, arrive(s, now, "first", notice))
	require.Equal(t, admission.OverLimit, arrive(s, now, "second", notice))

	s.Apply(now, health.LimitStated{})
	require.Empty(t, arrive(s, now, "third", notice))
}

// TestNoticesAreReturned guards against an entry daemon that does not remember what a server has said, or that takes the
// silence of a restarted daemon for the end of it.
func TestNoticesAreReturned(t *testing.T) {
	now := limitTestStart
	s := New(Options{Self: instance.Member{ID: "self"}})
	end := func(notice backend.Notice) {
		s.Apply(now, AttemptEnded{Ended: routing.Ended{ID: "r"}, From: "peer", Notice: notice})
	}

	limited := backend.Notice{Server: "s-1", Born: serverBorn, Limit: backend.Limit{Set: true, PerSecond: 3}}
	end(limited)
	require.Equal(t, limited, s.NoticeOf("peer"))

	end(backend.Notice{})
	require.Equal(t, limited, s.NoticeOf("peer"))

	end(backend.Notice{Server: "s-1", Born: serverBorn})
	require.Zero(t, s.NoticeOf("peer"))

	leaving := backend.Notice{Server: "s-1", Born: serverBorn, Leaving: true}
	end(leaving)
	// A daemon that knows its server only from a probe does not know its start.
	end(backend.Notice{Server: "s-1"})
	require.Equal(t, leaving, s.NoticeOf("peer"))

	end(backend.Notice{Server: "s-2", Born: serverBorn.Add(time.Minute)})
	require.Zero(t, s.NoticeOf("peer"))
}

// TestLimitInReports guards against daemons that keep choosing a server that allows no request at present.
func TestLimitInReports(t *testing.T) {
	now := limitTestStart
	s := newRestarted(now)
	s.Apply(now, health.LimitStated{Limit: backend.Limit{Set: true, PerSecond: 2}})

	require.Empty(t, arrive(s, now, "first", backend.Notice{}))
	require.Empty(t, arrive(s, now, "second", backend.Notice{}))

	for _, id := range []request.ID{"first", "second"} {
		now = now.Add(100 * time.Millisecond)
		s.Apply(now, AttemptServed{Attempt: admission.Attempt{Entry: "entry", ID: id}, Ran: true})
	}

	require.GreaterOrEqual(t, s.publishedReport.Running, s.publishedReport.Slots)
	require.Equal(t, 1, s.publishedReport.Slots)

	now = now.Add(time.Second)
	require.False(t, s.Next().After(now))
	s.Apply(now, Tick{})
	require.Zero(t, s.publishedReport.Running)
}

// TestLimitIsRechecked guards against a server that gets no more requests after its limit has ended, because it is
// reported with one slot while other servers have more.
func TestLimitIsRechecked(t *testing.T) {
	now := limitTestStart
	s := newRestarted(now)
	s.Apply(now, health.LimitStated{Limit: backend.Limit{Set: true, PerSecond: 2}})
	require.Empty(t, arrive(s, now, "first", backend.Notice{}))

	now = now.Add(100 * time.Millisecond)
	s.Apply(now, AttemptServed{Attempt: admission.Attempt{Entry: "entry", ID: "first"}, Ran: true})
	require.Equal(t, 1, s.publishedReport.Slots)

	for end := now.Add(limitRecheckTime); now.Before(end); {
		now = s.Next()
		s.Apply(now, Tick{})
	}

	require.Greater(t, s.slotLimit, 1)
	require.Equal(t, s.slotLimit, s.publishedReport.Slots)
	require.Zero(t, s.publishedReport.Running)
	// The limit itself holds on.
	require.Empty(t, arrive(s, now, "second", backend.Notice{}))
	require.Empty(t, arrive(s, now, "third", backend.Notice{}))
	require.Equal(t, admission.OverLimit, arrive(s, now, "fourth", backend.Notice{}))
}

// TestTenantOf guards against requests of several tenants that count as one, and against an order by tenants in a fleet
// without them.
func TestTenantOf(t *testing.T) {
	s := newRestarted(limitTestStart)
	require.Empty(t, s.tenantOf(request.Request{Tenant: "a", Origin: "stockdesk"}))

	s.Apply(limitTestStart, ManifestRead{Version: 7, Manifest: manifest.Manifest{Tenants: []manifest.Tenant{{Name: "a"}}}})
	require.Equal(t, "a", s.tenantOf(request.Request{Tenant: "a", Origin: "stockdesk"}))
	require.Equal(t, "service/stockdesk", s.tenantOf(request.Request{Depth: 1, Origin: "stockdesk"}))

	require.Empty(t, arrive(s, limitTestStart, "first", backend.Notice{}))
	require.Equal(t, []admission.TenantLoad{{Name: "service/", Running: 1}}, s.Dump(limitTestStart).Admission.Tenants)
}
