package keys

import (
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/store"
)

const (
	// minClockMargin is the least difference between the clocks of two daemons that a barrier allows for.
	minClockMargin = 5 * time.Second
	// restartDelay and carryDelay are the mean delays, for each known member, before a daemon restarts the ledger and
	// before it carries its grants over. They keep the daemons of a fleet from all appending at once.
	restartDelay = 20 * time.Millisecond
	carryDelay   = 10 * time.Millisecond
)

// started reports whether the records of the present epoch take effect. In a log that has never come back they always
// do, and afterwards once somebody has restarted the ledger.
func (l *ledger) started() bool { return !l.unknown && l.belongs(l.id) }

// belongs reports whether a ledger is one of the present epoch.
func (l *ledger) belongs(id LedgerID) bool {
	if id == (LedgerID{}) {
		return l.epoch <= store.FirstEpoch && !l.held.returned
	}

	return id.Epoch == l.epoch
}

// restarts reports whether a record restarts the ledger.
func (l *ledger) restarts(r Record) bool { return r.Restart != nil && r.Restart.Epoch == l.epoch }

// applyRestart begins a ledger unless the restart was appended late. A daemon that has not seen all records since the
// restart was decided cannot tell, and waits for a base or another restart.
func (l *ledger) applyRestart(offset uint64, r Restart) {
	late := r.Through < l.activeThrough && l.activeThrough > l.knownFrom
	unknown := !late && r.Through < l.knownFrom
	l.activeThrough = offset + 1

	if !late {
		l.held.rememberOwners(l.services)
	}

	switch {
	case late:
	case unknown:
		l.begin(LedgerID{}, 0)
		l.unknown = true
	default:
		l.begin(LedgerID{Epoch: l.epoch, Start: offset}, r.Barrier)
	}
}

// applyBacklog applies the records that are left of the log, without those before them, which have expired.
func (l *ledger) applyBacklog() {
	records := l.backlog
	l.through, l.incomplete, l.backlog = records[0].Offset, false, nil
	l.knownFrom, l.activeThrough = l.through, l.through
	l.unknown = true
	l.applyAll(records)
}

// begin replaces the ledger by an empty one. The daemon's own grants remain valid, because it has read them back.
func (l *ledger) begin(id LedgerID, barrier int64) {
	l.held.keep(l)

	l.id, l.barrier, l.baseThrough, l.unknown = id, barrier, id.Start, false
	l.services = map[string]*[Partitions]history{}
}

// changeEpoch handles a newer epoch of the store. What the log holds now is not what the ledger follows from.
func (l *ledger) changeEpoch(epoch store.Epoch) {
	if l.epoch == 0 && !l.initialized {
		// Nothing was read yet.
		l.epoch = epoch

		return
	}

	l.held.keep(l)
	l.held.rememberOwners(l.services)

	held := l.held
	held.returned = true
	*l = ledger{services: map[string]*[Partitions]history{}, epoch: epoch, held: held}
}

// carry adds the grants of a claim from a base or of an earlier ledger. A grant that overlaps with another one is
// ignored.
func (l *ledger) carry(c Claim) {
	if !c.valid() {
		return
	}

	g := Grant{
		Owner: c.Owner, Incarnation: c.Incarnation, From: c.From, Until: c.Until, Ended: c.Ended, Uncertain: c.Uncertain,
	}

	for _, p := range c.Partitions {
		if p < 0 || p >= Partitions {
			continue
		}

		overlaps := func(other Grant) bool {
			return g.From < other.Until && other.From < g.Until || g.From == other.From && g.heldBy(other.Owner, other.Incarnation)
		}
		if !slices.ContainsFunc(l.partition(c.Service, p), overlaps) {
			l.insert(c.Service, p, g)
		}
	}
}

