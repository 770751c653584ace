package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/store"
)

const (
	// newVersionWait is how long what another daemon has read may take to arrive from the store by itself. After it, the
	// daemon reads the store again.
	newVersionWait = 400 * time.Millisecond
	// minRereadInterval and maxRereadInterval bound the time between two such reads, which doubles each time: a store that
	// came back from an older copy may lack the version until the operator publishes again.
	minRereadInterval = 2 * time.Second
	maxRereadInterval = 32 * time.Second
)

// recordRead records up to where the topic of the configuration was read.
func (s *State) recordRead(position store.Position) {
	if position.After(s.read) {
		s.read = position
	}
}

// handleVersionHeard records the manifest version of another daemon and schedules a read if it is the newest.
func (s *State) handleVersionHeard(now time.Time, version uint64) {
	if version <= s.version || version <= s.newestVersion {
		return
	}

	s.newestVersion = version
	s.scheduleReread(now.Add(newVersionWait))
}

// handlePositionHeard records up to where another daemon has read the topic and schedules a read if nobody has read more.
// A position of a newer epoch gets twice the time, because the epoch itself makes the daemon read.
func (s *State) handlePositionHeard(now time.Time, position store.Position) {
	if !position.After(s.read) || !position.After(s.newestRead) {
		return
	}

	s.newestRead = position
	wait := newVersionWait

	if position.Epoch > s.epoch {
		wait *= 2
	}

	s.scheduleReread(now.Add(wait))
}

// scheduleReread schedules a read for a time, unless one is due before.
func (s *State) scheduleReread(at time.Time) {
	s.rereadInterval = minRereadInterval
	if s.rereadAt.IsZero() {
		s.rereadAt = at
	}
}

// ManifestBehind reports whether another daemon has a newer manifest in force.
func (s *State) ManifestBehind() bool { return s.newestVersion > s.version }

// behind reports whether another daemon has a newer manifest, or has read more of its topic.
func (s *State) behind() bool { return s.ManifestBehind() || s.newestRead.After(s.read) }

// requestNewerManifest asks for a read if the daemon has been behind another one for newVersionWait.
func (s *State) requestNewerManifest(now time.Time) []Effect {
	switch {
	case !s.behind():
		s.rereadAt = time.Time{}

		return nil
	case s.rereadAt.IsZero() || now.Before(s.rereadAt):
		return nil
	}

	s.rereadAt = now.Add(s.rereadInterval)
	s.rereadInterval = min(2*s.rereadInterval, maxRereadInterval)

	return []Effect{RereadManifest{Version: max(s.newestVersion, s.version), Read: s.newestRead}}
}

// Read returns the position up to which the topic of the configuration was read.
func (s *State) Read() store.Position { return s.read }

// ManifestEpoch returns the epoch of the store in which the manifest in force was read last.
func (s *State) ManifestEpoch() store.Epoch { return s.manifestEpoch }
