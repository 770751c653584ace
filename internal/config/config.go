// Package config decides which manifest version is in force, from the order of the records in the
// log, and lets operators publish a new one.
//
// The version in force never goes back within one run of a daemon, whatever the log answers. A
// version is taken from the log only by a reader that can be missing no decisive record: one that
// has read every record since offset 0, since a peer's base, or since a usable snapshot.
//
// All daemons have to agree on which manifests are valid, because validity decides which record
// becomes a version. A release that changes validation has to be rolled out before a manifest that
// depends on it is published.
package config

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
)

// TickInterval is the period of Tick events.
const TickInterval = time.Second

// Defaults of the options.
const (
	// defaultRetention is shorter than any retention that the platform offers for a log.
	defaultRetention = 2 * time.Hour
	// refreshShare of the retention is the age at which a snapshot is renewed. Half of the
	// retention is left for an outage of the log.
	refreshShare = 4
	// maxReplay is the number of publish records after which a snapshot is written. A daemon that
	// starts validates the manifests after it, which takes about 25 ms each at 120 services.
	maxReplay = 16
)

// Delays before a snapshot is appended. A relay draws from the first range; the other daemons act
// only if no relay did, spread out so that the first one's record reaches the rest in time.
const (
	relayDelay  = 5 * time.Second
	otherDelay  = 30 * time.Second
	otherSpread = 120 * time.Second
	// appendTime is how long an appended snapshot may take to be read back.
	appendTime = 60 * time.Second
	// askInterval limits how often a base is asked for.
	askInterval = 5 * time.Second
)

// State is the reducer's state. It has a single owner.
type State struct {
	validate  func(string) error
	retention time.Duration
	random    *rand.Rand
	relay     bool

	// log is what follows from the log's order; forced is what is in force.
	log    position
	forced version

	snapshot snapshotState
	counts   Counts
}

type version struct {
	number   uint64
	id       string
	manifest string
}

// position is how far the stream has been read.
type position struct {
	current version
	// based is set if no decisive record before through can be missing.
	based bool
	// started is set once first and through are known.
	started bool
	// first is the offset from which on every record up to through was read.
	first, through uint64
	// published is the offset after the last publish record, whatever became of it.
	published uint64
}

// Counts are totals since the start.
type Counts struct {
	Accepted, Outdated, Invalid, Malformed, Gaps, Stale, Snapshots, Unusable, Offers uint64
}

// Option configures a State.
type Option func(*State)

// WithSeed sets the seed of the jitter.
func WithSeed(seed uint64) Option {
	return func(s *State) { s.random = rand.New(rand.NewPCG(seed, 2)) }
}

// WithValidation sets the check that a manifest must pass. It must be deterministic.
func WithValidation(validate func(manifest string) error) Option {
	return func(s *State) { s.validate = validate }
}

// WithRetention sets the shortest time for which the log service keeps a record.
func WithRetention(retention time.Duration) Option {
	return func(s *State) { s.retention = retention }
}

// New returns a state that knows no version.
func New(options ...Option) *State {
	s := &State{
		validate:  func(string) error { return nil },
		retention: defaultRetention,
		random:    rand.New(rand.NewPCG(1, 2)),
	}
	for _, option := range options {
		option(s)
	}

	return s
}

// Apply advances the state.
func (s *State) Apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case RecordsRead:
		return s.read(now, e)
	case BaseOffered:
		return s.offer(now, e.Base)
	case RoleChanged:
		if s.relay != e.Relay {
			s.relay = e.Relay
			s.snapshot.due = time.Time{}
		}

		return nil
	case Tick:
		return s.tick(now)
	default:
		return nil
	}
}

// Base returns the state that a peer can start from. It is false if a decisive record may be
// missing here.
func (s *State) Base() (Base, bool) {
	if !s.log.based {
		return Base{}, false
	}

	return Base{
		Version: s.log.current.number, Through: s.log.through,
		Manifest: s.log.current.manifest, ID: s.log.current.id,
	}, true
}

// InForce returns the version in force, or 0 before the first.
func (s *State) InForce() (number uint64, manifest string) {
	return s.forced.number, s.forced.manifest
}

