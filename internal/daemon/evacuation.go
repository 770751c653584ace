package daemon

import (
	"maps"
	"slices"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// evacuationRecords holds the offset of the newest record of each evacuated failure domain, as the store has them.
type evacuationRecords map[string]int64

// update applies the records of a page, and returns the domains whose evacuation they end. A list replaces all earlier
// records, but may hold records that a later read returns once more.
func (e evacuationRecords) update(page store.Page, listed bool, toDomain func(key string) (string, bool)) []string {
	if listed {
		clear(e)
	}

	var ended []string

	for _, record := range page.Records {
		domain, isEvacuation := toDomain(record.Key)

		if known, evacuated := e[domain]; !isEvacuation || evacuated && record.Offset < known {
			continue
		}

		if len(record.Value) > 0 {
			e[domain] = record.Offset
			ended = slices.DeleteFunc(ended, func(other string) bool { return other == domain })

			continue
		}

		delete(e, domain)

		ended = append(ended, domain)
	}

	return ended
}

// readEvacuations returns the event for the evacuated domains after a page, which the follower has just read.
func (f *follower) readEvacuations(page store.Page) core.EvacuationsRead {
	toDomain := f.daemon.platform.EvacuatedDomain
	if toDomain == nil {
		return core.EvacuationsRead{At: f.next}
	}

	if f.evacuated == nil {
		f.evacuated = make(evacuationRecords)
	}

	ended := f.evacuated.update(page, f.listed, toDomain)

	return core.EvacuationsRead{
		At: f.next, Domains: slices.Sorted(maps.Keys(f.evacuated)), Ended: ended, Incomplete: f.repeatsList(page),
	}
}

// logEvacuations logs a change of the evacuated failure domains.
func (d *Daemon) logEvacuations(e core.EvacuationsChanged) {
	d.log.Warn(eventlog.Evacuation).Strs("began", e.Began).Strs("ended", e.Ended).Strs("evacuated", e.Domains).
		Bool("own", e.Own).Uint64("epoch", uint64(e.At.Epoch)).Int64("offset", e.At.Offset).Send()
}

// exportEvacuations exports the number of evacuated failure domains, and whether that of the daemon is one of them.
func (m *metrics) exportEvacuations(state core.Dump) {
	own := 0.0
	if state.OwnEvacuated {
		own = 1
	}

	m.scope.Gauge("evacuated").Update(float64(len(state.Evacuated)))
	m.scope.Gauge("server_evacuated").Update(own)
}
