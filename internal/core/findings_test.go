package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/membership"
)

// TestTakeFindings guards against a daemon that does not start from what its earlier run or its service has found.
func TestRestoreFinding(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	entry := func(id instance.ID, slots, limit int) membership.Entry {
		return membership.Entry{Member: instance.Member{ID: id, Slots: slots}, Limit: limit}
	}
	service := []membership.Entry{
		entry("a", 9, 0), entry("b", 9, 0), entry("c", 9, 0), entry("d", 9, 9), entry("e", 9, 7), entry("f", 9, 7),
	}
	limitAfterStart := func(ready membership.Ready, slots int) int {
		s := New(Options{Self: instance.Member{ID: "self"}})
		s.restoreFinding(now, ready)
		s.Apply(now, health.Announced{Announcement: backend.Announcement{ID: "i", Slots: slots, Sequence: 1}})

		return s.concurrency.Limit(now, slots)
	}

	require.Equal(t, 7, limitAfterStart(membership.Ready{Service: service}, 9))
	require.Equal(t, 6, limitAfterStart(membership.Ready{Own: entry("self", 6, 6), Service: service}, 6))
	require.Equal(t, 5, limitAfterStart(membership.Ready{Service: service}, 6))
}

// TestFindings guards against a finding that depends on the order in which daemons are heard.
func TestMostCommonFinding(t *testing.T) {
	f := make(findings)
	require.Zero(t, f.mostCommon(9).Limit)

	f.set("a", load.Finding{Slots: 9, Limit: 9})
	f.set("b", load.Finding{Slots: 9, Limit: 7})
	require.Equal(t, load.Finding{Slots: 9, Limit: 7}, f.mostCommon(9))

	f.set("c", load.Finding{Slots: 9, Limit: 9})
	require.Equal(t, load.Finding{Slots: 9, Limit: 9}, f.mostCommon(9))

	f.set("a", load.Finding{})
	f.set("c", load.Finding{})
	require.Equal(t, load.Finding{Slots: 9, Limit: 7}, f.mostCommon(9))
}

// TestAssignTrials guards against a service none of whose daemons finds out, or all of whose do at the same time.
func TestUpdateTrialRole(t *testing.T) {
	members := make([]instance.Member, 0, 9)
	for _, id := range []instance.ID{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		members = append(members, instance.Member{ID: id, Service: "stock", Status: instance.Alive})
	}

	trying := 0

	for _, self := range members {
		s := New(Options{Self: self})
		s.updateTrialRole(members)

		if s.concurrency.TrialsEnabled() {
			trying++
		}
	}

	require.Equal(t, 4, trying)
}

// TestEqualFindings guards against a finding that depends on the order of a map, and against one for other servers that
// outvotes those that fit.
func TestMostCommonFindingTies(t *testing.T) {
	// Of equal counts the lower limit is taken, whatever the order.
	for range 50 {
		equal := findings{"a": {Slots: 9, Limit: 9}, "b": {Slots: 9, Limit: 7}, "c": {Slots: 9, Limit: 8}}
		require.Equal(t, load.Finding{Slots: 9, Limit: 7}, equal.mostCommon(9))
	}

	// What was found for other servers does not outvote what fits.
	f := findings{"a": {Slots: 9, Limit: 7}}
	f.set("d", load.Finding{Slots: 6, Limit: 6})
	f.set("e", load.Finding{Slots: 6, Limit: 6})
	require.Equal(t, load.Finding{Slots: 9, Limit: 7}, f.mostCommon(9))
}
