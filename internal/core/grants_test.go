package core

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
)

// Guards against a combiner that appends the claims of a starting failure domain one by one. At 200 daemons
// that was 13 appends/s for half a minute and 12 KB/s of control traffic per daemon.
func TestClaimsAreCombined(t *testing.T) {
	const owners = 90

	now := time.Unix(1_800_000_000, 0)
	s := New(Options{Self: instance.Member{ID: "a", Incarnation: 1, Service: "stockdesk", Slots: 6}, Queue: 12, Seed: 1})
	s.Apply(now, Started{})

	appends, claims := 0, 0

	for n := range 2 * owners {
		now = now.Add(100 * time.Millisecond)
		effects := s.Apply(now, Tick{})

		if n < owners {
			effects = append(effects, s.Apply(now, GrantsArrived{Record: keys.Record{Claims: []keys.Claim{{
				Service: "stockdesk", Partitions: []int{1}, Owner: instance.ID(fmt.Sprint(n)), Incarnation: 1, From: 1, Until: 2,
			}}}})...)
		}

		for len(effects) > 0 {
			effect := effects[0]
			effects = effects[1:]

			switch e := effect.(type) {
			case logrelay.Read:
				effects = append(effects, s.Apply(now, logrelay.ReadEnded{Stream: e.Stream})...)
			case logrelay.Append:
				if e.Stream == "grants" {
					record, err := logservice.DecodeGrants(e.Data)
					require.NoError(t, err)

					appends++
					claims += len(record.Claims)
				}

				effects = append(effects, s.Apply(now, logrelay.AppendEnded{Token: e.Token, Offset: uint64(appends)})...)
			}
		}
	}

	require.Equal(t, owners, claims, "a claim was lost")
	require.LessOrEqual(t, appends, owners/3)
}
