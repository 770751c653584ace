package keys

import (
	"math"
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

const (
	// extensionsPerGrant is the number of extension periods in the length of a grant. An owner extends its grants once
	// per period.
	extensionsPerGrant = 10
	// shortGrantDivisor and shortGrantFactor control faster extensions: if less than the length of a grant divided by
	// shortGrantDivisor remains, an extension period is shortGrantFactor times shorter. This happens only after an
	// outage of the log.
	shortGrantDivisor = 2
	shortGrantFactor  = 6
	// appendRetryDelay is the minimum delay before an append that was not read back is repeated. Jitter of up to the
	// same time is added, so that the daemons do not all append at once after an outage.
	appendRetryDelay = 5 * time.Second
)

// claimPartitions appends claims for the partitions that need a new owner and for which claimStart selects this daemon.
func (s *State) claimPartitions() {
	if s.policy.Grant <= 0 || !s.ledger.initialized || !s.ledger.caughtUp() || !s.ledger.started() {
		return
	}

	index := map[[2]int64]int{}

	var record Record

	for p := range Partitions {
		from, ok := s.claimStart(p)
		if !ok || s.now.Before(s.claimRetryAt[p]) {
			continue
		}

		until := max(from, s.nowMillis()) + s.policy.Grant.Milliseconds()
		s.claimRetryAt[p] = s.appendRetryAt()

		at, ok := index[[2]int64{from, until}]
		if !ok {
			at = len(record.Claims)
			index[[2]int64{from, until}] = at
			record.Claims = append(record.Claims, Claim{
				Service: s.service, Owner: s.self.id, Incarnation: s.self.incarnation, From: from, Until: until,
			})
		}

		record.Claims[at].Partitions = append(record.Claims[at].Partitions, p)
	}

	if record.Empty() {
		return
	}

	// The claims end one grant length from now, so the first extension is due in the next period.
	if !s.hasOpenGrant() {
		s.extendedAt = s.now
	}

	s.appendRecord(record)
}

// appendRecord appends a record for the present ledger.
func (s *State) appendRecord(r Record) {
	r.Ledger = s.ledger.id
	s.emit(AppendGrants{Record: r})
}

// claimStart reports whether this daemon should claim a partition, and returns the issue time in Unix milliseconds at
// which the claim starts. That is the end of the last grant, so that a claimant with a wrong clock leaves no gap.
func (s *State) claimStart(p int) (int64, bool) {
	last, ok := s.ledger.partition(s.service, p).last()
	if !ok && s.ledger.barrier > 0 || last.Uncertain {
		return s.claimAfterRestart(p)
	}

	if !ok {
		// When several daemons start together, the first one must not claim all partitions.
		settled := s.now.Sub(s.membersChangedAt) >= s.settleTime

		return max(0, s.nowMillis()-s.policy.Window.Milliseconds()), settled && s.isEligibleOwner(p, "", 0)
	}

	now := s.nowMillis()
	period := max(1, s.extensionPeriod().Milliseconds())
	// overdue is the number of extension periods without an owner during which the log could be read.
	overdue := int(max(0, min(now-last.Until, now-s.logReadableSince.UnixMilli())) / period)

	switch {
	case last.Ended:
		return last.Until, s.isEligibleOwner(p, "", overdue)
	case s.isOwn(last):
		return 0, false
	case !s.usable(s.service, last) || s.isEligibleOwner(p, "", 0):
		// The owner is lost, or does not extend the grant because this daemon is the preferred owner.
		return last.Until, now >= last.Until-period && s.isEligibleOwner(p, "", overdue)
	default:
		// The owner is alive but does not extend the grant, for example because its appends are lost. After an outage
		// it has one period to do so.
		return last.Until, overdue > 0 && s.isEligibleOwner(p, last.Owner, overdue-1)
	}
}

// claimAfterRestart is claimStart for a partition of which owners that the log has lost may hold grants.
func (s *State) claimAfterRestart(p int) (int64, bool) {
	from, now := s.ledger.nextStart(s.service, p), s.nowMillis()
	period := max(1, s.extensionPeriod().Milliseconds())
	overdue := int(max(0, now-from) / period)

	return from, now >= from-period && s.isEligibleOwner(p, "", overdue)
}

// noteLogRead records that the log was read, and whether that ended an outage. Without an outage, the log is read at
// least once in two extension periods, because each owner appends once per period.
func (s *State) noteLogRead() {
	if s.now.Sub(s.logReadAt) > 2*s.policy.Grant/extensionsPerGrant {
		s.logReadableSince = s.now
	}

	s.logReadAt = s.now
}

// isEligibleOwner reports whether this daemon ranks high enough in rendezvous hashing to claim a partition. Usable
// members other than except are ranked. The first one is eligible at once, and one more for each overdue extension
// period, because the earlier ones may be unable to claim, for example if their clocks are behind.
func (s *State) isEligibleOwner(p int, except instance.ID, overdue int) bool {
	ownScore, isMember := rendezvousScore(s.service, p, s.self.id), false

	for _, m := range s.members[s.service] {
		if !m.Usable() || m.ID == except {
			continue
		}

		isMember = isMember || m.ID == s.self.id
		if rendezvousScore(s.service, p, m.ID) > ownScore {
			overdue--
		}
	}

	return isMember && overdue >= 0
}

// shouldExtend reports whether this daemon extends its grant of a partition. If another member is the preferred owner,
// the partition passes to it at the end of the grant, so that partitions remain balanced when members join and leave;
// keys of the present grant stay here. The preferred owner can claim during the last extension period of the grant. If
// it has not done so after half of that period, the grant is extended after all, because it may be unable to reach the
// log.
func (s *State) shouldExtend(p int, last Grant) bool {
	left := last.Until - s.nowMillis()

	return s.preferredOwner(p, "") == s.self.id || left < s.policy.Grant.Milliseconds()/extensionsPerGrant/2
}

// preferredOwner returns the first choice of rendezvous hashing for a partition among the usable members of the service
// other than except; empty if there is none.
func (s *State) preferredOwner(p int, except instance.ID) instance.ID {
	var best instance.ID

	bestScore := uint64(0)

	for _, m := range s.members[s.service] {
		if !m.Usable() || m.ID == except {
			continue
		}

		if score := rendezvousScore(s.service, p, m.ID); best == "" || score > bestScore {
			best, bestScore = m.ID, score
		}
	}

	return best
}

// rendezvousScore returns the hash by which the members of a service are ranked for a partition; the highest wins.
func rendezvousScore(service string, p int, id instance.ID) uint64 {
	var digest xxhash.Digest

	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0, byte(p)})
	_, _ = digest.WriteString(string(id))

	return digest.Sum64()
}

