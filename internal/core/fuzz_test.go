package core_test

import (
	"net/netip"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// FuzzBeat guards against a datagram after which the daemon neither sends nor refuses requests, or decides with
// numbers that overflow.
func FuzzBeat(f *testing.F) {
	start := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	self := instance.Member{
		ID: "a", Incarnation: 1, Service: "s", Place: instance.Place{Region: "r", Domain: "d"},
		Peer: netip.MustParseAddrPort("10.0.0.1:80"), Started: start,
	}
	other := self
	other.ID, other.Peer = "b", netip.MustParseAddrPort("10.0.0.2:80")

	f.Add(membership.EncodeBeat(membership.Beat{
		From: other, Report: load.Report{Server: "b", Incarnation: 1, Counter: 1, Open: true, Slots: 6, Slowness: 1},
	}))
	f.Add(membership.EncodeBeat(membership.Beat{
		From: other, Message: suspects.Encode(start, []suspects.Report{{
			Service: "s", Fingerprint: 3, Source: "b/1/1", Expires: start.Add(time.Minute),
		}}),
	}))

	f.Fuzz(func(t *testing.T, data []byte) {
		state := core.New(core.Options{
			Self: self, Seed: 1, Repeats: routing.Repeats{Share: 0.2, Slack: 10, Window: 10 * time.Second},
		})
		state.Apply(start, core.Started{})
		state.Apply(start, core.ManifestRead{
			Version: 1, Manifest: manifest.Manifest{Services: []manifest.Service{{Name: "s"}}},
		})

		if beat, err := membership.DecodeBeat(data); err == nil {
			state.Apply(start, membership.BeatHeard{Beat: beat})
		}

		now := start.Add(time.Second)
		effects := state.Apply(now, core.RequestArrived{Request: request.Request{
			ID: "x", Service: "s", Route: "s/x", Kind: manifest.Idempotent, Deadline: now.Add(time.Second),
		}})

		for range 200 {
			for _, effect := range effects {
				switch e := effect.(type) {
				case routing.Attempt:
					require.Positive(t, e.Basis.Slots)
					require.GreaterOrEqual(t, e.Basis.Ahead, 0)

					return
				case core.Refuse:
					return
				}
			}

			now = now.Add(10 * time.Millisecond)
			effects = state.Apply(now, core.Tick{})
		}

		t.Fatal("the request was neither sent nor refused")
	})
}
