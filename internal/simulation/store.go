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
	storeTime = 4 * time.Millisecond
	// storeTimeout is when a daemon takes a call for failed.
	storeTimeout = 2 * time.Second
	// storePause is the time between two calls for the configuration after a failure.
	storePause = time.Second
)

// metadata is the platform's store: the newest entry of each daemon, and the configuration.
type metadata struct {
	fleet   *Fleet
	down    int
	entries map[instance.ID]membership.Entry
	version uint64
	// calls counts all calls.
	calls int
}

// call performs a call of a daemon and reports its end to the run that made it.
func (m *metadata) call(r *run, answered func(), failed func()) {
	m.calls++
	clock := &m.fleet.clock

	if m.down > 0 || m.fleet.network.cut[r.daemon] > 0 {
		clock.after(storeTimeout, func() { r.receive(failed) })

		return
	}

	clock.after(storeTime+2*m.delay(r.daemon), func() { r.receive(answered) })
}

func (m *metadata) delay(d *daemon) time.Duration {
	if d.place.Region != m.fleet.daemons[0].place.Region {
		return remoteDelay
	}

	return regionDelay
}

func (m *metadata) readEntries(r *run) {
	m.call(r, func() {
		read := membership.EntriesRead{}
		for _, entry := range m.entries {
			read.Entries = append(read.Entries, entry)
		}

		slices.SortFunc(read.Entries, func(a, b membership.Entry) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
		r.apply(read)
	}, func() { r.apply(membership.EntriesRead{Failed: true}) })
}

func (m *metadata) writeEntry(r *run, entry membership.Entry) {
	m.call(r, func() {
		m.entries[entry.Member.ID] = entry
		r.apply(membership.EntryWritten{})
	}, func() { r.apply(membership.EntryWritten{Failed: true}) })
}

// readManifest reads the configuration until there is one.
func (m *metadata) readManifest(r *run) {
	m.call(r, func() {
		r.apply(core.ManifestRead{Version: m.version, Manifest: m.fleet.manifest})
	}, func() {
		m.fleet.clock.after(storePause, func() {
			if !r.ended {
				m.readManifest(r)
			}
		})
	})
}

// publish puts a new version in force, which waiting calls of the daemons return.
func (m *metadata) publish() {
	m.version++

	for _, d := range m.fleet.daemons {
		if d.run != nil && m.down == 0 {
			m.readManifest(d.run)
		}
	}
}

// manifestOf is the configuration of a pattern.
func manifestOf(p Pattern) manifest.Manifest {
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
