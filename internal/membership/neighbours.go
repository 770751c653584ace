package membership

import (
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// The neighbour graph depends only on the set of live members:
//
//   - within a failure domain, members form a ring ordered by the hash of their IDs, and each one
//     contacts its successors;
//   - each member contacts one member elsewhere in its region, chosen by rendezvous hashing;
//   - gates, chosen by rendezvous hashing, connect the domains of a region in a ring, and the regions
//     in a ring.
//
// The rings and the gates keep the graph connected for every member set. Adding or removing a member
// changes few neighbours, so connections and exchange state last.
const (
	successors  = 2
	elsewhere   = 1
	domainGates = 1
	regionGates = 3
	// spare is the number of accused members that are contacted beyond the usual number, while others
	// stand in for them.
	spare = 2
)

// mix spreads the bits of a combined hash; the constants are those of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb

	return x ^ x>>31
}

// nearest returns the entries with the lowest scores up to a number of ones that are not accused, and
// the accused ones between them.
func nearest(entries []*entry, number int, score func(*entry) uint64) []*entry {
	limit := number + spare
	found := make([]*entry, 0, limit+1)
	scores := make([]uint64, 0, limit+1)

	for _, e := range entries {
		value := score(e)
		if len(found) == limit && value >= scores[limit-1] {
			continue
		}

		// Entries come in the order of IDs, so that equal scores keep that order.
		at := len(found)
		for at > 0 && value < scores[at-1] {
			at--
		}

		found, scores = slices.Insert(found, at, e), slices.Insert(scores, at, value)
		found, scores = found[:min(len(found), limit)], scores[:min(len(scores), limit)]
	}

	sound := 0

	for i, e := range found {
		if sound == number {
			return found[:i]
		}

		if e.member.Status != instance.Accused {
			sound++
		}
	}

	return found
}

// layout is a copy of the live members by place, in the order of the table.
type layout struct {
	regions map[string]map[string][]*entry
}

func newLayout(entries []*entry) layout {
	l := layout{regions: map[string]map[string][]*entry{}}

	for _, e := range entries {
		if !e.live() {
			continue
		}

		place := e.member.Place
		if l.regions[place.Region] == nil {
			l.regions[place.Region] = map[string][]*entry{}
		}

		l.regions[place.Region][place.Domain] = append(l.regions[place.Region][place.Domain], e)
	}

	return l
}

func sortedKeys[V any](values map[string]V) []string {
	keys := make([]string, 0, len(values))
	for key := range values {
		keys = append(keys, key)
	}

	slices.Sort(keys)

	return keys
}

func (l layout) region(region string) []*entry {
	var members []*entry
	for _, domain := range sortedKeys(l.regions[region]) {
		members = append(members, l.regions[region][domain]...)
	}

	return members
}

// gates ranks the members that connect a part of the fleet to the next part.
func gates(members []*entry, name string, number int) []*entry {
	salt := xxhash.Sum64String(name)

	return nearest(members, number, func(e *entry) uint64 { return mix(e.hash ^ salt) })
}

// next returns the name after another one in a ring of sorted names, or none for an empty ring.
func next(names []string, name string) string {
	if len(names) == 0 {
		return ""
	}

	at, _ := slices.BinarySearch(names, name)

	return names[(at+1)%len(names)]
}

// neighbours returns the members that a live member contacts, without duplicates, sorted by ID.
func neighbours(entries []*entry, self *entry) []instance.ID {
	var chosen []*entry

	l, place := newLayout(entries), self.member.Place
	domains := l.regions[place.Region]

	ring := slices.DeleteFunc(slices.Clone(domains[place.Domain]), func(e *entry) bool { return e == self })
	chosen = append(chosen, nearest(ring, successors, func(e *entry) uint64 { return e.hash - self.hash })...)

	others := slices.DeleteFunc(l.region(place.Region), func(e *entry) bool { return e.member.Place == place })
	chosen = append(chosen, nearest(others, elsewhere, func(e *entry) uint64 { return mix(e.hash ^ mix(self.hash)) })...)

	names := sortedKeys(domains)
	if slices.Contains(gates(domains[place.Domain], "domain "+place.Domain, domainGates), self) {
		to := next(names, place.Domain)
		chosen = append(chosen, gates(domains[to], "domain "+to, domainGates)...)
	}

	regions := sortedKeys(l.regions)
	to := next(regions, place.Region)

	if at := slices.Index(gates(l.region(place.Region), "region "+place.Region, regionGates), self); at >= 0 {
		far := gates(l.region(to), "region "+to, regionGates)
		chosen = append(chosen, far[(at+1)%len(far)])
	}

	ids := make([]instance.ID, 0, len(chosen))

	for _, e := range chosen {
		if e != self {
			ids = append(ids, e.member.ID)
		}
	}

	slices.Sort(ids)

	return slices.Compact(ids)
}

// leader returns the member that a role falls to, or nil for none. Alive members come first; two
// daemons with different tables may name different ones.
func leader(entries []*entry, role string, eligible func(instance.Member) bool) *entry {
	salt := xxhash.Sum64String(role)

	var best *entry

	better := func(e *entry) bool {
		if best == nil || e.member.Status != best.member.Status {
			return best == nil || e.member.Status < best.member.Status
		}

		return mix(e.hash^salt) < mix(best.hash^salt)
	}

	for _, e := range entries {
		if e.member.Usable() && eligible(e.member) && better(e) {
			best = e
		}
	}

	return best
}