// histories returns the grants of a partition, first those of the ledger and then those of the previous ledger, if the
// store has come back from an older copy.
func (l *ledger) histories(service string, p int) []history {
	all := []history{l.partition(service, p)}
	if partitions, ok := l.held.previous[service]; ok {
		all = append(all, partitions[p])
	}

	return all
}

// heldGrants are the grants of earlier ledgers that one daemon has read back and still holds. No other daemon can hold
// the same issue times: in an earlier ledger the log has decided, and later grants start at the barrier or where an
// earlier owner says that nobody follows it.
type heldGrants struct {
	service string
	self    daemonRun
	// returned is set once the daemon has seen the store come back from an older copy.
	returned   bool
	partitions [Partitions][]heldGrant
	// previous holds the grants of all daemons in the last ledger before the present one, to find the owners of keys. It
	// decides nothing.
	previous map[string]*[Partitions]history
}

// heldGrant is a grant of an earlier ledger.
type heldGrant struct {
	Grant
	// last is set if it was the last grant of its partition and could be extended.
	last bool
}

// keep adds the daemon's own grants in a ledger that ends.
func (h *heldGrants) keep(l *ledger) {
	for p := range Partitions {
		grants := l.partition(h.service, p)

		for i, g := range grants {
			if !g.heldBy(h.self.id, h.self.incarnation) {
				continue
			}

			h.partitions[p] = slices.DeleteFunc(h.partitions[p], func(earlier heldGrant) bool { return earlier.From == g.From })
			h.partitions[p] = append(h.partitions[p], heldGrant{Grant: g, last: i == len(grants)-1 && g.extensible()})
		}
	}
}

// rememberOwners keeps the grants of a ledger that ends as those of the previous ledger, unless it has none.
func (h *heldGrants) rememberOwners(services map[string]*[Partitions]history) {
	if len(services) > 0 {
		h.previous = services
	}
}

// fence ends the held grants of a partition where another daemon's grant starts.
func (h *heldGrants) fence(service string, p int, g Grant) {
	if service != h.service || g.heldBy(h.self.id, h.self.incarnation) {
		return
	}

	for i := range h.partitions[p] {
		held := &h.partitions[p][i]
		if held.From < g.Until && g.From < held.Until {
			held.Until, held.last = max(held.From, g.From), false
		}
	}
}

// covers reports whether the daemon holds a grant for a key.
func (h *heldGrants) covers(key Key) bool {
	return slices.ContainsFunc(h.partitions[key.Partition], func(g heldGrant) bool { return g.covers(key.Issued) })
}

// forget drops grants for issue times before the floor of the key table.
func (h *heldGrants) forget(floor int64) {
	for p := range h.partitions {
		h.partitions[p] = slices.DeleteFunc(h.partitions[p], func(g heldGrant) bool { return g.Until <= floor })
	}
}

// changeEpoch handles a newer epoch of the store.
func (s *State) changeEpoch(epoch store.Epoch) {
	if epoch <= s.ledger.epoch {
		return
	}

	s.ledger.changeEpoch(epoch)
	s.restartAt, s.carryAt = time.Time{}, time.Time{}
}

// noteLedger delays the first base of a ledger that has begun, so that it holds the grants that are carried over.
func (s *State) noteLedger() {
	if s.ledgerID == s.ledger.id {
		return
	}

	s.ledgerID, s.baseRetryAt = s.ledger.id, s.appendRetryAt()
	s.carryAt = time.Time{}
}

// lacksBase reports whether no base follows the restart of the ledger. Without one, the restart could expire before
// enough records for a base have come.
func (l *ledger) lacksBase() bool { return l.id != (LedgerID{}) && l.baseThrough <= l.id.Start }

// spreadDelay returns a random time with the given mean for each known member.
func (s *State) spreadDelay(perMember time.Duration) time.Duration {
	members := 1
	for _, of := range s.members {
		members += len(of)
	}

	return time.Duration(s.random.Int64N(2 * int64(perMember) * int64(members)))
}

