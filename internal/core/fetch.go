package core

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

const (
	// fetchSpread is the time over which the daemons that cannot read the store ask others for the configuration, because
	// they all hear of a new version at about the same moment.
	fetchSpread = 300 * time.Millisecond
	// minFetchPause is the time before each fetch in which beats of other daemons arrive, from which the best one is chosen.
	minFetchPause = 100 * time.Millisecond
	// minFetchInterval and maxFetchInterval bound the time until a daemon asks again those that it has asked without
	// success, which doubles each time.
	minFetchInterval = time.Second
	maxFetchInterval = 16 * time.Second
	// fetchRandomStream is the stream of the random generator for fetches.
	fetchRandomStream = 5
)

// fetches decides when and from whom the configuration is fetched while the store cannot be read.
type fetches struct {
	// unreadable is set while reads of the configuration from the store fail.
	unreadable bool
	// holders holds what other daemons have said that is newer than what this one had then.
	holders map[instance.ID]holder
	// running is set while a fetch is in progress.
	running bool
	// dueAt is when the next fetch begins; zero if none is planned. interval is the time until the daemons that have been
	// asked are asked again.
	dueAt    time.Time
	interval time.Duration
	random   *rand.Rand
}

// holder is a daemon that has a newer configuration or has read more of its topic.
type holder struct {
	version uint64
	read    store.Position
	// asked is set once a fetch from the daemon has failed.
	asked bool
}

func newFetches(seed uint64) fetches {
	return fetches{
		holders: make(map[instance.ID]holder), interval: minFetchInterval,
		random: rand.New(rand.NewPCG(seed, fetchRandomStream)),
	}
}

// handleStoreRead records whether the configuration can be read from the store.
func (s *State) handleStoreRead(now time.Time, e StoreRead) []Effect {
	s.fetches.unreadable = e.Failed
	s.planFetch(now)

	return nil
}

// recordHeldVersion records that a member has a newer manifest.
func (s *State) recordHeldVersion(now time.Time, e membership.VersionHeard) {
	h := s.fetches.holders[e.From.ID]
	h.asked = h.asked && e.Version == h.version
	h.version = e.Version
	s.fetches.holders[e.From.ID] = h
	s.planFetch(now)
}

// recordHeldPosition records that a member has read more of the topic.
func (s *State) recordHeldPosition(now time.Time, e membership.PositionHeard) {
	h := s.fetches.holders[e.From.ID]
	h.asked = h.asked && e.Position == h.read
	h.read = e.Position
	s.fetches.holders[e.From.ID] = h
	s.planFetch(now)
}

// planFetch plans a fetch if the daemon is behind another one and cannot read the store.
func (s *State) planFetch(now time.Time) {
	if s.fetches.unreadable && s.behind() && !s.fetches.running && s.fetches.dueAt.IsZero() {
		s.fetches.dueAt = now.Add(s.fetches.jitter())
	}
}

func (f *fetches) jitter() time.Duration {
	return minFetchPause + time.Duration(f.random.Int64N(int64(fetchSpread)))
}

// startFetch starts the fetch that is due.
func (s *State) startFetch(now time.Time) []Effect {
	f := &s.fetches
	if f.dueAt.IsZero() || now.Before(f.dueAt) {
		return nil
	}

	f.dueAt = time.Time{}

	if !f.unreadable || !s.behind() {
		return nil
	}

	from, found := s.chooseHolder()
	if !found {
		f.askAgain(now)

		return nil
	}

	f.running = true

	return []Effect{FetchConfiguration{From: from, Version: s.version, Read: s.read}}
}

// askAgain plans another round among all daemons.
func (f *fetches) askAgain(now time.Time) {
	for id, h := range f.holders {
		h.asked = false
		f.holders[id] = h
	}

	f.dueAt = now.Add(f.interval + f.jitter())
	f.interval = min(2*f.interval, maxFetchInterval)
}

// chooseHolder draws one of the nearest daemons that have all that this one lacks, or else a part of it, and were not
// asked without success. A daemon that starts would otherwise get a manifest without a later evacuation.
func (s *State) chooseHolder() (instance.Member, bool) {
	var (
		chosen instance.Member
		best   = unsuitable
		count  int
	)

	holders := make(map[instance.ID]holder, len(s.fetches.holders))

	// The order of the list is fixed, so that equal events have equal effects.
	for _, member := range s.membership.List() {
		h, known := s.fetches.holders[member.ID]
		if !known {
			continue
		}

		holders[member.ID] = h

		rank := s.rankHolder(member, h)
		if rank > best || rank == unsuitable {
			continue
		}

		if rank < best {
			best, count = rank, 0
		}

		count++
		if s.fetches.random.IntN(count) == 0 {
			chosen = member
		}
	}

	s.fetches.holders = holders

	return chosen, count > 0
}

// rankHolder orders daemons for a fetch, the best first: by whether they have all that this one lacks, and then by
// distance. It returns unsuitable for one that lacks the newest version as well, that has nothing newer, or that was asked
// without success.
func (s *State) rankHolder(m instance.Member, h holder) int {
	hasVersion := !s.ManifestBehind() || h.version == s.newestVersion
	hasPosition := !s.newestRead.After(s.read) || !s.newestRead.After(h.read)

	switch {
	case h.asked || !reachable(m) || !hasVersion:
		return unsuitable
	case hasPosition:
		return s.distanceTo(m)
	case s.ManifestBehind() || h.read.After(s.read):
		return farthest + 1 + s.distanceTo(m)
	default:
		return unsuitable
	}
}

func reachable(m instance.Member) bool { return m.Status != instance.Dead && m.Status != instance.Left }

const (
	// farthest is the distance of a member in another region.
	farthest = 2
	// unsuitable is the rank of a member from which nothing is fetched.
	unsuitable = 2 * (farthest + 1)
)

// distanceTo is 0 for a member of the same failure domain, 1 for another one of the region, and farthest for others.
func (s *State) distanceTo(m instance.Member) int {
	switch {
	case m.Place == s.options.Self.Place:
		return 0
	case m.Place.Region == s.options.Self.Place.Region:
		return 1
	default:
		return farthest
	}
}

// handleFetchEnded plans the next fetch if something is still missing, from another daemon if the last one had nothing
// new or could not be reached.
func (s *State) handleFetchEnded(now time.Time, e FetchEnded) []Effect {
	s.fetches.running = false

	if h, known := s.fetches.holders[e.From]; known && e.Failed {
		h.asked = true
		s.fetches.holders[e.From] = h
	}

	if !e.Failed {
		s.fetches.interval = minFetchInterval
	}

	s.planFetch(now)

	return nil
}
