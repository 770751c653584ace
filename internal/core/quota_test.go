package core

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/quota"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// quotaMember returns a member of the failure domain of the tests.
func quotaMember(id string) instance.Member {
	return instance.Member{
		ID: instance.ID(id), Incarnation: 1, Service: "stockdesk", Place: instance.Place{Region: "r", Domain: "d"},
		Peer: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, id[0]}), 80), Started: limitTestStart,
	}
}

// newLimited returns the state of the daemon b, which has read a manifest with a limited tenant but no entries.
func newLimited() *State {
	s := New(Options{Self: quotaMember("b"), Announced: true})
	s.Apply(limitTestStart, Started{})
	s.Apply(limitTestStart, ManifestRead{Version: 1, Manifest: manifest.Manifest{
		Services: []manifest.Service{{Name: "stockdesk"}, {Name: "routehall"}},
		Tenants:  []manifest.Tenant{{Name: "oak", Rate: 10, Burst: 10}},
	}})

	return s
}

// readEntries applies a read of the entries of daemons.
func readEntries(s *State, now time.Time, ids ...string) []Effect {
	entries := make([]membership.Entry, 0, len(ids))
	for _, id := range ids {
		entries = append(entries, membership.Entry{Member: quotaMember(id)})
	}

	return s.Apply(now, membership.EntriesRead{Entries: entries})
}

// submit applies the arrival of a request of the tenant and returns its refusal, if there is one.
func submit(s *State, now time.Time, id request.ID) (Refuse, bool) {
	effects := s.Apply(now, RequestArrived{Request: request.Request{
		ID: id, Service: "routehall", Tenant: "oak", Kind: manifest.Idempotent, Fingerprint: request.Fingerprint(len(id)),
		Deadline: now.Add(2 * time.Second),
	}})

	for _, effect := range effects {
		if refused, ok := effect.(Refuse); ok && refused.ID == id {
			return refused, true
		}
	}

	return Refuse{}, false
}

// TestLimitNeedsMembers guards against a daemon that takes the whole limit of a tenant because it has not read the
// entries of the others, and against a token that is lost although the request was refused.
func TestLimitNeedsMembers(t *testing.T) {
	s, now := newLimited(), limitTestStart

	refused, _ := submit(s, now, "1")
	require.Equal(t, string(quota.MembersUnknown), refused.Reason)
	require.Equal(t, verdict.NotRun, refused.Verdict)

	// A read that fails or lacks the own entry does not tell the number of members.
	s.Apply(now, membership.EntriesRead{Failed: true})
	readEntries(s, now)

	refused, _ = submit(s, now, "2")
	require.Equal(t, string(quota.MembersUnknown), refused.Reason)

	readEntries(s, now, "b")

	now = now.Add(time.Second)
	refused, _ = submit(s, now, "3")
	require.Equal(t, string(routing.NoServers), refused.Reason)
	require.Equal(t, uint64(1), s.quota.Counts().Returned)

	// The returned token is used again, and requests without a tenant and calls need none.
	submit(s, now, "4")
	require.Equal(t, uint64(1), s.quota.Counts().TokensGranted)
}

// TestWaitingForToken guards against waiting requests that are forgotten when their caller leaves or the daemon exits,
// and against a wait that changes the time since which the caller waits.
func TestWaitingForToken(t *testing.T) {
	s, now := newLimited(), limitTestStart
	readEntries(s, now, "a", "b")

	for _, id := range []request.ID{"1", "22", "333"} {
		_, refused := submit(s, now, id)
		require.False(t, refused)
	}

	s.Apply(now, RequestCancelled{ID: "1"})
	require.Equal(t, 2, s.InProgress())

	since := s.requests["22"].Since
	now = now.Add(2 * time.Millisecond)
	asked := quota.Item{Tenant: quota.TenantIDOf("oak"), Number: 2, Tokens: 1}

	for number := range uint64(9) {
		asked.Number = number
		s.Apply(now, quota.Heard{Message: quota.Message{
			Kind: quota.Reply, From: quota.RunOf(quotaMember("a")), To: quota.RunOf(s.Self()),
			Items: []quota.Item{asked},
		}})
	}

	require.NotContains(t, s.requests, request.ID("22"), "no server takes it")
	require.Equal(t, since, s.refusedRequests.byFingerprint[2].firstArrival)

	// The token that was returned has expired by then.
	now = now.Add(time.Second)
	_, refused := submit(s, now, "4444")
	require.False(t, refused)

	effects := s.Apply(now, Closing{})
	require.Contains(t, effects, Refuse{
		ID: "4444", Verdict: verdict.NotRun, Delivery: verdict.NotRun, Reason: string(quota.ShuttingDown),
		RetryAfter: 500 * time.Millisecond,
	})
	require.Zero(t, s.InProgress())
}