// appendRetryAt returns when an append that is made now may be repeated.
func (s *State) appendRetryAt() time.Time {
	return s.now.Add(appendRetryDelay + time.Duration(s.random.Int64N(int64(appendRetryDelay))))
}

// extendGrants moves the end of the daemon's grants once per period. Periods are aligned to the clock.
func (s *State) extendGrants() {
	earliest, ok := s.earliestEnd()
	if !ok || s.policy.Grant <= 0 {
		return
	}

	period := s.extensionPeriod()
	if left := time.Duration(earliest-s.nowMillis()) * time.Millisecond; left < s.policy.Grant/shortGrantDivisor {
		period /= shortGrantFactor
	}

	if !s.now.Truncate(period).After(s.extendedAt.Truncate(period)) {
		return
	}

	s.extendedAt = s.now
	s.appendRecord(Record{Extensions: []Extension{{
		Owner: s.self.id, Incarnation: s.self.incarnation,
		Until: s.now.Add(s.policy.Grant).UnixMilli(), Partitions: s.partitionsToExtend(),
	}}})
}

// hasOpenGrant reports whether this daemon holds the last grant of a partition and has not signed it off.
func (s *State) hasOpenGrant() bool {
	for p := range Partitions {
		if last, ok := s.ledger.partition(s.service, p).last(); ok && !last.Ended && s.isOwn(last) {
			return true
		}
	}

	return false
}

// earliestEnd returns the earliest end of the grants that this daemon extends, in Unix milliseconds. It returns false
// if there are none.
func (s *State) earliestEnd() (int64, bool) {
	earliest := int64(math.MaxInt64)

	for p := range Partitions {
		last, ok := s.ledger.partition(s.service, p).last()
		if ok && last.extensible() && s.isOwn(last) && s.shouldExtend(p, last) {
			earliest = min(earliest, last.Until)
		}
	}

	return earliest, earliest < math.MaxInt64
}

// partitionsToExtend returns the partitions whose grants this daemon extends. It returns none, which stands for all in
// an Extension, if these are all that it holds.
func (s *State) partitionsToExtend() []int {
	var partitions []int

	held := 0

	for p := range Partitions {
		last, ok := s.ledger.partition(s.service, p).last()
		if !ok || !last.extensible() || !s.isOwn(last) {
			continue
		}

		held++

		if s.shouldExtend(p, last) {
			partitions = append(partitions, p)
		}
	}

	if len(partitions) == held {
		return nil
	}

	return partitions
}

// appendBase appends a base before the records that it replaces can expire: once the latest base is in the older half
// of the log, or some seconds after a restart of the ledger.
func (s *State) appendBase() {
	l := &s.ledger
	interval := s.baseRecords + xxhash.Sum64String(string(s.self.id))%s.baseRecords

	due := l.through >= l.baseThrough+interval && l.baseThrough <= l.first+(l.next-l.first)/2
	if !l.started() || !l.caughtUp() || !due && !l.lacksBase() {
		return
	}

	if s.now.Before(s.baseRetryAt) {
		return
	}

	s.baseRetryAt = s.appendRetryAt()
	base := l.base()
	s.appendRecord(Record{Base: &base})
}

// signOffLeftOwners appends the sign-off of owners that left during an outage of the log. The end comes from their
// handovers, before which they stopped admitting keys.
func (s *State) signOffLeftOwners() {
	var record Record

	for p := range Partitions {
		last, ok := s.ledger.partition(s.service, p).last()
		if !ok || last.Ended || s.reachable(s.service, last) {
			continue
		}

		from, ok := s.handovers[daemonRun{last.Owner, last.Incarnation}]
		if !ok || s.now.Before(from.signoffRetryAt) || s.preferredOwner(p, "") != s.self.id {
			continue
		}

		from.signoffRetryAt = s.appendRetryAt()
		record.Signoffs = append(record.Signoffs, Signoff{
			Owner: last.Owner, Incarnation: last.Incarnation, End: from.end,
		})
	}

	if !record.Empty() {
		s.appendRecord(record)
	}
}

// searchMember returns the index of a member in a list that is sorted by ID, and whether the list contains it.
func searchMember(members []instance.Member, id instance.ID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(m instance.Member, id instance.ID) int {
		return strings.Compare(string(m.ID), string(id))
	})
}
