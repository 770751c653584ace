package request

import (
	"slices"
	"strings"
)

// Regions restricts a request to the servers of some regions. The zero value allows all regions. Values are immutable and
// comparable.
type Regions struct {
	// Restricted is set if only the regions in Names are allowed.
	Restricted bool
	// Names are the allowed regions, sorted and separated by spaces, which names of regions do not contain.
	Names string
}

// NewRegions returns a restriction to the given regions. An empty list allows all regions.
func NewRegions(names []string) Regions {
	if len(names) == 0 {
		return Regions{}
	}

	sorted := slices.Sorted(slices.Values(names))

	return Regions{Restricted: true, Names: strings.Join(slices.Compact(sorted), " ")}
}

// Allows reports whether a region is allowed.
func (r Regions) Allows(region string) bool {
	if !r.Restricted {
		return true
	}

	for name := range strings.FieldsSeq(r.Names) {
		if name == region {
			return true
		}
	}

	return false
}

// Intersect returns the regions that both allow. The result may allow no region.
func (r Regions) Intersect(other Regions) Regions {
	switch {
	case !r.Restricted:
		return other
	case !other.Restricted:
		return r
	}

	var common []string

	for name := range strings.FieldsSeq(r.Names) {
		if other.Allows(name) {
			common = append(common, name)
		}
	}

	return Regions{Restricted: true, Names: strings.Join(common, " ")}
}
