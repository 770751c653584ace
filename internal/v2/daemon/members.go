package daemon

import (
	"context"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/internal/v2/membership"
)

// entryTimeout bounds a call to the store for entries.
const entryTimeout = 2 * time.Second

// readEntries reads all entries of the store.
func (d *Daemon) readEntries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()

	page, err := d.platform.Entries.Newest(ctx)
	if err != nil {
		d.logger.Warn().Err(err).Msg("entries of other daemons not read")
		d.apply(membership.EntriesRead{Failed: true})

		return
	}

	read := membership.EntriesRead{}

	for _, record := range page.Records {
		entry, err := membership.DecodeEntry(record.Value)
		if err != nil {
			d.logger.Warn().Err(err).Str("key", record.Key).Msg("entry ignored")

			continue
		}

		read.Entries = append(read.Entries, entry)
	}

	d.apply(read)
}

// writeEntry stores the own entry, or drops it. The mutex is held.
func (d *Daemon) writeEntry(e membership.WriteEntry) {
	record := store.Record{Key: string(e.Entry.Member.ID)}
	if !e.Drop {
		record.Value = membership.EncodeEntry(e.Entry)
	}

	d.tasks.Go("write entry", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, entryTimeout)
		defer cancel()

		err := d.platform.Entries.Append(ctx, record)
		if err != nil {
			d.logger.Warn().Err(err).Msg("own entry not stored")
		}

		d.apply(membership.EntryWritten{Failed: err != nil})
	})
}

// announceSuspects tells the other daemons which requests may crash servers.
func (d *Daemon) announceSuspects(e suspects.Announce) {
	d.logger.Warn().Str("service", e.Service).Int("reports", len(e.Reports)).Msg("requests are suspect")
}
