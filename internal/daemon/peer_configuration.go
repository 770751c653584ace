package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// fetchTimeout bounds a fetch of the configuration from another daemon. The next daemon has to be asked early enough that
// a withdrawn API key is refused in time.
const fetchTimeout = 2 * time.Second

// Errors of a fetch from another daemon.
var (
	// errNothingNewer is returned if the other daemon has nothing that this one lacks.
	errNothingNewer = errors.New("daemon has no newer configuration")
	// errWrongVersion is returned for a record of another version than the one that the other daemon states.
	errWrongVersion = errors.New("record of another version than stated")
)

// configRecord is the record of a configuration as the store has it.
type configRecord struct {
	version uint64
	value   []byte
}

// configRead is a decoded configuration with its record.
type configRead struct {
	event  core.ManifestRead
	record configRecord
}

// applyConfiguration applies configurations and the evacuated failure domains that were read together. No request is
// routed between the two.
func (d *Daemon) applyConfiguration(configurations []configRead, evacuated core.EvacuationsRead) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	for _, c := range configurations {
		d.incoming = &c.record
		d.applyLocked(c.event)
	}

	d.incoming = nil
	d.applyLocked(evacuated)
}

// heldConfiguration returns what this daemon has that is newer than a version and a position, for another daemon. It
// returns false if that is nothing.
func (d *Daemon) heldConfiguration(version uint64, read store.Position) (attempt.Configuration, bool) {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	held := attempt.Configuration{
		Version: d.state.Version(), Epoch: d.state.ManifestEpoch(), Read: d.state.Read(), Evacuated: d.state.Evacuated(),
	}

	record := d.record.Load()
	if record != nil && record.version == held.Version && held.Version > version {
		held.Record = record.value
	}

	return held, held.Record != nil || held.Read.After(read)
}

// fetchConfiguration fetches the configuration from another daemon and applies it. The caller holds the mutex.
func (d *Daemon) fetchConfiguration(e core.FetchConfiguration) {
	ended := core.FetchEnded{From: e.From.ID, Failed: true}

	d.startTask("fetch configuration", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
		defer cancel()

		fetched, err := d.attempts.FetchConfiguration(ctx, e.From.Peer, e.Version, e.Read)
		if err == nil {
			err = d.applyFetched(fetched)
		}

		d.noteFetch(e.From, fetched, err)

		ended.Failed = err != nil
		d.apply(ended)
	}, func() { d.apply(ended) })
}

// applyFetched applies the configuration of another daemon like one from the store. It returns an error if the record is
// invalid or if nothing in it is newer.
func (d *Daemon) applyFetched(fetched attempt.Configuration) error {
	var configurations []configRead

	if len(fetched.Record) > 0 {
		version, m, err := d.decodeConfiguration(fetched.Record)

		switch {
		case err != nil:
			return err
		case version != fetched.Version:
			return errors.Wrapf(errWrongVersion, "%d, stated %d", version, fetched.Version)
		}

		configurations = []configRead{newConfigRead(fetched.Epoch, 0, version, m, fetched.Record)}
	}

	d.mutex.Lock()
	newer := len(configurations) > 0 && fetched.Version > d.state.Version() || fetched.Read.After(d.state.Read())
	d.mutex.Unlock()

	if !newer {
		return errNothingNewer
	}

	d.applyConfiguration(configurations, core.EvacuationsRead{At: fetched.Read, Domains: fetched.Evacuated})

	return nil
}

// newConfigRead returns a configuration that was read in an epoch. End is as in core.ManifestRead. The record is copied,
// because it may be a small part of a large response.
func newConfigRead(epoch store.Epoch, end int64, version uint64, m manifest.Manifest, value []byte) configRead {
	return configRead{
		event:  core.ManifestRead{Epoch: epoch, End: end, Version: version, Manifest: m},
		record: configRecord{version: version, value: slices.Clone(value)},
	}
}

// noteFetch logs and counts the end of a fetch.
func (d *Daemon) noteFetch(from instance.Member, fetched attempt.Configuration, err error) {
	line := d.log.Notable(eventlog.ConfigurationFetched).Str("from", string(from.ID)).
		Str("domain", from.Place.Domain).Uint64("version", fetched.Version).Int("bytes", len(fetched.Record)).
		Uint64("epoch", uint64(fetched.Read.Epoch)).Int64("offset", fetched.Read.Offset)

	if err != nil {
		line = line.AnErr("error", err)
	}

	line.Send()
	d.configReads.countFetch(err)
}

// errDecoderPanicked is returned for a record at which the decoder panicked. Decoding it again would panic again.
var errDecoderPanicked = errors.New("configuration decoder panicked")

// decodeConfiguration decodes a configuration and validates it.
func (d *Daemon) decodeConfiguration(data []byte) (version uint64, m manifest.Manifest, err error) {
	err = errDecoderPanicked

	d.catchPanic("decode configuration", func() {
		if version, m, err = d.platform.Decode(data); err == nil {
			err = m.Validate()
		}
	})

	return version, m, err
}
