package keys

import (
	"slices"
)

const (
	// historyLength is the number of grants kept per partition. Keys of earlier grants are in doubt.
	historyLength = 4
	// backlogLimit bounds the records kept while a reader looks for a usable base.
	backlogLimit = 1 << 16
)

// history holds the latest grants of one partition in log order.
type history []Grant

func (h history) last() (Grant, bool) {
	if len(h) == 0 {
		return Grant{}, false
	}

	return h[len(h)-1], true
}

// covering returns the grant that holds an issue time. Grants of a partition never overlap.
func (h history) covering(issued int64) (Grant, bool) {
	for _, g := range slices.Backward(h) {
		if g.covers(issued) {
			return g, true
		}
	}

	return Grant{}, false
}

// ledger replays the stream "grants".
type ledger struct {
	services map[string]*[Partitions]history
	// through is the offset after the last record applied.
	through uint64
	// first and next are the highest bounds of the log that were heard of.
	first, next uint64
	// heard is set after the first answer of the log or base.
	heard bool
	// lost is set while records that were not applied have expired.
	lost bool
	// backlog holds contiguous records from the first available one on, while lost is set.
	backlog []Entry
	// baseThrough is the Through of the latest base seen in the log.
	baseThrough uint64
}

func newLedger() ledger { return ledger{services: map[string]*[Partitions]history{}} }

func (l *ledger) partition(service string, partition int) history {
	if partitions, ok := l.services[service]; ok {
		return partitions[partition]
	}

	return nil
}

// caughtUp reports whether everything known to be in the log was applied.
func (l *ledger) caughtUp() bool { return !l.lost && l.through >= l.next }

// wanted is the offset from which the log has to be read.
func (l *ledger) wanted() uint64 {
	if !l.lost {
		return l.through
	}

	if n := len(l.backlog); n > 0 {
		return l.backlog[n-1].Offset + 1
	}

	return l.first
}

// read applies records in offset order. Records before the reader's position are old data and are
// skipped; records after it are skipped too unless those between have expired.
func (l *ledger) read(first uint64, records []Entry, next uint64) {
	l.heard = true
	l.first, l.next = max(l.first, first), max(l.next, next)

	if l.first > l.through {
		l.lost = true
	}

	if !l.lost {
		l.applyAll(records)

		return
	}

	l.backlog = slices.DeleteFunc(l.backlog, func(e Entry) bool { return e.Offset < l.first })
	for _, e := range records {
		if e.Offset == l.wanted() && len(l.backlog) < backlogLimit {
			l.backlog = append(l.backlog, e)
		}
	}

	l.recover()
}

// recover looks in the backlog for a base whose following records are all present.
func (l *ledger) recover() {
	for _, e := range l.backlog {
		if b := e.Record.Base; b != nil && b.Through <= e.Offset && l.adopt(*b) {
			return
		}
	}
}

// adopt replaces the state by a base that is ahead, if no record after it has expired.
func (l *ledger) adopt(base Base) bool {
	if base.Through < l.first || base.Through <= l.through {
		return false
	}

	l.services = map[string]*[Partitions]history{}
	for _, c := range base.Grants {
		l.claim(c)
	}

	records := l.backlog
	l.heard = true
	l.through, l.lost, l.backlog = base.Through, false, nil
	l.baseThrough = max(l.baseThrough, base.Through)
	l.applyAll(records)

	return true
}

func (l *ledger) applyAll(records []Entry) {
	for _, e := range records {
		if e.Offset == l.through {
			l.apply(e.Record)
			l.through++
		}
	}

	l.next = max(l.next, l.through)
}

func (l *ledger) apply(r Record) {
	if len(r.Signoffs)+len(r.Extensions) > 0 {
		l.moveEnds(r)
	}

	for _, c := range r.Claims {
		c.Ended = false
		l.claim(c)
	}

	if r.Base != nil {
		l.baseThrough = max(l.baseThrough, r.Base.Through)
	}
}

// moveEnds applies sign-offs and extensions to the last grant of each partition. It passes over the
// partitions once for a record, because a record may hold the extensions of many owners. The
// order of the map does not matter, because the partitions are independent.
func (l *ledger) moveEnds(r Record) {
	ends, extensions := map[run]int64{}, map[run][]Extension{}

	for _, s := range r.Signoffs {
		holder := run{s.Owner, s.Incarnation}
		if end, ok := ends[holder]; !ok || s.End < end {
			ends[holder] = s.End
		}
	}

	for _, e := range r.Extensions {
		holder := run{e.Owner, e.Incarnation}
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

func (g *Grant) moveEnd(partition int, ends map[run]int64, extensions map[run][]Extension) {
	holder := run{g.Owner, g.Incarnation}

	if end, ok := ends[holder]; ok {
		g.Until, g.Ended = max(g.From, min(g.Until, end)), true
	}

	for _, e := range extensions[holder] {
		if !g.Ended && e.covers(partition) {
			g.Until = max(g.Until, e.Until)
		}
	}
}

// claim accepts a claim for each partition whose last grant ends at or before the start of the claim.
func (l *ledger) claim(c Claim) {
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

// base returns the state as a base. Equal grants of a service share one claim.
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
