package simulation_test

import (
	"flag"
	"strings"
	"testing"

	"github.com/tarragonmill/tarragonmill/internal/simulation"
)

var (
	firstStorm = flag.Uint64("storms.first", 1, "seed of the first storm")
	storms     = flag.Uint64("storms.count", 6, "number of storms")
)

// TestStorms guards against daemons that together violate a guarantee that each keeps alone: requests that run twice, refusals
// that are not true, responses of other requests, work for a server that has left, versions that go back, too many repeats.
func TestStorms(t *testing.T) {
	p := loadPattern(t, "mixed")

	for seed := *firstStorm; seed < *firstStorm+*storms; seed++ {
		storm := p.Storm(seed)

		result := simulation.Run(storm, seed)
		if len(result.Violations) == 0 {
			continue
		}

		var faults strings.Builder

		simulation.WriteFaults(&faults, simulation.Shrink(storm, seed))
		t.Errorf("seed %d: %v, one of %d; with the faults %s", seed, result.Violations[0], len(result.Violations), faults.String())
	}
}
