package core

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// epochState returns the state of a daemon that has read the entries and a manifest with idempotency keys in epoch 1, and
// is watched by another daemon.
func epochState(now time.Time) (*State, instance.Member) {
	watcher := instance.Member{
		ID: "watcher", Incarnation: 1, Service: "stockdesk", Peer: netip.MustParseAddrPort("10.0.0.2:1"),
	}
	s := New(Options{Self: instance.Member{ID: "self", Incarnation: 1, Service: "stockdesk"}})
	s.Apply(now, Started{})
	s.Apply(now, EpochSeen{Epoch: 1})
	s.Apply(now, membership.EntriesRead{})
	s.Apply(now, ManifestRead{Epoch: 1, Version: 7, Manifest: keyedManifest(time.Minute)})
	s.Apply(now.Add(5*time.Second), Tick{})
	s.Apply(now.Add(5*time.Second), membership.EntryWritten{})
	s.Apply(now, membership.BeatHeard{Beat: membership.Beat{From: watcher, Watch: true}, Source: watcher.Peer})

	return s, watcher
}

func keyedManifest(grant time.Duration) manifest.Manifest {
	return manifest.Manifest{Keys: manifest.Keys{Window: time.Minute, Tolerance: time.Second, Grant: grant}}
}

// effectsOf returns the effects of one type.
func effectsOf[T Effect](effects []Effect) []T {
	var found []T

	for _, effect := range effects {
		if e, ok := effect.(T); ok {
			found = append(found, e)
		}
	}

	return found
}

// Guards against a return of the store from an older copy that not every owner of derived state handles, and against one
// that is handled again, or undone, by a response that comes late.
func TestEpochSeen(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s, watcher := epochState(now)
	now = now.Add(10 * time.Second)
	s.Apply(now, membership.BeatHeard{Beat: membership.Beat{From: watcher, Watch: true}, Source: watcher.Peer})

	effects := s.Apply(now, EpochSeen{Epoch: 3})
	require.Equal(t, []StoreReturned{{Epoch: 3, Previous: 1}}, effectsOf[StoreReturned](effects))

	stated := store.Epoch(0)

	for _, sent := range effectsOf[membership.SendBeat](effects) {
		if sent.To == watcher.Peer {
			stated = sent.Beat.Epoch
		}
	}

	require.EqualValues(t, 3, stated)

	for _, late := range []store.Epoch{3, 2, 1} {
		require.Empty(t, effectsOf[StoreReturned](s.Apply(now, EpochSeen{Epoch: late})))
	}

	// The entry is written again, and the grants begin anew.
	now = now.Add(time.Second)
	require.Len(t, effectsOf[membership.WriteEntry](s.Apply(now, Tick{})), 1)

	s.Apply(now, keys.RecordsRead{Epoch: 3})

	restarts := make([]keys.AppendGrants, 0, 1)

	for range 3 {
		now = now.Add(keys.TickInterval)
		restarts = append(restarts, effectsOf[keys.AppendGrants](s.Apply(now, Tick{}))...)
	}

	require.Len(t, restarts, 1)
	require.EqualValues(t, 3, restarts[0].Record.Restart.Epoch)

	// An operator sees both.
	require.EqualValues(t, 3, s.Dump(now).Epoch)
	require.EqualValues(t, 3, s.Dump(now).Keys.Epoch)
	require.False(t, s.Dump(now).Keys.Started)
}

// Guards against a daemon that waits for the end of its read, up to 30 s, although another daemon has seen that the store
// came back from an older copy.
func TestEpochHeard(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s, watcher := epochState(now)
	hear := func(epoch store.Epoch) []CheckStore {
		return effectsOf[CheckStore](s.Apply(now, membership.BeatHeard{
			Beat: membership.Beat{From: watcher, Epoch: epoch}, Source: watcher.Peer,
		}))
	}

	require.Empty(t, hear(1))
	require.Equal(t, []CheckStore{{Epoch: 2}}, hear(2))
	require.Empty(t, hear(2))
	require.Empty(t, effectsOf[StoreReturned](s.Apply(now, Tick{})))

	s.Apply(now, EpochSeen{Epoch: 2})
	require.Empty(t, hear(2))
	require.Equal(t, []CheckStore{{Epoch: 4}}, hear(4))
}

// Guards against daemons that keep different manifests under one version, because the store has performed a publish late
// after it came back from an older copy, and against a version that counts as a new one because it is written again.
func TestSameVersionOfLaterEpoch(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s, _ := epochState(now)
	read := func(epoch store.Epoch, grant time.Duration) int {
		return len(effectsOf[ManifestChanged](s.Apply(now, ManifestRead{
			Epoch: epoch, Version: 7, Manifest: keyedManifest(grant),
		})))
	}

	require.Zero(t, read(1, time.Hour), "another manifest in the same epoch")
	require.Zero(t, read(2, time.Minute), "the same manifest")
	require.Zero(t, read(2, time.Hour), "another manifest in the same epoch")
	require.Equal(t, 1, read(3, time.Hour))
	require.Zero(t, read(1, time.Minute), "late")
}
