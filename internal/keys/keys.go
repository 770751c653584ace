// Package keys decides at the owner of an idempotency key whether a request runs, and keeps the grants
// by which a daemon becomes an owner. It does no I/O and reads no clock. A non-idempotent request runs
// at most once (G4), and a refusal with NotRun is true (G3).
//
// The rules, for a key with issue time t in partition p of the daemon's own service:
//
//  1. The log decides. A claim is accepted only if its range starts at or after the end of the
//     partition's last grant. An extension moves the end of the owner's grant only if it is the last one
//     and not signed off. A sign-off only shortens a grant. Its end is chosen by the owner after it has
//     stopped accepting, and is after each key that it has accepted. So ranges of different grants never overlap, and the part of
//     a grant that an owner has read back stays its own unless it signs off itself. Ranges are half
//     open: t = From is inside, t = Until is outside.
//  2. A key is admitted only if it is not in the table, t is in a grant of this incarnation that was
//     read back, t is not before the table's floor, and the daemon does not
//     drain. No clock takes part, so that a pause or clock skew makes no second owner.
//  3. The window and the tolerance use the owner's clock. They only refuse.
//  4. A missing key proves that it was not run only if this daemon alone can have accepted it (t in its
//     own grant, and before the sign-off if one was asked for) or if a complete handover of the only
//     owner for t lacks it; and only for t at or after the floor, before which the table forgets. In
//     any other case Refuse.Verdict is MayHaveRun, and Refuse.Delivery says that this delivery was not run.
//  5. The floor never falls. A running key is never forgotten.
//
// What follows from them in the hard cases:
//
//   - A paused owner that wakes up accepts only keys of its own grant, which no successor can have.
//   - Skew: an owner with a wrong clock refuses keys or claims late or far ahead; it admits no key that
//     another may admit.
//   - Of two claims of one range the log's order accepts one; the loser reads that and refuses.
//   - A partition passes to another live owner only at the end of a grant that its owner no longer
//     extends. Keys of the earlier range stay with the earlier owner, so no table moves.
//   - An extension after a successor's claim has no effect, because the grant is not the last one.
//   - The answer to an append is never used. What is read back counts. An append is repeated after a
//     delay; a repeated claim is rejected by rule 1, repeated extensions and sign-offs change nothing.
//   - A restart under the same ID has another incarnation and an empty table; it starts as a stranger to
//     the old grant.
//   - A leaving owner stops admitting before it asks for the sign-off. Its handover lists what is
//     running; later outcomes follow one by one. While chunks are missing, missing keys are in doubt.
//     Repeated and late chunks change nothing, because an entry only moves from running to an outcome.
//   - During an outage an owner admits until its grants end. If it leaves then, the handover carries the
//     end of its sign-off, and the successor appends the sign-off.
//   - If records expired before they were read, the reader keeps its last state, claims nothing, and
//     waits for a base whose Through is not before the first offset that the log still has. What it
//     knows of its own grants stays true by rule 1. Old data from the log is skipped by offset.
//   - A resend that reaches the successor before the handover is in doubt, and later answered from it.
//
// Limits: no two runs of one ID share an incarnation, which its start time in nanoseconds gives; the log never replaces a record by another; the
// daemon reports Finished exactly once for an admitted request, and only with a true verdict.
package keys

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// TickInterval is the period of Tick events.
const TickInterval = time.Second

// Default limits of memory.
const (
	// DefaultEntries at about 90 B each fit beside the stored responses into the 128 MB of a daemon.
	DefaultMaxEntries = 200_000
	// DefaultStore is the size in bytes of all stored responses.
	DefaultMaxStoredBytes = 32 << 20
	// DefaultBaseRecords is the least number of records between two bases in the log.
	DefaultBaseRecords = 256
	// DefaultChunk is the number of keys in one message of a handover.
	DefaultChunkEntries = 2000
)

// State is the reducer's state. It is owned by the daemon's event loop.
type State struct {
	self    run
	service string
	maximum int
	store   int
	random  *rand.Rand
	// baseRecords and chunk are at least 1.
	baseRecords uint64
	chunk       int

	policy  manifest.Keys
	now     time.Time
	members map[string][]instance.Member
	ledger  ledger
	table   table
	// claimed and based are the times from which a claim or a base may be appended again.
	claimed  [Partitions]time.Time
	based    time.Time
	extended time.Time
	// logRead is the time of the last answer of the log, and logSince that of the first one after an outage.
	logRead, logSince time.Time
	// changed is when the members of the service last changed.
	changed time.Time
	settle  time.Duration

	// accepted is the highest issue time admitted, in Unix milliseconds.
	accepted int64
	drain    drain
	received map[run]*reception

	effects []Effect
}

// Option configures New.
type Option func(*State)

// WithSelf sets the daemon's own identity and service.
func WithSelf(id instance.ID, incarnation instance.Incarnation, service string) Option {
	return func(s *State) { s.self, s.service = run{id, incarnation}, service }
}

