package simulation

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	storeCallTime = 4 * time.Millisecond
	// storeTimeout is when a daemon takes a call for failed.
	storeTimeout = 2 * time.Second
	// storePause is the time between two calls for the configuration after a failure.
	manifestRetryDelay = time.Second
)

// metadata is the platform's store: the newest entry of each daemon, and the configuration.
type platformStore struct {
	fleet   *Fleet
	outages int
	entries map[instance.ID]membership.Entry
	version uint64
	// calls counts all calls.
	callCount int
}

// call performs a call of a daemon and reports its end to the run that made it.
func (m *platformStore) call(r *process, answered func(), failed func()) {
	m.callCount++
	clock := &m.fleet.clock

	if m.outages > 0 || m.fleet.network.cutFaults[r.daemon] > 0 {
		clock.scheduleAfter(storeTimeout, func() { r.dispatch(failed) })

		return
	}

	clock.scheduleAfter(storeCallTime+2*m.delayFrom(r.daemon), func() { r.dispatch(answered) })
}

func (m *platformStore) delayFrom(d *daemon) time.Duration {
	if d.place.Region != m.fleet.daemons[0].place.Region {
		return crossRegionDelay
	}

	return sameRegionDelay
}

func (m *platformStore) readEntries(r *process) {
	m.call(r, func() {
		read := membership.EntriesRead{}
		for _, entry := range m.entries {
			read.Entries = append(read.Entries, entry)
		}

		slices.SortFunc(read.Entries, func(a, b membership.Entry) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
		r.apply(read)
	}, func() { r.apply(membership.EntriesRead{Failed: true}) })
}

func (m *platformStore) writeEntry(r *process, entry membership.Entry) {
	m.call(r, func() {
		m.entries[entry.Member.ID] = entry
		r.apply(membership.EntryWritten{})
	}, func() { r.apply(membership.EntryWritten{Failed: true}) })
}

// readManifest reads the configuration until there is one.
func (m *platformStore) readManifest(r *process) {
	m.call(r, func() {
		r.apply(core.ManifestRead{Version: m.version, Manifest: m.fleet.manifest})
	}, func() {
		m.fleet.clock.scheduleAfter(manifestRetryDelay, func() {
			if !r.ended {
				m.readManifest(r)
			}
		})
	})
}

// publish puts a new version in force, which waiting calls of the daemons return.
func (m *platformStore) publish() {
	m.version++

	for _, d := range m.fleet.daemons {
		if d.process != nil && m.outages == 0 {
			m.readManifest(d.process)
		}
	}
}

// manifestOf is the configuration of a pattern.
func newManifest(p Pattern) manifest.Manifest {
	m := manifest.Manifest{}

	for _, service := range p.Services {
		m.Services = append(m.Services, manifest.Service{
			Name: service.Name, Retry: manifest.Retry{Attempts: maxAttempts},
			Budget: manifest.Budget{Unlimited: true}, Hedge: manifest.Hedge{Share: 1},
		})
	}

	slices.SortFunc(m.Services, func(a, b manifest.Service) int { return cmp.Compare(a.Name, b.Name) })

	return m
}
