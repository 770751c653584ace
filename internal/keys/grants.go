package keys

import (
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/store"
)

const (
	// historyLength is the number of grants kept for each partition. Keys of earlier grants are in doubt.
	historyLength = 4
	// backlogLimit is the maximum number of records kept while a reader looks for a usable base.
	backlogLimit = 1 << 16
)

// history holds the latest grants of one partition in the order of their issue times.
type history []Grant

// last returns the latest grant; false if there is none.
func (h history) last() (Grant, bool) {
	if len(h) == 0 {
		return Grant{}, false
	}

	return h[len(h)-1], true
}

// covering returns the grant whose range contains an issue time; false if there is none. Grants of a partition never
// overlap.
func (h history) covering(issued int64) (Grant, bool) {
	for _, g := range slices.Backward(h) {
		if g.covers(issued) {
			return g, true
		}
	}

	return Grant{}, false
}

// ledger derives the grants from the records of the stream "grants".
type ledger struct {
	// id is that of the ledger, and epoch the present epoch of the store. While they differ, nobody has restarted the
	// ledger since the store came back from an older copy, and records are without effect.
	id    LedgerID
	epoch store.Epoch
	// barrier is as in Restart.
	barrier int64
	// unknown is set while this daemon cannot tell which ledger is the present one.
	unknown bool
	// knownFrom is the offset from which this daemon has seen all records, and activeThrough the offset after the last one
	// of the present epoch.
	knownFrom, activeThrough uint64
	// services holds the grants of each partition, by service.
	services map[string]*[Partitions]history
	// through is the offset after the last applied record.
	through uint64
	// first is the highest known offset of the oldest record in the log, next the highest known offset after the newest
	// one.
	first, next uint64
	// initialized is set after the first read of the log or the first base.
	initialized bool
	// incomplete is set while the log no longer has all records that were not applied yet.
	incomplete bool
	// backlog holds contiguous records, starting with the first available one, while incomplete is set.
	backlog []Entry
	// baseThrough is the Through of the latest base, from the log or from BaseOffered.
	baseThrough uint64
	// held are the grants of earlier ledgers that this daemon still holds.
	held heldGrants
}

func newLedger(service string, self daemonRun) ledger {
	return ledger{services: map[string]*[Partitions]history{}, held: heldGrants{service: service, self: self}}
}

// partition returns the grants of a partition; nil if there are none.
func (l *ledger) partition(service string, partition int) history {
	if partitions, ok := l.services[service]; ok {
		return partitions[partition]
	}

	return nil
}

// caughtUp reports whether all records known to be in the log were applied.
func (l *ledger) caughtUp() bool { return !l.incomplete && l.through >= l.next }

// nextOffset returns the offset from which the log has to be read.
func (l *ledger) nextOffset() uint64 {
	if !l.incomplete {
		return l.through
	}

	if n := len(l.backlog); n > 0 {
		return l.backlog[n-1].Offset + 1
	}

	return l.first
}

// addRecords applies records that were read from the log. first and next are the bounds of the log as in RecordsRead.
// Records before the reader's position are skipped. Records after a gap are skipped too, unless the records of the gap
// have expired; then they are kept in the backlog until there is a base.
func (l *ledger) addRecords(first uint64, records []Entry, next uint64) {
	l.initialized = true
	l.first, l.next = max(l.first, first), max(l.next, next)

	if l.first > l.through {
		l.incomplete = true
	}

	if !l.incomplete {
		l.applyAll(records)

		return
	}

	l.backlog = slices.DeleteFunc(l.backlog, func(e Entry) bool { return e.Offset < l.first })
	for _, e := range records {
		if e.Offset == l.nextOffset() && len(l.backlog) < backlogLimit {
			l.backlog = append(l.backlog, e)
		}
	}

	l.recoverFromBacklog()
}

// recoverFromBacklog adopts the first base in the backlog for which all following records are present, or begins with the
// first restart.
func (l *ledger) recoverFromBacklog() {
	for _, e := range l.backlog {
		if l.restarts(e.Record) && e.Record.Restart.Through >= l.backlog[0].Offset {
			l.applyBacklog()

			return
		}

		if b := e.Record.Base; b != nil && b.Through <= e.Offset && l.adoptBase(*b) {
			return
		}
	}
}

// adoptBase replaces the state by a base that is ahead of it, unless records after the base have expired. It reports
// whether it did so.
func (l *ledger) adoptBase(base Base) bool {
	if base.Through < l.first || base.Through <= l.through || !l.belongs(base.Ledger) {
		return false
	}

	l.begin(base.Ledger, base.Barrier)
	l.knownFrom, l.activeThrough = base.Through, base.Through

	for _, c := range base.Grants {
		l.carry(c)
	}

	records := l.backlog
	l.initialized = true
	l.through, l.incomplete, l.backlog = base.Through, false, nil
	l.baseThrough = max(l.baseThrough, base.Through)
	l.applyAll(records)

	return true
}

