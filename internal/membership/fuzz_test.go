package membership_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/membership"
)

func member() instance.Member {
	return instance.Member{
		ID: "a", Incarnation: 7, Counter: 3, Service: "s", Place: instance.Place{Region: "r", Domain: "d"},
		Peer: netip.MustParseAddrPort("10.0.0.1:80"), Slots: 6,
	}
}

// FuzzDecodeBeat guards against datagrams that crash the daemon, and against beats that change when they are encoded
// and decoded again.
func FuzzDecodeBeat(f *testing.F) {
	f.Add(membership.EncodeBeat(membership.Beat{From: member(), Watch: true, Greeting: true, Version: 12}))
	f.Add(membership.EncodeBeat(membership.Beat{
		From: member(), Message: []byte("[]"),
		Report: load.Report{
			Server: "a", Incarnation: 7, Counter: 9, Open: true, Running: 3, Waiting: load.Waiting{1, 2, 3, 4},
			Slots: 6, Slowness: 1.5,
		},
	}))
	f.Add(membership.EncodeBeat(membership.Beat{
		Reference: membership.ReferenceOf(member()), References: true, Watch: true,
		Report: load.Report{Counter: 9, Slots: 6},
	}))
	// Numbers that would be negative after decoding.
	f.Add(membership.EncodeBeat(membership.Beat{
		From: member(), Report: load.Report{Server: "a", Counter: 1, Running: -5, Slots: -1, ColdFor: -time.Second},
	}))

	f.Fuzz(func(t *testing.T, data []byte) {
		beat, err := membership.DecodeBeat(data)
		if err != nil {
			return
		}

		require.GreaterOrEqual(t, beat.Report.RequestCount(), 0)
		require.GreaterOrEqual(t, beat.Report.Slots, 0)
		require.GreaterOrEqual(t, beat.Report.ColdFor, time.Duration(0))

		again, err := membership.DecodeBeat(membership.EncodeBeat(beat))
		require.NoError(t, err)
		require.Equal(t, beat, again)
	})
}

// FuzzDecodeEntry guards against entries of other writers that crash the daemon.
func FuzzDecodeEntry(f *testing.F) {
	f.Add(membership.EncodeEntry(membership.Entry{Member: member(), Server: "i-1", Left: true, Limit: 5}))

	f.Fuzz(func(t *testing.T, data []byte) {
		entry, err := membership.DecodeEntry(data)
		if err != nil {
			return
		}

		require.GreaterOrEqual(t, entry.Member.Slots, 0)
		require.GreaterOrEqual(t, entry.Limit, 0)

		again, err := membership.DecodeEntry(membership.EncodeEntry(entry))
		require.NoError(t, err)
		require.Equal(t, entry, again)
	})
}
