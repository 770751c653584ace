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
	// extensionShare is the part of the grant length after which it is extended, as a divisor.
	extensionShare = 10
	// hurryShare is the part of the grant length below which a remaining grant is extended hurryFactor
	// times as often, as a divisor. It is reached only after a log outage.
	hurryShare  = 2
	hurryFactor = 6
	// appendRetry is the time after which an append that was not read back is repeated; the delay is
	// jittered by up to as much again, so that the daemons do not append together after an outage.
	appendRetry = 5 * time.Second
)

// claim asks for partitions that need a new owner and of which this daemon is the rendezvous choice.
func (s *State) claim() {
	if s.policy.Grant <= 0 || !s.ledger.heard || !s.ledger.caughtUp() {
		return
	}

	index := map[[2]int64]int{}

	var record Record

	for p := range Partitions {
		from, ok := s.claimable(p)
		if !ok || s.now.Before(s.claimed[p]) {
			continue
		}

		until := max(from, s.milliseconds()) + s.policy.Grant.Milliseconds()
		s.claimed[p] = s.retryTime()

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

	// The claims end a grant length from now, so the first extension is due in the next period.
	if !s.holds() {
		s.extended = s.now
	}

	s.emit(AppendGrants{Record: record})
}

// claimable reports whether this daemon should claim a partition, and from which issue time on. The
// claim starts where the last grant ends, so that a claimant with a wrong clock leaves no gap.
func (s *State) claimable(p int) (int64, bool) {
	last, ok := s.ledger.partition(s.service, p).last()
	if !ok {
		// Of daemons that start together, the first must not claim everything.
		settled := s.now.Sub(s.changed) >= s.settle

		return max(0, s.milliseconds()-s.policy.Window.Milliseconds()), settled && s.chosen(p, "", 0)
	}

	now := s.milliseconds()
	period := max(1, s.policy.Grant.Milliseconds()/extensionShare)
	// The extension periods without an owner while the log could be read.
	overdue := int(max(0, min(now-last.Until, now-s.logSince.UnixMilli())) / period)

	switch {
	case last.Ended:
		return last.Until, s.chosen(p, "", overdue)
	case s.mine(last):
		return 0, false
	case !s.usable(s.service, last) || s.chosen(p, "", 0):
		// The owner is lost, or does not extend because this daemon is the choice.
		return last.Until, now >= last.Until-period && s.chosen(p, "", overdue)
	default:
		// The owner lives but does not extend, for example because its appends are lost. After an outage
		// it gets a period to extend.
		return last.Until, overdue > 0 && s.chosen(p, last.Owner, overdue-1)
	}
}

// noteRead notes the end of a log outage. The log is read at least once in two extension periods, because
// each owner appends once in a period.
func (s *State) noteRead() {
	if s.now.Sub(s.logRead) > 2*s.policy.Grant/extensionShare {
		s.logSince = s.now
	}

	s.logRead = s.now
}

// chosen reports whether this daemon is the rendezvous choice, or one of the next choices while the first
// ones have left the partition without an owner, for example because their clocks are behind.
func (s *State) chosen(p int, except instance.ID, overdue int) bool {
	own, member := rendezvous(s.service, p, s.self.id), false

	for _, m := range s.members[s.service] {
		if !m.Usable() || m.ID == except {
			continue
		}

		member = member || m.ID == s.self.id
		if rendezvous(s.service, p, m.ID) > own {
			overdue--
		}
	}

	return member && overdue >= 0
}

// keeps reports whether this daemon extends its grant of a partition. A partition whose rendezvous choice
// is another member passes to that one at the end of the grant, so that the owners of a service stay
// balanced when members come and go; its keys stay here. The choice has half the time in which it can
// claim; after that the grant is extended, because the choice may be unable to reach the log.
func (s *State) keeps(p int, last Grant) bool {
	left := last.Until - s.milliseconds()

	return s.choice(p, "") == s.self.id || left < s.policy.Grant.Milliseconds()/extensionShare/2
}

// choice returns the rendezvous choice for a partition among the usable members of the service.
func (s *State) choice(p int, except instance.ID) instance.ID {
	var best instance.ID

	score := uint64(0)

	for _, m := range s.members[s.service] {
		if !m.Usable() || m.ID == except {
			continue
		}

		if own := rendezvous(s.service, p, m.ID); best == "" || own > score {
			best, score = m.ID, own
		}
	}

	return best
}

func rendezvous(service string, p int, id instance.ID) uint64 {
	var digest xxhash.Digest

	digest.Reset()
	_, _ = digest.WriteString(service)
	_, _ = digest.Write([]byte{0, byte(p)})
	_, _ = digest.WriteString(string(id))

	return digest.Sum64()
}

// retryTime returns when an append may be repeated.
func (s *State) retryTime() time.Time {
	return s.now.Add(appendRetry + time.Duration(s.random.Int64N(int64(appendRetry))))
}

// extend moves the end of the grants once per period. Periods are aligned to the clock.
func (s *State) extend() {
	earliest, ok := s.earliestEnd()
	if !ok || s.policy.Grant <= 0 {
		return
	}

	period := s.policy.Grant / extensionShare
	if remaining := time.Duration(earliest-s.milliseconds()) * time.Millisecond; remaining < s.policy.Grant/hurryShare {
		period /= hurryFactor
	}

	if !s.now.Truncate(period).After(s.extended.Truncate(period)) {
		return
	}

	s.extended = s.now
	s.emit(AppendGrants{Record: Record{Extensions: []Extension{{
		Owner: s.self.id, Incarnation: s.self.incarnation,
		Until: s.now.Add(s.policy.Grant).UnixMilli(), Partitions: s.kept(),
	}}}})
}

// holds reports whether this daemon has a grant that is not signed off.
func (s *State) holds() bool {
	for p := range Partitions {
		if last, ok := s.ledger.partition(s.service, p).last(); ok && !last.Ended && s.mine(last) {
			return true
		}
	}

	return false
}

// earliestEnd returns the first end of the grants that this daemon extends.
func (s *State) earliestEnd() (int64, bool) {
	earliest := int64(math.MaxInt64)

	for p := range Partitions {
		last, ok := s.ledger.partition(s.service, p).last()
		if ok && !last.Ended && s.mine(last) && s.keeps(p, last) {
			earliest = min(earliest, last.Until)
		}
	}

	return earliest, earliest < math.MaxInt64
}

// kept returns the partitions that this daemon extends, or none if that is all that it holds.
func (s *State) kept() []int {
	var kept []int

	held := 0

	for p := range Partitions {
		last, ok := s.ledger.partition(s.service, p).last()
		if !ok || last.Ended || !s.mine(last) {
			continue
		}

		held++

		if s.keeps(p, last) {
			kept = append(kept, p)
		}
	}

	if len(kept) == held {
		return nil
	}

	return kept
}

// fillBase writes a base before the records that it replaces can expire: once the latest base is in the
// older half of the log.
func (s *State) fillBase() {
	l := &s.ledger
	spread := s.baseRecords + xxhash.Sum64String(string(s.self.id))%s.baseRecords

	if !l.caughtUp() || l.through < l.baseThrough+spread || l.baseThrough > l.first+(l.next-l.first)/2 {
		return
	}

	if s.now.Before(s.based) {
		return
	}

	s.based = s.retryTime()
	base := l.base()
	s.emit(AppendGrants{Record: Record{Base: &base}})
}

// signoffForOthers appends the sign-off of an owner that left during a log outage and whose handover
// carries the end. The owner stopped accepting before it sent the handover.
func (s *State) signoffForOthers() {
	var record Record

	for p := range Partitions {
		last, ok := s.ledger.partition(s.service, p).last()
		if !ok || last.Ended || s.reachable(s.service, last) {
			continue
		}

		from, ok := s.received[run{last.Owner, last.Incarnation}]
		if !ok || s.now.Before(from.retry) || s.choice(p, "") != s.self.id {
			continue
		}

		from.retry = s.retryTime()
		record.Signoffs = append(record.Signoffs, Signoff{
			Owner: last.Owner, Incarnation: last.Incarnation, End: from.end,
		})
	}

	if !record.Empty() {
		s.emit(AppendGrants{Record: record})
	}
}

// searchMember finds a member in a list that is sorted by ID.
func searchMember(members []instance.Member, id instance.ID) (int, bool) {
	return slices.BinarySearchFunc(members, id, func(m instance.Member, id instance.ID) int {
		return strings.Compare(string(m.ID), string(id))
	})
}
