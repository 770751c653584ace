// Package keys decides, at the owner of an idempotency key, whether a request runs. It also maintains the grants by
// which a daemon becomes the owner of keys. It does no I/O and reads no clock. A non-idempotent request runs at most
// once (G4), and a refusal with the verdict NotRun is true (G3).
//
// A hash assigns each key to a partition of its service. A grant makes one daemon the owner of all keys of a partition
// whose issue times are in a range. All daemons derive the grants from the same log, the stream "grants" of the store,
// whose records are claims, extensions, sign-offs and bases (snapshots of all grants).
//
// The rules, for a key with issue time t in partition p of the daemon's own service:
//
//  1. The log decides. A claim is accepted only if its range starts at or after the end of the partition's last
//     grant. An extension moves the end of a grant only if that grant is the partition's last one and is not signed
//     off. A sign-off only shortens a grant. Its owner chooses the new end after it has stopped admitting keys, and
//     later than the issue time of each key that it has admitted. So ranges of different grants never overlap, and
//     the part of a grant that its owner has read back remains its own unless it signs off itself. Ranges are half
//     open: t = From is inside, t = Until is outside.
//  2. A key is admitted only if it is not in the table, t is in a grant of this incarnation that was read back from the
//     log, t is not before the table's floor, and the daemon is not draining. No clock is involved, so a pause or clock
//     skew cannot create a second owner.
//  3. The acceptance window and the tolerance are checked with the owner's clock. They can only refuse a key.
//  4. A key that is missing from the table is known not to have run only if this daemon alone can have admitted it (t
//     is in its own grant, and before the end of its sign-off if it has asked for one), or if a complete handover
//     from the only possible owner for t lacks it; and only for t at or after the floor, before which the table
//     forgets keys. In any other case Refuse.Verdict is MayHaveRun, and Refuse.Delivery states that this delivery was
//     not run.
//  5. The floor never falls. A running key is never forgotten.
//  6. The store may come back from an older copy, which its epoch shows. The log that it has then does not say which grants
//     were given out in earlier epochs; only the owners that have read them back know. So the ledger begins anew with a
//     Restart, and records that were decided for another ledger are without effect. An owner keeps the grants that it has
//     read back, as ranges of issue times, and carries them over. Any other grant starts at the barrier of the Restart or
//     later: the issue time from which no grant can reach that was made before. A carried grant can be extended, and be
//     followed by others, only if its owner knows that it was the last one of its partition: no daemon claims what follows
//     a grant before the last extension period of it.
//
// Consequences in the difficult cases:
//
//   - A paused owner that resumes admits only keys of its own grant, which no successor can hold.
//   - Clock skew: an owner with a wrong clock refuses valid keys, or claims late or far ahead; it admits no key that
//     another daemon may admit.
//   - Of two claims to the same range, the one that is first in the log is accepted. The other daemon reads this and
//     refuses the keys.
//   - A partition passes to another live owner only at the end of a grant that its owner no longer extends. Keys of the
//     earlier range stay with the earlier owner, so no table moves.
//   - An extension after a successor's claim has no effect, because the grant is no longer the last one.
//   - The response to an append is never used; only what is read back counts. An append is repeated after a delay. A
//     repeated claim is rejected by rule 1; repeated extensions and sign-offs change nothing.
//   - After a restart under the same ID, the daemon has another incarnation and an empty table, and the old grant is
//     not its own.
//   - A leaving owner stops admitting keys before it asks for the sign-off. Its handover includes the running keys;
//     their outcomes follow one by one. Until all chunks have arrived, keys missing from it are in doubt. Repeated
//     and late chunks change nothing, because an entry only changes from running to an outcome.
//   - During an outage of the log, an owner admits keys until its grants end. If it leaves during the outage, the
//     handover carries the end of its sign-off, and the successor appends the sign-off.
//   - If records expired before they were read, the reader keeps its last state, claims nothing, and waits for a base
//     whose Through is not before the first offset that the log still has. What it knows of its own grants remains true
//     by rule 1. Records that are read again are skipped by offset.
//   - A resend that reaches the successor before the handover is in doubt; a later resend is answered from the
//     handover.
//   - A daemon that has not noticed a return admits keys of its grants until they end. No other daemon can hold these issue
//     times: a grant that it has asked for in the meantime takes effect only if it reads it back, and then it notices.
//   - Keys of an owner that was lost together with its grants are refused until the barrier, about a grant length.
//   - A Restart that is appended late is without effect: it names the offset up to which its author has read, and records
//     of the same epoch after that make it void.
//
// Assumptions: No two runs of one ID share an incarnation, which is derived from the start time in nanoseconds. Within an
// epoch, the log never replaces a record by another. When it comes back, the clocks of the daemons that run differ by less
// than the margin in the barrier, and no grant is longer than the manifest says. The daemon reports Finished exactly once for each admitted request, with a true
// verdict.
package keys

