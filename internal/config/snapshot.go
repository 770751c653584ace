package config

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
)

// snapshotState says when a snapshot has to be written.
type snapshotState struct {
	// at is when the last usable snapshot was read, and through what it reflects.
	at      time.Time
	through uint64
	// first is the first offset that the log still has.
	first uint64
	// replay is the number of publish records since the last usable snapshot.
	replay int
	// due is when a snapshot is appended unless another one is read before; zero if none is wanted.
	due time.Time
	// asked is when a base may be asked for again.
	asked time.Time
}

func (s *snapshotState) seen(now time.Time, through uint64) {
	*s = snapshotState{at: now, through: through, first: s.first}
}

func (s *State) tick(now time.Time) []Effect {
	if s.log.started && !s.log.based {
		if now.Before(s.snapshot.asked) {
			return nil
		}

		s.snapshot.asked = now.Add(askInterval)

		return []Effect{NeedBase{}}
	}

	if s.snapshot.at.IsZero() {
		s.snapshot.at = now
	}

	if !s.wanted(now) {
		s.snapshot.due = time.Time{}

		return nil
	}

	if s.snapshot.due.IsZero() {
		s.snapshot.due = now.Add(s.delay())

		return nil
	}

	if now.Before(s.snapshot.due) {
		return nil
	}

	s.snapshot.due = now.Add(appendTime + s.delay())

	return []Effect{Append{Data: record.EncodeConfig(record.Snapshot{
		Version: s.log.current.number, Through: s.log.through,
		Manifest: s.log.current.manifest, ID: s.log.current.id,
	})}}
}

// wanted reports whether a daemon that starts from the log alone is, or soon will be, unable to.
func (s *State) wanted(now time.Time) bool {
	// A reader that is behind the first retained offset could only write an unusable snapshot.
	if !s.log.based || s.log.current.number == 0 || s.log.through < s.snapshot.first {
		return false
	}

	// A log whose retention goes by size drops records at a rate that is not known beforehand. The
	// snapshot is renewed once it is in the older quarter of what the log holds.
	first := s.snapshot.first
	expired := first > 0 && s.snapshot.through < first+(s.log.through-min(first, s.log.through))/refreshShare
	old := now.Sub(s.snapshot.at) >= s.retention/refreshShare

	return expired || old || s.snapshot.replay >= maxReplay
}

func (s *State) delay() time.Duration {
	if s.relay {
		return time.Duration(s.random.Int64N(int64(relayDelay)))
	}

	return otherDelay + time.Duration(s.random.Int64N(int64(otherSpread)))
}

// Dump is the state for the state dump.
type Dump struct {
	Version  uint64
	ID       string
	Through  uint64
	Based    bool
	First    uint64
	Snapshot time.Time
	Counts   Counts
}

// Dump returns the state as plain values.
func (s *State) Dump() Dump {
	return Dump{
		Version: s.forced.number, ID: s.forced.id, Through: s.log.through, Based: s.log.based,
		First: s.snapshot.first, Snapshot: s.snapshot.at, Counts: s.counts,
	}
}
