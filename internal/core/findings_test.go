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

// TestRestoreFinding guards against a daemon that measures again although its earlier run or its service has a
// finding.
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

// TestMostCommonFinding guards against a most common finding that is not updated when a daemon's finding changes or is
// removed.
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

// TestUpdateTrialRole guards against a service in which no daemon runs trials, or all do at the same time.
func TestUpdateTrialRole(t *testing.T) {
	members := make([]instance.Member, 0, 9)
	for _, id := range []instance.ID{"a", "b", "c", "d", "e", "f", "g", "h", "i"} {
		members = append(members, instance.Member{ID: id, Service: "stock", Status: instance.Alive})
	}

	withTrials := 0

	for _, self := range members {
		s := New(Options{Self: self})
		s.updateTrialRole(members)

		if s.concurrency.TrialsEnabled() {
			withTrials++
		}
	}

	require.Equal(t, 4, withTrials)
}

// TestMostCommonFindingTies guards against a result that depends on map order, and against findings for other numbers
// of slots that outvote those that apply.
func TestMostCommonFindingTies(t *testing.T) {
	// Of equal counts the lower limit is returned, in any order.
	for range 50 {
		equal := findings{"a": {Slots: 9, Limit: 9}, "b": {Slots: 9, Limit: 7}, "c": {Slots: 9, Limit: 8}}
		require.Equal(t, load.Finding{Slots: 9, Limit: 7}, equal.mostCommon(9))
	}

	// Findings for six slots do not count for nine.
	f := findings{"a": {Slots: 9, Limit: 7}}
	f.set("d", load.Finding{Slots: 6, Limit: 6})
	f.set("e", load.Finding{Slots: 6, Limit: 6})
	require.Equal(t, load.Finding{Slots: 9, Limit: 7}, f.mostCommon(9))
}
