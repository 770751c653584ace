package keys

import (
	"slices"
)

const (
	// historyLength is the number of grants kept for each partition. Keys of earlier grants are in doubt.
	historyLength = 4
	// backlogLimit is the maximum number of records kept while a reader looks for a usable base.
	backlogLimit = 1 << 16
)

// history holds the latest grants of one partition in log order.
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
}

func newLedger() ledger { return ledger{services: map[string]*[Partitions]history{}} }

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

// recoverFromBacklog adopts the first base in the backlog for which all following records are present.
func (l *ledger) recoverFromBacklog() {
	for _, e := range l.backlog {
		if b := e.Record.Base; b != nil && b.Through <= e.Offset && l.adoptBase(*b) {
			return
		}
	}
}

// adoptBase replaces the state by a base that is ahead of it, unless records after the base have expired. It reports
// whether it did so.
func (l *ledger) adoptBase(base Base) bool {
	if base.Through < l.first || base.Through <= l.through {
		return false
	}

	l.services = map[string]*[Partitions]history{}
	for _, c := range base.Grants {
		l.acceptClaim(c)
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
			l.apply(e.Record)
			l.through++
		}
	}

	l.next = max(l.next, l.through)
}

// apply applies one record. Only claims inside a base may be ended.
func (l *ledger) apply(r Record) {
	if len(r.Signoffs)+len(r.Extensions) > 0 {
		l.moveEnds(r)
	}

	for _, c := range r.Claims {
		c.Ended = false
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
		if !g.Ended && e.covers(partition) {
			g.Until = max(g.Until, e.Until)
		}
	}
}

// acceptClaim adds a grant for each partition of a claim whose last grant ends at or before the start of the claim. It
// ignores invalid claims.
func (l *ledger) acceptClaim(c Claim) {
	if c.Service == "" || c.Owner == "" || c.From < 0 || c.From > c.Until || (c.From == c.Until && !c.Ended) {
		return
	}

	for _, p := range c.Partitions {
		if p < 0 || p >= Partitions {
			continue
		}

		partitions, ok := l.services[c.Service]
		if !ok {
			partitions = new([Partitions]history)
			l.services[c.Service] = partitions
		}

		if last, held := partitions[p].last(); held && c.From < last.Until {
			continue
		}

		h := partitions[p]
		if len(h) == historyLength {
			h = slices.Clone(h[1:])
		}

		partitions[p] = append(h, Grant{
			Owner: c.Owner, Incarnation: c.Incarnation, From: c.From, Until: c.Until, Ended: c.Ended,
		})
	}
}

// base returns all grants as a base. Equal grants of a service share one claim.
func (l *ledger) base() Base {
	b := Base{Through: l.through}

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
				b.Grants = append(b.Grants, Claim{
					Service: service, Partitions: []int{p}, Owner: g.Owner, Incarnation: g.Incarnation,
					From: g.From, Until: g.Until, Ended: g.Ended,
				})
			}
		}
	}

	return b
}
