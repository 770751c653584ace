package simulation

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	// storeCallTime is how long the store takes for a call, in addition to the round trip.
	storeCallTime = 4 * time.Millisecond
	// storeTimeout is the time after which a daemon considers a call failed.
	storeTimeout = 2 * time.Second
	// manifestRetryDelay is the time until a daemon reads the configuration again after a failed call.
	manifestRetryDelay = time.Second
	// noticeDelay is the longest time until the first daemon makes a call after the store has come back from an older copy,
	// and rewriteDelay the time until the operator has written the newest configuration again.
	noticeDelay  = 1200 * time.Millisecond
	rewriteDelay = 300 * time.Millisecond
)

// platformStore models the platform's store: the newest membership entry of each daemon, and the configuration.
type platformStore struct {
	fleet   *Fleet
	outages int
	entries map[instance.ID]membership.Entry
	version uint64
	// epoch rises when the store comes back from an older copy.
	epoch store.Epoch
	// writes holds all writes of entries and publications, the oldest first.
	writes []storeWrite
	// callCount counts all calls of the run, failed ones included.
	callCount int
}

// storeWrite is a write of an entry, or a publication if version is not zero.
type storeWrite struct {
	at      time.Time
	entry   membership.Entry
	version uint64
}

// write records and performs a write.
func (s *platformStore) write(w storeWrite) {
	w.at = s.fleet.clock.now
	s.writes = append(s.writes, w)
	s.perform(w)
}

func (s *platformStore) perform(w storeWrite) {
	if w.version > 0 {
		s.version = w.version

		return
	}

	s.entries[w.entry.Member.ID] = w.entry
}

// comeBack makes the store come back from a copy of the given age. Daemons learn of it by their next call, or from each
// other. The operator writes the newest configuration again.
func (s *platformStore) comeBack(age time.Duration) {
	newest, copied := s.version, s.fleet.clock.now.Add(-age)
	s.epoch++
	s.version = 1
	clear(s.entries)

	s.writes = slices.DeleteFunc(s.writes, func(w storeWrite) bool { return w.at.After(copied) })
	for _, w := range s.writes {
		s.perform(w)
	}

	s.fleet.clock.scheduleAfter(rewriteDelay, func() { s.publishVersion(max(newest, s.version)) })

	if reader := s.fleet.daemons[s.fleet.random.IntN(len(s.fleet.daemons))]; reader.process != nil {
		p := reader.process
		s.fleet.clock.scheduleAfter(time.Duration(s.fleet.random.Int64N(int64(noticeDelay))), func() { s.readManifest(p) })
	}
}

// call makes a call from a daemon process to the store. When the call ends, the process runs onSuccess or onFailure.
func (s *platformStore) call(p *process, onSuccess func(), onFailure func()) {
	s.callCount++
	clock := &s.fleet.clock

	if s.outages > 0 || s.fleet.network.cutFaults[p.daemon] > 0 {
		clock.scheduleAfter(storeTimeout, func() { p.dispatch(onFailure) })

		return
	}

	clock.scheduleAfter(storeCallTime+2*s.delayFrom(p.daemon), func() {
		epoch := s.epoch

		p.dispatch(func() {
			p.apply(core.EpochSeen{Epoch: epoch})
			onSuccess()
		})
	})
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
		s.write(storeWrite{entry: entry})
		p.apply(membership.EntryWritten{})
	}, func() { p.apply(membership.EntryWritten{Failed: true}) })
}

// readManifest reads the configuration and retries until a call succeeds.
func (s *platformStore) readManifest(p *process) {
	s.call(p, func() {
		p.apply(core.ManifestRead{Epoch: s.epoch, Version: s.version, Manifest: s.fleet.manifest})
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
func (s *platformStore) publish() { s.publishVersion(s.version + 1) }

func (s *platformStore) publishVersion(version uint64) {
	s.write(storeWrite{version: version})

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
			Budget: manifest.Budget{Unlimited: true}, Hedge: service.Hedge,
		})
	}

	slices.SortFunc(m.Services, func(a, b manifest.Service) int { return cmp.Compare(a.Name, b.Name) })

	return m
}