// applyAll applies the records that follow the last applied one without a gap.
func (l *ledger) applyAll(records []Entry) {
	for _, e := range records {
		if e.Offset == l.through {
			l.apply(e)
			l.through++
		}
	}

	l.next = max(l.next, l.through)
}

// apply applies one record. Only claims inside a base may be ended.
func (l *ledger) apply(e Entry) {
	r := e.Record

	if l.restarts(r) {
		l.applyRestart(e.Offset, *r.Restart)

		return
	}

	if l.epoch > 0 && r.Ledger.Epoch == l.epoch {
		l.activeThrough = e.Offset + 1
	}

	if r.Ledger != l.id || !l.started() {
		return
	}

	if len(r.Signoffs)+len(r.Extensions) > 0 {
		l.moveEnds(r)
	}

	for _, c := range r.Carried {
		c.Ended = false
		l.carry(c)
	}

	for _, c := range r.Claims {
		l.acceptClaim(c)
	}

	if r.Base != nil {
		l.baseThrough = max(l.baseThrough, r.Base.Through)
	}
}

// moveEnds applies the sign-offs and extensions of a record to the last grant of each partition. It iterates over the
// partitions only once, because a record may hold the extensions of many owners. The map order does not matter, because
// the partitions are independent.
func (l *ledger) moveEnds(r Record) {
	ends, extensions := map[daemonRun]int64{}, map[daemonRun][]Extension{}

	for _, s := range r.Signoffs {
		holder := daemonRun{s.Owner, s.Incarnation}
		if end, ok := ends[holder]; !ok || s.End < end {
			ends[holder] = s.End
		}
	}

	for _, e := range r.Extensions {
		holder := daemonRun{e.Owner, e.Incarnation}
		extensions[holder] = append(extensions[holder], e)
	}

	for _, partitions := range l.services {
		for p := range partitions {
			if n := len(partitions[p]); n > 0 {
				partitions[p][n-1].moveEnd(p, ends, extensions)
			}
		}
	}
}

// moveEnd applies sign-offs and extensions, which are grouped by owner, to a grant.
func (g *Grant) moveEnd(partition int, ends map[daemonRun]int64, extensions map[daemonRun][]Extension) {
	holder := daemonRun{g.Owner, g.Incarnation}

	if end, ok := ends[holder]; ok {
		g.Until, g.Ended = max(g.From, min(g.Until, end)), true
	}

	for _, e := range extensions[holder] {
		if g.extensible() && e.covers(partition) {
			g.Until = max(g.Until, e.Until)
		}
	}
}

// valid reports whether the fields of a claim make sense.
func (c Claim) valid() bool {
	return c.Service != "" && c.Owner != "" && c.From >= 0 && (c.From < c.Until || c.From == c.Until && c.Ended)
}

// acceptClaim adds a grant for each partition of a claim that starts where the next grant may start, or later. It
// ignores invalid claims.
func (l *ledger) acceptClaim(c Claim) {
	if !c.valid() {
		return
	}

	g := Grant{Owner: c.Owner, Incarnation: c.Incarnation, From: c.From, Until: c.Until}

	for _, p := range c.Partitions {
		if p >= 0 && p < Partitions && c.From >= l.nextStart(c.Service, p) {
			l.insert(c.Service, p, g)
		}
	}
}

// nextStart returns the earliest issue time, in Unix milliseconds, at which the next grant of a partition may start.
func (l *ledger) nextStart(service string, p int) int64 {
	last, ok := l.partition(service, p).last()

	switch {
	case !ok:
		return l.barrier
	case last.Uncertain:
		return max(last.Until, l.barrier)
	default:
		return last.Until
	}
}

// insert adds a grant, which must not overlap with another one, in the order of issue times. Only the latest grants are
// kept.
func (l *ledger) insert(service string, p int, g Grant) {
	partitions, ok := l.services[service]
	if !ok {
		partitions = new([Partitions]history)
		l.services[service] = partitions
	}

	h := partitions[p]
	at := len(h)

	for at > 0 && h[at-1].From > g.From {
		at--
	}

	h = slices.Insert(slices.Clone(h), at, g)
	partitions[p] = h[max(0, len(h)-historyLength):]

	l.held.fence(service, p, g)
}

// base returns all grants as a base. Equal grants of a service share one claim.
func (l *ledger) base() Base {
	b := Base{Through: l.through, Ledger: l.id, Barrier: l.barrier}

	for _, service := range sortedKeys(l.services) {
		partitions := l.services[service]
		for level := range historyLength {
			index := map[Grant]int{}

			for p, h := range partitions {
				if level >= len(h) {
					continue
				}

				g := h[level]
				if at, ok := index[g]; ok {
					b.Grants[at].Partitions = append(b.Grants[at].Partitions, p)

					continue
				}

				index[g] = len(b.Grants)
				b.Grants = append(b.Grants, g.claim(service, p))
			}
		}
	}

	return b
}
