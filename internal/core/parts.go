package core

import (
	"slices"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// splitStream tells the random numbers of splits from those of other parts of the state with the same seed.
const splitRandomStream = 3

// maxPhase bounds the steps by which a daemon's sequence of parts is moved on when it begins.
const maxStartSteps = 1000

// split spreads the requests of one route over its parts by weight.
type split struct {
	parts   []manifest.Part
	credits []int
}

// next returns the part of the next request. Each part gets its share of any run of requests.
func (sp *split) next() manifest.Part {
	chosen, total := 0, 0

	for i, part := range sp.parts {
		sp.credits[i] += part.Weight
		total += part.Weight

		if sp.credits[i] > sp.credits[chosen] {
			chosen = i
		}
	}

	sp.credits[chosen] -= total

	return sp.parts[chosen]
}

// newSplit returns a split that begins anywhere in its sequence: many daemons that all began with the part of the largest
// weight would together send it too much after each change.
func (s *State) newSplit(parts []manifest.Part) *split {
	sp := &split{parts: parts, credits: make([]int, len(parts))}

	total := 0
	for _, part := range parts {
		total += part.Weight
	}

	for range s.random.IntN(max(1, min(total, maxStartSteps))) {
		sp.next()
	}

	return sp
}

// choosePart returns the service for the next request of a route, whatever the servers of the part can take: what does
// not fit is refused and not moved.
func (s *State) choosePart(route string, parts []manifest.Part) string {
	sp := s.splits[route]
	if sp == nil || !slices.Equal(sp.parts, parts) {
		sp = s.newSplit(parts)
		s.splits[route] = sp
	}

	return sp.next().Service
}
