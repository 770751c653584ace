package core

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// TestOlderManifest guards against a manifest that is replaced by an older one, which a store may return if it reads
// outdated data.
func TestOlderManifest(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := New(Options{Self: instance.Member{ID: "self"}})
	read := func(version uint64) bool {
		for _, effect := range s.Apply(now, ManifestRead{Version: version, Manifest: manifest.Manifest{}}) {
			if changed, ok := effect.(ManifestChanged); ok {
				require.Equal(t, version, changed.Version)

				return true
			}
		}

		return false
	}

	require.True(t, read(7))
	require.False(t, read(7))
	require.False(t, read(4))
	require.EqualValues(t, 7, s.Version())
	require.True(t, read(9))
}

// TestVersionInBeats guards against beats that go on to state an older version of the configuration while the load of
// the server does not change, so that a daemon without the newer version does not learn of it.
func TestVersionInBeats(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	watcher := instance.Member{
		ID: "watcher", Incarnation: 1, Service: "stockdesk", Peer: netip.MustParseAddrPort("10.0.0.2:1"),
	}
	s := New(Options{Self: instance.Member{ID: "self", Incarnation: 1, Service: "stockdesk"}})
	s.Apply(now, Started{})
	s.Apply(now, membership.EntriesRead{})
	s.Apply(now, membership.BeatHeard{Beat: membership.Beat{From: watcher, Watch: true}, Source: watcher.Peer})
	s.Apply(now, ManifestRead{Version: 7, Manifest: manifest.Manifest{}})

	// The first report is sent with the first version; the load never changes after it.
	now = now.Add(10 * time.Second)
	s.Apply(now, membership.BeatHeard{Beat: membership.Beat{From: watcher, Watch: true}, Source: watcher.Peer})

	stated := uint64(0)

	for _, effect := range s.Apply(now, ManifestRead{Version: 9, Manifest: manifest.Manifest{}}) {
		if sent, ok := effect.(membership.SendBeat); ok && sent.To == watcher.Peer {
			stated = sent.Beat.Version
		}
	}

	require.EqualValues(t, 9, stated)
}

// Guards against daemons that read the store every two seconds for a version that it has lost, and against one that takes
// a version from before for the newest.
func TestLostVersion(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s, watcher := epochState(now)
	rereads := 0

	s.Apply(now, membership.BeatHeard{Beat: membership.Beat{From: watcher, Version: 9}, Source: watcher.Peer})
	require.True(t, s.ManifestBehind())

	for range 300 {
		now = now.Add(time.Second)
		rereads += len(effectsOf[RereadManifest](s.Apply(now, Tick{})))
	}

	require.GreaterOrEqual(t, rereads, 5)
	require.LessOrEqual(t, rereads, 15)

	s.Apply(now, ManifestRead{Epoch: 2, Version: 9, Manifest: keyedManifest(time.Minute)})
	require.False(t, s.ManifestBehind())
}
