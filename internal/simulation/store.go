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
	// storeCallTime is how long the store takes for a call, in addition to the round trip.
	storeCallTime = 4 * time.Millisecond
	// storeTimeout is the time after which a daemon considers a call failed.
	storeTimeout = 2 * time.Second
	// manifestRetryDelay is the time until a daemon reads the configuration again after a failed call.
	manifestRetryDelay = time.Second
)

// platformStore models the platform's store: the newest membership entry of each daemon, and the configuration.
type platformStore struct {
	fleet   *Fleet
	outages int
	entries map[instance.ID]membership.Entry
	version uint64
	// callCount counts all calls of the run, failed ones included.
	callCount int
}

// call makes a call from a daemon process to the store. When the call ends, the process runs onSuccess or onFailure.
func (s *platformStore) call(p *process, onSuccess func(), onFailure func()) {
	s.callCount++
	clock := &s.fleet.clock

	if s.outages > 0 || s.fleet.network.cutFaults[p.daemon] > 0 {
		clock.scheduleAfter(storeTimeout, func() { p.dispatch(onFailure) })

		return
	}

	clock.scheduleAfter(storeCallTime+2*s.delayFrom(p.daemon), func() { p.dispatch(onSuccess) })
}

func (s *platformStore) delayFrom(d *daemon) time.Duration {
	if d.place.Region != s.fleet.daemons[0].place.Region {
		return crossRegionDelay
	}

	return sameRegionDelay
}

func (s *platformStore) readEntries(p *process) {
	s.call(p, func() {
		read := membership.EntriesRead{}
		for _, entry := range s.entries {
			read.Entries = append(read.Entries, entry)
		}

		slices.SortFunc(read.Entries, func(a, b membership.Entry) int { return cmp.Compare(a.Member.ID, b.Member.ID) })
		p.apply(read)
	}, func() { p.apply(membership.EntriesRead{Failed: true}) })
}

func (s *platformStore) writeEntry(p *process, entry membership.Entry) {
	s.call(p, func() {
		s.entries[entry.Member.ID] = entry
		p.apply(membership.EntryWritten{})
	}, func() { p.apply(membership.EntryWritten{Failed: true}) })
}

// readManifest reads the configuration and retries until a call succeeds.
func (s *platformStore) readManifest(p *process) {
	s.call(p, func() {
		p.apply(core.ManifestRead{Version: s.version, Manifest: s.fleet.manifest})
	}, func() {
		s.fleet.clock.scheduleAfter(manifestRetryDelay, func() {
			if !p.ended {
				s.readManifest(p)
			}
		})
	})
}

// publish puts a new version of the configuration into the store. Daemons keep a call open for it, so they read it at
// once.
func (s *platformStore) publish() {
	s.version++

	for _, d := range s.fleet.daemons {
		if d.process != nil && s.outages == 0 {
			s.readManifest(d.process)
		}
	}
}

// newManifest returns the configuration for a pattern.
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
