package core

import (
	"slices"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// splitRandomStream is the stream of the random generator for splits. Other parts of the state use the same seed with
// other streams.
const splitRandomStream = 3

// maxStartSteps bounds the number of requests by which newSplit advances a split.
const maxStartSteps = 1000

// split distributes the requests of a route over services by smooth weighted round robin.
type split struct {
	parts []manifest.Part
	// credits holds the current weight of each part: the part with the highest one is next.
	credits []int
}

// next returns the part for the next request. In any sequence of requests each part gets about its share.
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

// newSplit returns a split that starts at a random place of its sequence. If all daemons started at the first place,
// the part with the largest weight would get too many requests after each change of the weights.
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

// choosePart returns the service for the next request of a route. The load of the servers does not matter: requests
// that the servers of a part cannot take are refused, not moved to another part.
func (s *State) choosePart(route string, parts []manifest.Part) string {
	sp := s.splits[route]
	if sp == nil || !slices.Equal(sp.parts, parts) {
		sp = s.newSplit(parts)
		s.splits[route] = sp
	}

	return sp.next().Service
}