// extensionPeriod is the time between two extensions of a grant.
func (s *State) extensionPeriod() time.Duration { return s.policy.Grant / extensionsPerGrant }

// clockMargin is how much the clocks of two daemons are assumed to differ at most when the store comes back.
func (s *State) clockMargin() time.Duration { return max(minClockMargin, 2*s.policy.Tolerance) }

// restartLedger appends a restart if the store has come back from an older copy and nobody has restarted the ledger.
func (s *State) restartLedger() {
	l := &s.ledger
	if l.started() || !l.initialized || s.policy.Grant <= 0 {
		return
	}

	if s.restartAt.IsZero() {
		s.restartAt = s.now.Add(s.spreadDelay(restartDelay))

		if l.incomplete {
			// The restart may have expired. Then a base follows soon.
			s.restartAt = s.appendRetryAt()
		}
	}

	if s.now.Before(s.restartAt) {
		return
	}

	s.restartAt = s.appendRetryAt()
	s.emit(AppendGrants{Record: Record{Restart: &Restart{
		Epoch: l.epoch, Through: l.nextOffset(), Barrier: s.barrier(),
	}}})
}

// barrier returns the issue time in Unix milliseconds from which no daemon can hold a grant that was made until now. A
// grant is claimed at most one extension period before it starts.
func (s *State) barrier() int64 {
	length := s.policy.Grant + s.extensionPeriod()
	barrier := s.now.Add(length).UnixMilli()

	for _, partitions := range s.ledger.held.previous {
		for _, h := range partitions {
			for _, g := range h {
				barrier = max(barrier, g.Until)
			}
		}
	}

	return barrier + s.clockMargin().Milliseconds()
}

// carryGrants appends the held grants that the ledger lacks.
func (s *State) carryGrants() {
	claims := s.missingGrants()
	if len(claims) == 0 || !s.ledger.caughtUp() {
		s.carryAt = time.Time{}

		return
	}

	if s.carryAt.IsZero() {
		s.carryAt = s.now.Add(s.spreadDelay(carryDelay))
	}

	if s.now.Before(s.carryAt) {
		return
	}

	s.carryAt = s.appendRetryAt()
	s.appendRecord(Record{Carried: claims})
}

// missingGrants returns the held grants that the ledger lacks. A grant that was fenced may differ from the one in the
// ledger; it is not appended again.
func (s *State) missingGrants() []Claim {
	if !s.ledger.started() {
		return nil
	}

	var claims []Claim

	for p, grants := range s.ledger.held.partitions {
		h := s.ledger.partition(s.service, p)

		for _, held := range grants {
			if s.drain.started {
				held.Until, held.last = min(held.Until, s.drain.end), false
			}

			present := slices.ContainsFunc(h, func(g Grant) bool { return g.From < held.Until && held.From < g.Until })
			if present || held.From >= held.Until || len(h) == historyLength && held.From < h[0].From {
				continue
			}

			claims = appendClaim(claims, s.carriedGrant(held), s.service, p)
		}
	}

	return claims
}

// carriedGrant returns a held grant as it is carried over. It can be extended only if nobody can have claimed what
// follows it: a claim is made in the last extension period of the grant before it.
func (s *State) carriedGrant(held heldGrant) Grant {
	g := held.Grant
	certain := s.now.Add(s.extensionPeriod()+s.clockMargin()).UnixMilli() < g.Until
	g.Ended, g.Uncertain = false, !held.last || !certain

	return g
}

// appendClaim adds a grant of a partition to claims. Equal grants share one claim.
func appendClaim(claims []Claim, g Grant, service string, p int) []Claim {
	for i := range claims {
		c := &claims[i]
		if c.From == g.From && c.Until == g.Until && c.Uncertain == g.Uncertain {
			c.Partitions = append(c.Partitions, p)

			return claims
		}
	}

	return append(claims, g.claim(service, p))
}
