package daemon

import (
	"context"
	"net/netip"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// entryTimeout bounds a read or write of membership entries in the store.
const entryTimeout = 2 * time.Second

// awaitStore delays calls for membership entries while the store is unavailable at the start of the daemon. Once such a
// call has failed, it waits until the store has answered a read of the configuration. Before that, the daemon serves no
// requests and needs no entries, and the store also bills calls that fail. It returns false if ctx ends first.
func (d *Daemon) awaitStore(ctx context.Context) bool {
	if !d.entryCallFailed.Load() {
		return true
	}

	select {
	case <-d.storeAnswered:
		return true
	case <-ctx.Done():
		return false
	}
}

// readEntries reads all membership entries from the store and applies them as an event.
func (d *Daemon) readEntries(ctx context.Context) {
	if !d.awaitStore(ctx) {
		return
	}

	ctx, cancel := context.WithTimeout(ctx, entryTimeout)
	defer cancel()

	page, err := d.platform.Entries.Newest(ctx)
	if err != nil {
		d.log.Warn(eventlog.OperationFailed).Str("what", "entries").AnErr("error", err).Send()
		d.entryCallFailed.Store(true)
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

// writeEntry writes the daemon's own membership entry to the store. The caller holds the mutex.
func (d *Daemon) writeEntry(e membership.WriteEntry) {
	record := store.Record{Key: string(e.Entry.Member.ID), Value: membership.EncodeEntry(e.Entry)}

	d.startTask("write entry", func(ctx context.Context) {
		if !d.awaitStore(ctx) {
			return
		}

		ctx, cancel := context.WithTimeout(ctx, entryTimeout)
		defer cancel()

		err := d.platform.Entries.Append(ctx, record)
		if err != nil {
			d.log.Warn(eventlog.EntryNotStored).AnErr("error", err).Send()
			d.entryCallFailed.Store(true)
		}

		d.apply(membership.EntryWritten{Failed: err != nil})
	}, func() { d.apply(membership.EntryWritten{Failed: true}) })
}

// logSuspects logs reports on requests that may crash servers. The reducer itself sends them to the other daemons.
func (d *Daemon) logSuspects(e suspects.Announce) {
	d.log.Warn(eventlog.Suspects).Str("service", e.Service).Int("reports", len(e.Reports)).Send()
}

// logMembers logs which members have changed since the last call. A line with all members would grow with the fleet.
// The caller holds the mutex.
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

// peersOf returns the set of the addresses at which other daemons reach the members.
func peersOf(members []instance.Member) map[netip.AddrPort]bool {
	peers := make(map[netip.AddrPort]bool, len(members))
	for _, member := range members {
		peers[member.Peer] = true
	}

	return peers
}
