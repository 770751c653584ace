package core

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// shareOfPartB returns the share of requests for which some daemons choose part b. Each daemon gets the given number
// of requests.
func shareOfPartB(states []*State, requests int, parts []manifest.Part) float64 {
	chosen := 0

	for _, s := range states {
		for range requests {
			if s.choosePart("route", parts) == "b" {
				chosen++
			}
		}
	}

	return float64(chosen) / float64(len(states)*requests)
}

// TestSharesOfParts guards against a large fleet in which each daemon starts with the part of the largest weight, so
// that the other parts get almost no requests after a start or a change of the weights. It also guards against shares
// that drift in a long run.
func TestSharesOfParts(t *testing.T) {
	const (
		daemons = 200
		// tolerance is half of the deviation that the users allow.
		tolerance = 0.1
	)

	states := make([]*State, daemons)
	for i := range states {
		states[i] = New(Options{Seed: uint64(i)})
	}

	for _, weights := range [][2]int{{80, 20}, {70, 30}, {1, 1}, {900_000, 100_000}} {
		parts := []manifest.Part{{Service: "a", Weight: weights[0]}, {Service: "b", Weight: weights[1]}}
		share := float64(weights[1]) / float64(weights[0]+weights[1])

		require.InDelta(t, share, shareOfPartB(states, 1, parts), tolerance, "first requests with %v", weights)
		require.InDelta(t, share, shareOfPartB(states[:1], 1000, parts), 0.002, "one daemon with %v", weights)
	}
}
