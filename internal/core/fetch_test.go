package core

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// hearBeat applies a beat of a member in a failure domain.
func hearBeat(s *State, now time.Time, id, domain string, port uint16, version uint64, end int64) []Effect {
	from := instance.Member{
		ID: instance.ID(id), Incarnation: 1, Service: "stock", Place: instance.Place{Domain: domain},
		Peer: netip.AddrPortFrom(netip.MustParseAddr("10.0.0.2"), port),
	}

	return s.Apply(now, membership.BeatHeard{
		Beat: membership.Beat{From: from, Version: version, Epoch: 1, End: end}, Source: from.Peer,
	})
}

// runUntilFetch applies ticks until a fetch begins, for at most the given time. It returns the time and the member.
func runUntilFetch(t *testing.T, s *State, now time.Time, within time.Duration) (time.Time, instance.ID) {
	t.Helper()

	for end := now.Add(within); now.Before(end); now = now.Add(10 * time.Millisecond) {
		if fetches := effectsOf[FetchConfiguration](s.Apply(now, Tick{})); len(fetches) > 0 {
			require.Len(t, fetches, 1)

			return now, fetches[0].From.ID
		}
	}

	return now, ""
}

// Guards against a fetch from another daemon while the store can be read, against one from a daemon that is not the
// nearest or lacks the version, against several at a time, and against a daemon that asks only once.
func TestFetch(t *testing.T) {
	s := placedState("d1")
	now := testStart.Add(time.Second)

	hearBeat(s, now, "older", "d1", 1, 8, 0)
	hearBeat(s, now, "far", "d2", 2, 9, 0)
	hearBeat(s, now, "near", "d1", 3, 9, 0)

	now, from := runUntilFetch(t, s, now, time.Second)
	require.Empty(t, from, "the store can be read")

	s.Apply(now, StoreRead{Failed: true})

	now, from = runUntilFetch(t, s, now, 2*fetchSpread)
	require.EqualValues(t, "near", from)

	now, from = runUntilFetch(t, s, now, time.Second)
	require.Empty(t, from, "one at a time")

	s.Apply(now, FetchEnded{From: "near", Failed: true})

	now, from = runUntilFetch(t, s, now, 2*fetchSpread)
	require.EqualValues(t, "far", from)
	s.Apply(now, FetchEnded{From: "far", Failed: true})

	now, from = runUntilFetch(t, s, now, minFetchInterval+4*fetchSpread)
	require.EqualValues(t, "near", from, "all were asked")
	s.Apply(now, ManifestRead{Epoch: 1, Version: 9, Manifest: manifest.Manifest{}})
	s.Apply(now, FetchEnded{From: "near"})

	_, from = runUntilFetch(t, s, now, time.Minute)
	require.Empty(t, from, "nothing is missing")
}

// Guards against a daemon that starts with the manifest of the nearest daemon, which lacks an evacuation that another one
// has read.
func TestFetchAllAtOnce(t *testing.T) {
	s := placedState("d1")
	hearBeat(s, testStart, "near", "d1", 1, 9, 4)
	hearBeat(s, testStart, "far", "d2", 2, 9, 5)
	s.Apply(testStart, StoreRead{Failed: true})

	now, from := runUntilFetch(t, s, testStart, 2*fetchSpread)
	require.EqualValues(t, "far", from)
	s.Apply(now, FetchEnded{From: "far", Failed: true})

	_, from = runUntilFetch(t, s, now, 2*fetchSpread)
	require.EqualValues(t, "near", from, "a part is better than nothing")
}

// Guards against an evacuation that a silent connection to the store hides: a daemon that hears of a later position reads
// again after newVersionWait, or fetches if the store cannot be read, but not if it has received the record meanwhile.
func TestPositionHeard(t *testing.T) {
	s := placedState("d1")
	now := testStart.Add(time.Second)

	evacuate(s, 1, 5)
	hearBeat(s, now, "near", "d1", 1, 0, 5)

	now = now.Add(time.Second)
	require.Empty(t, effectsOf[RereadManifest](s.Apply(now, Tick{})), "nothing newer")

	hearBeat(s, now, "near", "d1", 1, 0, 6)
	evacuate(s, 1, 6, "d2")
	now = now.Add(time.Second)
	require.Empty(t, effectsOf[RereadManifest](s.Apply(now, Tick{})), "received meanwhile")

	hearBeat(s, now, "near", "d1", 1, 0, 7)
	require.Empty(t, effectsOf[RereadManifest](s.Apply(now, Tick{})))

	now = now.Add(newVersionWait)
	require.Equal(t, []RereadManifest{{Read: store.Position{Epoch: 1, Offset: 7}}},
		effectsOf[RereadManifest](s.Apply(now, Tick{})))

	s.Apply(now, StoreRead{Failed: true})

	now, from := runUntilFetch(t, s, now, 2*fetchSpread)
	require.EqualValues(t, "near", from)

	s.Apply(now, FetchEnded{From: "near"})
	require.Equal(t, store.Position{Epoch: 1, Offset: 6}, s.Read())
}