func (s *State) read(now time.Time, e RecordsRead) []Effect {
	if s.log.based && e.Next < s.log.through {
		// The source answers with old data. A reader without a base may be reading again.
		s.counts.Stale++

		return nil
	}

	s.reach(e)

	var effects []Effect

	for _, r := range e.Records {
		if r.Offset != s.log.through {
			continue
		}

		s.log.through = r.Offset + 1
		effects = s.apply(now, effects, r.Offset, r.Data)
	}

	s.snapshot.first = max(s.snapshot.first, e.First)

	return s.force(effects)
}

// reach prepares for records that start at another offset than expected.
func (s *State) reach(e RecordsRead) {
	start := e.First
	if len(e.Records) > 0 {
		start = e.Records[0].Offset
	}

	switch {
	case !s.log.started, !s.log.based && start < s.log.first:
		// A reader that decided nothing yet may start over where more is to be had. A stream that starts at offset 0 has version 0 before it.
		s.log = position{started: true, first: start, through: start, based: start == 0}
	case start > s.log.through:
		// Records between through and start cannot be had: one of them may have been decisive.
		s.counts.Gaps++
		s.log.based = false
		s.log.first, s.log.through, s.log.published = start, start, start
	}
}

func (s *State) apply(now time.Time, effects []Effect, offset uint64, data []byte) []Effect {
	decoded, err := record.DecodeConfig(data)
	if err != nil {
		s.counts.Malformed++

		return effects
	}

	switch r := decoded.(type) {
	case record.Publish:
		s.log.published = offset + 1
		s.snapshot.replay++

		if s.log.based {
			effects = append(effects, s.decide(offset, r))
		}
	case record.Snapshot:
		s.adopt(now, offset, r)
	}

	return effects
}

// decide applies the rule over the log's order to a publish record.
func (s *State) decide(offset uint64, r record.Publish) Effect {
	decided := Decided{Offset: offset, ID: r.ID}

	switch {
	case r.Base != s.log.current.number:
		s.counts.Outdated++
		decided.Reason = Outdated
	case !s.valid(r.Manifest):
		s.counts.Invalid++
		decided.Reason = Invalid
	default:
		s.counts.Accepted++
		decided.Accepted = true
		s.log.current = version{number: r.Base + 1, id: r.ID, manifest: r.Manifest}
	}

	decided.Version, decided.Winner = s.log.current.number, s.log.current.id

	return decided
}

// valid reports whether a manifest passes validation. The current one has passed it; most snapshots
// hold that.
func (s *State) valid(manifest string) bool {
	if s.log.current.number > 0 && manifest == s.log.current.manifest {
		return true
	}

	return s.validate(manifest) == nil
}

// adopt takes a snapshot as the state at its own offset. It may do so only if this reader has every
// record from Through on and none of them is a publish record: then nothing was decided between
// Through and the snapshot. Both conditions give the same result for all readers that they hold for.
func (s *State) adopt(now time.Time, offset uint64, r record.Snapshot) {
	// Version 0 holds no manifest; only a base between daemons has it.
	if r.Version == 0 || r.Through > offset || r.Through < s.log.first || r.Through < s.log.published ||
		!s.valid(r.Manifest) {
		s.counts.Unusable++

		return
	}

	s.counts.Snapshots++
	s.snapshot.seen(now, r.Through)

	if !s.log.based || r.Version > s.log.current.number {
		s.log.current = version{number: r.Version, id: r.ID, manifest: r.Manifest}
		s.log.based = true
	}
}

// offer takes the state of a peer that is ahead, or any if a decisive record may be missing here: the
// records after the base are read again then.
func (s *State) offer(now time.Time, base Base) []Effect {
	ahead := !s.log.based || base.Through > s.log.through
	if !ahead || base.Version < s.forced.number {
		return nil
	}

	if base.Version > 0 && !s.valid(base.Manifest) {
		s.counts.Invalid++

		return nil
	}

	s.counts.Offers++
	s.log = position{
		started: true, based: true, first: base.Through, through: base.Through, published: base.Through,
		current: version{number: base.Version, id: base.ID, manifest: base.Manifest},
	}

	if s.snapshot.at.IsZero() {
		// When the last snapshot was written is unknown; the others renew it if it is older.
		s.snapshot.at = now
	}

	return s.force(nil)
}

// force puts the current version of the log in force if it is higher.
func (s *State) force(effects []Effect) []Effect {
	if !s.log.based || s.log.current.number <= s.forced.number {
		return effects
	}

	s.forced = s.log.current

	return append(effects, InForce{
		Version: s.forced.number, Manifest: s.forced.manifest, ID: s.forced.id,
	})
}
