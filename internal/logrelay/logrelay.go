// Package logrelay brings the records of the log service to every daemon, and appends on behalf of
// the daemon's reducers. The relays of a region read the log; the other daemons pull from
// neighbours that are ahead, and read the log themselves only if that fails. Records are passed on
// as bytes; what they mean is decided by the reducer of each stream.
//
// A service that loses its latest records and uses their offsets again is not detected: offsets
// identify records.
package logrelay

import (
	"cmp"
	"math/rand/v2"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
)

// TickInterval is the period of Tick events.
const TickInterval = 50 * time.Millisecond

// Stream configures one stream.
type Stream struct {
	Name string
	// Baseless streams have no reducer whose state could replace old records; these are dropped.
	Baseless bool
	// Poll is the longest time between two reads by a relay; zero means 500 ms. Streams that nobody
	// waits for should be read less often, because each read costs about 300 bytes.
	Poll time.Duration
	// Bytes and Records limit the tail of recent records; zero means the default.
	Bytes   int
	Records int
}

// State is the reducer's state. It has a single owner.
type State struct {
	random  *rand.Rand
	streams []*stream
	relay   bool
	started time.Time
	// neighbours, nearest first.
	neighbours []instance.ID
	queue      queue
	counts     Counts
}

// Counts are totals since the start.
type Counts struct {
	Reads, ReadFailures, Stale, Gaps              uint64
	Pulls, PullFailures, Bases, Answers           uint64
	Announcements, Appends, Refused, Lost, Orphan uint64
}

// Option configures a State.
type Option func(*State)

// WithSeed sets the seed of the jitter. It should differ between daemons.
func WithSeed(seed uint64) Option {
	return func(s *State) { s.random = rand.New(rand.NewPCG(seed, 3)) }
}

// WithStreams sets the streams, in order of importance.
func WithStreams(streams ...Stream) Option {
	return func(s *State) {
		s.streams = nil
		for _, config := range streams {
			s.streams = append(s.streams, &stream{
				name: config.Name, baseless: config.Baseless, poll: cmp.Or(config.Poll, defaultPoll),
				maxBytes:   cmp.Or(config.Bytes, defaultBytes),
				maxRecords: cmp.Or(config.Records, defaultRecords),
			})
		}
	}
}

// New returns a state that has read nothing.
func New(options ...Option) *State {
	s := &State{random: rand.New(rand.NewPCG(1, 3))}
	for _, option := range options {
		option(s)
	}

	return s
}

// Apply advances the state.
func (s *State) Apply(now time.Time, event Event) []Effect {
	if s.started.IsZero() {
		s.start(now)
	}

	switch e := event.(type) {
	case RoleChanged:
		s.changeRole(now, e.Relay)

		return nil
	case NeighboursChanged:
		s.changeNeighbours(e.Neighbours)

		return nil
	case ThroughsHeard:
		return s.heard(now, e)
	case ReadEnded:
		return s.readEnded(now, e)
	case PullRequested:
		return s.answer(e)
	case PullEnded:
		return s.pullEnded(now, e)
	case BaseSaved:
		return s.saveBase(e)
	case BaseMissing:
		return s.baseMissing(now, e.Stream)
	case AppendRequested:
		return s.queue.add(now, e)
	case AppendEnded:
		return s.appendEnded(now, e)
	case Tick:
		return s.tick(now)
	default:
		return nil
	}
}

func (s *State) start(now time.Time) {
	s.started = now
	for _, st := range s.streams {
		st.confirmed, st.heard, st.reset = now, now, now
	}
}

func (s *State) tick(now time.Time) []Effect {
	var effects []Effect

	for _, st := range s.streams {
		effects = s.pullOverdue(now, st, effects)
		effects = s.read(now, st, effects)

		if st.baseMissing() {
			effects = s.askBase(now, st, effects)
		}
	}

	return s.sendAppend(now, effects)
}

func (s *State) stream(name string) *stream {
	for _, st := range s.streams {
		if st.name == name {
			return st
		}
	}

	return nil
}

// Throughs returns how far each stream was read, to be sent with an exchange. Streams that were not
// read at all are left out, so that daemons that start together do not take each other for a source.
func (s *State) Throughs(now time.Time) []Through {
	throughs := make([]Through, 0, len(s.streams))
	for _, st := range s.streams {
		if st.started {
			throughs = append(throughs, st.through(now))
		}
	}

	return throughs
}

// between draws a duration from [low, high).
func (s *State) between(low, high time.Duration) time.Duration {
	return low + time.Duration(s.random.Int64N(int64(high-low)))
}

// Dump is the state for the state dump.
type Dump struct {
	Relay   bool
	Streams []StreamDump
	Queued  int
	Doubts  int
	Counts  Counts
}

// StreamDump is a part of Dump.
type StreamDump struct {
	Name        string
	Started     bool
	First, Next uint64
	Records     int
	Bytes       int
	Based       bool
	LogFirst    uint64
	Confirmed   time.Time
	Pulling     instance.ID
}

// Dump returns the state as plain values.
func (s *State) Dump() Dump {
	dump := Dump{Relay: s.relay, Queued: len(s.queue.entries), Doubts: len(s.queue.doubts), Counts: s.counts}
	for _, st := range s.streams {
		dump.Streams = append(dump.Streams, StreamDump{
			Name: st.name, Started: st.started, First: st.first, Next: st.next, Records: len(st.records),
			Bytes: st.size, Based: st.base != nil || st.first == 0, LogFirst: st.logFirst,
			Confirmed: st.confirmed, Pulling: st.pulling,
		})
	}

	return dump
}

// page is a part of a stream from any source.
type page struct {
	records []logservice.Record
	// start is the offset of the first record, or the one that it would have.
	start uint64
}
