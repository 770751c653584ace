package daemon

import (
	"context"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// entryTimeout bounds a call to the store for entries.
const entryTimeout = 2 * time.Second

// readEntries reads all entries of the store.
func (d *Daemon) readEntries(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()

	page, err := d.platform.Entries.Newest(ctx)
	if err != nil {
		d.log.Warn(eventlog.Lost).Str("what", "entries").AnErr("error", err).Send()
		d.apply(membership.EntriesRead{Failed: true})

		return
	}

	read := membership.EntriesRead{}

	for _, record := range page.Records {
		entry, err := membership.DecodeEntry(record.Value)
		if err != nil {
			d.log.Warn(eventlog.BadRecord).Str("key", record.Key).AnErr("error", err).Send()

			continue
		}

		read.Entries = append(read.Entries, entry)
	}

	d.apply(read)
}

// writeEntry stores the own entry. The mutex is held.
func (d *Daemon) writeEntry(e membership.WriteEntry) {
	record := store.Record{Key: string(e.Entry.Member.ID), Value: membership.EncodeEntry(e.Entry)}

	d.tasks.Go("write entry", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, entryTimeout)
		defer cancel()

		err := d.platform.Entries.Append(ctx, record)
		if err != nil {
			d.log.Warn(eventlog.EntryNotStored).AnErr("error", err).Send()
		}

		d.apply(membership.EntryWritten{Failed: err != nil})
	})
}

// announceSuspects tells the other daemons which requests may crash servers.
func (d *Daemon) announceSuspects(e suspects.Announce) {
	d.log.Warn(eventlog.Suspects).Str("service", e.Service).Int("reports", len(e.Reports)).Send()
}

// logMembers writes which daemons are known. The mutex is held.
func (d *Daemon) logMembers(members []instance.Member) {
	usable := make([]string, 0, len(members))
	other := make([]string, 0)

	for _, member := range members {
		name := string(member.ID)
		if member.Status == instance.Alive {
			usable = append(usable, name)
		} else {
			other = append(other, name+" "+member.Status.String())
		}
	}

	d.log.Notable(eventlog.Members).Strs("alive", usable).Strs("other", other).Send()
}
