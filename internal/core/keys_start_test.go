package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// TestKeysAreClaimedAfterEntry guards against a daemon that claims all key partitions of its service because it has
// started before the others and they cannot find it: its entry is not stored yet.
func TestKeysAreClaimedAfterEntry(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := New(Options{Self: instance.Member{ID: "self", Incarnation: 1, Service: "stockdesk"}})
	claims := 0
	apply := func(event Event) {
		for _, effect := range s.Apply(now, event) {
			if _, claim := effect.(keys.AppendGrants); claim {
				claims++
			}
		}
	}
	wait := func(period time.Duration) {
		for end := now.Add(period); now.Before(end); now = now.Add(keys.TickInterval) {
			apply(Tick{})
		}
	}

	apply(Started{})
	apply(membership.EntriesRead{})
	apply(ManifestRead{Version: 1, Manifest: manifest.Manifest{
		Services: []manifest.Service{{Name: "stockdesk"}},
		Keys:     manifest.Keys{Window: time.Minute, Tolerance: time.Second, Grant: time.Minute},
	}})
	apply(keys.RecordsRead{})
	wait(2 * keySettleTime)
	require.Zero(t, claims)

	apply(membership.EntryWritten{})
	wait(2 * keySettleTime)
	require.Positive(t, claims)
}