import (
	"math/rand/v2"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// TickInterval is the time between two Tick events.
const TickInterval = time.Second

// Defaults of the options.
const (
	// DefaultMaxEntries is the maximum number of keys in the table. At about 90 B each, they fit into the 128 MB of a
	// daemon together with the stored responses.
	DefaultMaxEntries = 200_000
	// DefaultMaxStoredBytes is the maximum size in bytes of all stored responses.
	DefaultMaxStoredBytes = 32 << 20
	// DefaultBaseRecords is the minimum number of records between two bases in the log.
	DefaultBaseRecords = 256
	// DefaultChunkEntries is the maximum number of keys in one message of a handover.
	DefaultChunkEntries = 2000
)

// State holds the keys and grants known to one daemon. It is not safe for concurrent use; the daemon's event loop owns
// it.
type State struct {
	self           daemonRun
	service        string
	maxEntries     int
	maxStoredBytes int
	random         *rand.Rand
	// baseRecords and chunkEntries are at least 1.
	baseRecords  uint64
	chunkEntries int

	policy manifest.Keys
	// now is the latest time passed to Apply. It never goes back.
	now time.Time
	// members holds the members of each service, sorted by ID.
	members map[string][]instance.Member
	ledger  ledger
	table   table
	// claimRetryAt and baseRetryAt are the times from which a claim or a base may be appended again.
	claimRetryAt [Partitions]time.Time
	baseRetryAt  time.Time
	// extendedAt is when the grants were last extended or first claimed.
	extendedAt time.Time
	// logReadAt is the time of the last successful read of the log, logReadableSince that of the first one after the
	// last outage of the log.
	logReadAt, logReadableSince time.Time
	// membersChangedAt is when the members of the service last changed.
	membersChangedAt time.Time
	settleTime       time.Duration
	// ledgerID is that of the ledger at the last review of the grants.
	ledgerID LedgerID
	// restartAt and carryAt are when a restart of the ledger and the held grants are appended; zero if nothing is due.
	restartAt, carryAt time.Time

	// maxAdmitted is the latest issue time of an admitted key, in Unix milliseconds.
	maxAdmitted int64
	drain       drain
	// handovers holds what was received from each leaving owner.
	handovers map[daemonRun]*ownerHandover

	effects []Effect
}

// Option configures New.
type Option func(*State)

// WithSelf sets the daemon's own ID, incarnation and service.
func WithSelf(id instance.ID, incarnation instance.Incarnation, service string) Option {
	return func(s *State) { s.self, s.service = daemonRun{id, incarnation}, service }
}

// WithSeed seeds the jitter of the delays before repeated appends.
func WithSeed(seed uint64) Option {
	return func(s *State) { s.random = rand.New(rand.NewPCG(seed, seed)) }
}

// WithMaxEntries limits the number of keys in the table.
func WithMaxEntries(entries int) Option { return func(s *State) { s.maxEntries = entries } }

// WithSettleTime sets how long the members of the service must remain unchanged before the daemon claims a partition
// that never had an owner.
func WithSettleTime(settle time.Duration) Option { return func(s *State) { s.settleTime = settle } }

// WithMaxStoredBytes limits the size in bytes of all stored responses.
func WithMaxStoredBytes(size int) Option { return func(s *State) { s.maxStoredBytes = size } }

// WithBaseRecords sets the minimum number of records between two bases in the log, at least 1. Each daemon adds up to
// the same number again, derived from a hash of its ID, so that only one or a few daemons write a base.
func WithBaseRecords(records uint64) Option {
	return func(s *State) { s.baseRecords = max(1, records) }
}

// WithChunkEntries limits the number of keys in one message of a handover; the minimum is 1.
func WithChunkEntries(entries int) Option { return func(s *State) { s.chunkEntries = max(1, entries) } }

// New returns a state without grants, members or policy. It refuses new keys until PolicyChanged and RecordsRead events
// have supplied them.
func New(options ...Option) *State {
	s := &State{
		maxEntries: DefaultMaxEntries, maxStoredBytes: DefaultMaxStoredBytes,
		baseRecords: DefaultBaseRecords, chunkEntries: DefaultChunkEntries,
		members: map[string][]instance.Member{}, table: newTable(),
		handovers: map[daemonRun]*ownerHandover{},
	}
	WithSeed(1)(s)

	for _, option := range options {
		option(s)
	}

	s.ledger = newLedger(s.service, s.self)

	return s
}

// Apply updates the state for one event and returns the resulting effects in order.
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
	case EpochChanged:
		s.changeEpoch(e.Epoch)
	case RecordsRead:
		if e.Epoch < s.ledger.epoch {
			break
		}

		s.changeEpoch(e.Epoch)
		s.noteLogRead()
		s.ledger.addRecords(e.First, e.Records, e.Next)
		s.reviewGrants()
	case BaseOffered:
		s.ledger.adoptBase(e.Base)
		s.reviewGrants()
	case MembersChanged:
		s.members[e.Service] = e.Members

		if e.Service == s.service {
			s.membersChangedAt = s.now
		}

		s.reviewGrants()
	case PolicyChanged:
		s.policy = e.Keys
	case DrainStarted:
		s.startDrain()
	case HandoverReceived:
		s.handoverReceived(e.Handover)
	case HandoverEnded:
		s.handoverEnded(e)
	case Tick:
		s.forgetExpiredKeys()
		s.forgetHandovers()
		s.ledger.held.forget(s.table.floor)
		s.reviewGrants()
	}

	return s.effects
}