// WithSeed seeds the delays of repeated appends.
func WithSeed(seed uint64) Option {
	return func(s *State) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithEntries limits the number of keys in the table.
func WithMaxEntries(entries int) Option { return func(s *State) { s.maximum = entries } }

// WithSettle sets how long the members of the service have to stay the same before a partition that
// never had an owner is claimed.
func WithSettleTime(settle time.Duration) Option { return func(s *State) { s.settle = settle } }

// WithStore limits the size in bytes of all stored responses.
func WithMaxStoredBytes(size int) Option { return func(s *State) { s.store = size } }

// WithBaseRecords sets the least number of records between two bases in the log, at least 1. Each
// daemon adds up to as many again by a hash of its ID, so that one or few daemons write a base.
func WithBaseRecords(records uint64) Option {
	return func(s *State) { s.baseRecords = max(1, records) }
}

// WithChunk limits the number of keys in one message of a handover, at least 1.
func WithChunkEntries(entries int) Option { return func(s *State) { s.chunk = max(1, entries) } }

// New returns a state without grants and policy.
func New(options ...Option) *State {
	s := &State{
		maximum: DefaultMaxEntries, store: DefaultMaxStoredBytes, baseRecords: DefaultBaseRecords, chunk: DefaultChunkEntries,
		members: map[string][]instance.Member{}, ledger: newLedger(), table: newTable(),
		received: map[run]*reception{},
	}
	WithSeed(1)(s)

	for _, option := range options {
		option(s)
	}

	return s
}

// Apply changes the state by an event and returns the effects in the order in which they are due.
func (s *State) Apply(now time.Time, event Event) []Effect {
	if now.After(s.now) {
		s.now = now
	}

	s.effects = nil

	switch e := event.(type) {
	case Arrived:
		s.arrived(e.Request)
	case Finished:
		s.finished(e)
	case Cancelled:
		s.cancelled(e.ID)
	case RecordsRead:
		s.noteRead()
		s.ledger.read(e.First, e.Records, e.Next)
		s.review()
	case BaseOffered:
		s.ledger.adopt(e.Base)
		s.review()
	case MembersChanged:
		s.members[e.Service] = e.Members

		if e.Service == s.service {
			s.changed = s.now
		}

		s.review()
	case PolicyChanged:
		s.policy = e.Keys
	case DrainStarted:
		s.startDrain()
	case HandoverReceived:
		s.handoverReceived(e.Handover)
	case HandoverEnded:
		s.handoverEnded(e)
	case Tick:
		s.forget()
		s.forgetReceived()
		s.review()
	}

	return s.effects
}

// review does what depends on grants, members and time: claims, extensions, sign-offs, handovers.
func (s *State) review() {
	s.fillBase()

	if s.drain.started {
		s.continueDrain()

		return
	}

	s.signoffForOthers()
	s.extend()
	s.claim()
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// milliseconds is the present time in the unit of issue times.
func (s *State) milliseconds() int64 { return s.now.UnixMilli() }

// Through returns the offset from which the stream "grants" has to be read.
func (s *State) NextOffset() uint64 { return s.ledger.wanted() }

// Base returns the state of the grants for a peer. It is false while this daemon lacks records.
func (s *State) Base() (Base, bool) { return s.ledger.base(), !s.ledger.lost }

// Owner returns the daemon to which a keyed request has to be sent. It is false if the key is not
// valid or no owner can be reached; Apply with Arrived then gives the refusal.
func (s *State) Owner(service, key string) (instance.ID, instance.Incarnation, bool) {
	parsed, err := ParseKey(key)
	if err != nil {
		return "", 0, false
	}

	h := s.ledger.partition(service, parsed.Partition)
	if g, ok := h.covering(parsed.Issued); ok && s.reachable(service, g) {
		return g.Owner, g.Incarnation, true
	}

	// The successor may have the key from a handover, and an owner may hold a longer grant than is known here.
	if g, ok := h.last(); ok && s.reachable(service, g) {
		return g.Owner, g.Incarnation, true
	}

	return "", 0, false
}

// member returns the member that holds a grant if it still is the same incarnation.
func (s *State) member(service string, g Grant) (instance.Member, bool) {
	members := s.members[service]

	i, ok := searchMember(members, g.Owner)
	if !ok || members[i].Incarnation != g.Incarnation {
		return instance.Member{}, false
	}

	return members[i], true
}

// reachable reports whether the owner can answer; a draining one still answers from its table.
func (s *State) reachable(service string, g Grant) bool {
	m, ok := s.member(service, g)

	return ok && (m.Usable() || m.Status == instance.Draining)
}

// usable reports whether the owner can be expected to extend its grant.
func (s *State) usable(service string, g Grant) bool {
	m, ok := s.member(service, g)

	return ok && m.Usable()
}
