package daemon

import (
	"context"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// entryTimeout bounds a call to the store for entries.
const entryTimeout = 2 * time.Second

// awaitStore returns at once unless a call for entries has failed before the store has answered this run of the daemon. It
// then waits for that answer, which the follower of the configuration asks for: without a configuration nothing is served,
// and calls that fail are billed, too. It returns false when ctx ends.
func (d *Daemon) awaitStore(ctx context.Context) bool {
	if !d.entriesFailed.Load() {
		return true
	}

	select {
	case <-d.answered:
		return true
	case <-ctx.Done():
		return false
	}
}

// readEntries reads all entries of the store.
func (d *Daemon) readEntries(ctx context.Context) {
	if !d.awaitStore(ctx) {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()

	page, err := d.platform.Entries.Newest(ctx)
	if err != nil {
		d.log.Warn(eventlog.OperationFailed).Str("what", "entries").AnErr("error", err).Send()
		d.entriesFailed.Store(true)
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

	d.start("write entry", func(ctx context.Context) {
		if !d.awaitStore(ctx) {
			return
		}

		ctx, cancel := context.WithTimeout(ctx, entryTimeout)
		defer cancel()

		err := d.platform.Entries.Append(ctx, record)
		if err != nil {
			d.log.Warn(eventlog.EntryNotStored).AnErr("error", err).Send()
			d.entriesFailed.Store(true)
		}

		d.apply(membership.EntryWritten{Failed: err != nil})
	}, func() { d.apply(membership.EntryWritten{Failed: true}) })
}

// announceSuspects tells the other daemons which requests may crash servers.
func (d *Daemon) announceSuspects(e suspects.Announce) {
	d.log.Warn(eventlog.Suspects).Str("service", e.Service).Int("reports", len(e.Reports)).Send()
}

// logMembers writes what has changed since the last call, so that a line does not grow with the fleet. The mutex
// is held.
func (d *Daemon) logMembers(members []instance.Member) {
	now := make(map[instance.ID]instance.Status, len(members))

	var joined, changed, gone []string

	for _, member := range members {
		now[member.ID] = member.Status
		before, known := d.loggedMembers[member.ID]

		switch {
		case !known && member.Status == instance.Alive:
			joined = append(joined, string(member.ID))
		case before != member.Status || !known:
			changed = append(changed, string(member.ID)+" "+member.Status.String())
		}
	}

	for id := range d.loggedMembers {
		if _, known := now[id]; !known {
			gone = append(gone, string(id))
		}
	}

	d.loggedMembers = now

	if len(joined)+len(changed)+len(gone) == 0 {
		return
	}

	slices.Sort(gone)
	d.log.Notable(eventlog.Members).Int("count", len(members)).
		Strs("joined", joined).Strs("changed", changed).Strs("gone", gone).Send()
}