// reviewGrants emits the claims, extensions, sign-offs, bases and handovers that are due. It is called whenever grants,
// members or the time have changed.
func (s *State) reviewGrants() {
	s.noteLedger()
	s.restartLedger()
	s.carryGrants()
	s.appendBase()

	if s.drain.started {
		s.continueDrain()

		return
	}

	s.signOffLeftOwners()
	s.extendGrants()
	s.claimPartitions()
}

func (s *State) emit(e Effect) { s.effects = append(s.effects, e) }

// nowMillis returns the current time in Unix milliseconds, the unit of issue times.
func (s *State) nowMillis() int64 { return s.now.UnixMilli() }

// NextOffset returns the offset from which the stream "grants" has to be read.
func (s *State) NextOffset() uint64 { return s.ledger.nextOffset() }

// Base returns a snapshot of the current grants, which another daemon can use in BaseOffered. It returns false while
// this daemon lacks records that have expired, or the ledger was not restarted yet.
func (s *State) Base() (Base, bool) {
	return s.ledger.base(), !s.ledger.incomplete && s.ledger.started()
}

// Owner returns the ID and incarnation of the daemon to which a request with a key has to be sent. It returns false if
// the key is invalid or no owner can be reached; Apply with Arrived then returns the refusal.
func (s *State) Owner(service, key string) (instance.ID, instance.Incarnation, bool) {
	parsed, err := ParseKey(key)
	if err != nil {
		return "", 0, false
	}

	if service == s.service && s.ledger.held.covers(parsed) {
		return s.self.id, s.self.incarnation, true
	}

	histories := s.ledger.histories(service, parsed.Partition)

	for _, h := range histories {
		if g, ok := h.covering(parsed.Issued); ok && s.reachable(service, g) {
			return g.Owner, g.Incarnation, true
		}
	}

	// The last owner may have received the key in a handover, or may hold a longer grant than this daemon has read.
	for _, h := range histories {
		if g, ok := h.last(); ok && s.reachable(service, g) {
			return g.Owner, g.Incarnation, true
		}
	}

	return "", 0, false
}

// grantHolder returns the member that holds a grant. It returns false if the member is gone or has restarted.
func (s *State) grantHolder(service string, g Grant) (instance.Member, bool) {
	members := s.members[service]

	i, ok := searchMember(members, g.Owner)
	if !ok || members[i].Incarnation != g.Incarnation {
		return instance.Member{}, false
	}

	return members[i], true
}

// reachable reports whether the owner of a grant can answer; a draining one still answers from its table.
func (s *State) reachable(service string, g Grant) bool {
	m, ok := s.grantHolder(service, g)

	return ok && (m.Usable() || m.Status == instance.Draining)
}

// usable reports whether the owner of a grant can be expected to extend it.
func (s *State) usable(service string, g Grant) bool {
	m, ok := s.grantHolder(service, g)

	return ok && m.Usable()
}
