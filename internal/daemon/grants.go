package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

const (
	// grantTimeout bounds a handover and each call to the store about grants, except the reads of followGrants.
	grantTimeout = 2 * time.Second
	// baseKey is the record key of the newest base in the topic of bases. A base is a snapshot of all grants.
	baseKey = "base"
	// grantRetryPause is the mean pause after a failed read of grants.
	grantRetryPause = 300 * time.Millisecond
)

// GrantTopic is the topic of the platform's store that orders the grants of key partitions.
type GrantTopic interface {
	// Append appends all records or none. After an error, either is possible.
	Append(ctx context.Context, records ...store.Record) error
	// Read returns the records from a position on. If there is none, it waits up to the given time for one. If the records
	// at the position have expired, it returns a *store.ExpiredError, and store.ErrReturned if the position is of another
	// epoch.
	Read(ctx context.Context, from store.Position, wait time.Duration) (store.Page, error)
}

// followGrants reads the grants until ctx ends. Where records have expired, the newest base replaces them. After a return
// of the store from an older copy, it reads them from the start.
func (d *Daemon) followGrants(ctx context.Context) {
	// The first read does not wait for records: only a daemon that knows the end of the topic may claim keys.
	from, wait := store.Position{}, time.Duration(0)

	for ctx.Err() == nil {
		page, err := d.readGrants(ctx, from, wait)

		var expired *store.ExpiredError

		switch {
		case err == nil:
			d.apply(decodeGrants(page, from.Offset))

			from, wait = page.Next(from.Offset), longWait
		case errors.Is(err, store.ErrReturned) && from.Offset > 0:
			from, wait = store.Position{}, 0
		case errors.As(err, &expired):
			d.offerBase(ctx)

			from, wait = store.Position{Epoch: expired.Epoch, Offset: expired.First}, 0
		case ctx.Err() == nil:
			task.Sleep(ctx, grantRetryPause/2+rand.N(grantRetryPause))
		}
	}
}

// readGrants reads the grants from a position on. It returns store.ErrReturned as soon as the daemon learns that the store
// has come back from an older copy, because a waiting read would not end before there is a record at its offset.
func (d *Daemon) readGrants(ctx context.Context, from store.Position, wait time.Duration) (store.Page, error) {
	reading, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	stop := make(chan struct{})
	defer close(stop)

	go func() {
		for {
			select {
			case epoch := <-d.rereadGrants:
				if epoch > from.Epoch && from.Offset > 0 {
					cancel(store.ErrReturned)
				}
			case <-stop:
				return
			}
		}
	}()

	page, err := d.platform.Grants.Read(reading, from, wait)
	if err != nil && errors.Is(context.Cause(reading), store.ErrReturned) {
		return page, store.ErrReturned
	}

	return page, err
}

// offerBase reads the newest base from the store and applies it as an event.
func (d *Daemon) offerBase(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, grantTimeout)
	defer cancel()

	page, err := d.platform.Bases.Newest(ctx)
	if err != nil {
		d.log.Warn(eventlog.OperationFailed).Str("what", "base of grants").AnErr("error", err).Send()

		return
	}

	for _, record := range page.Records {
		decoded, err := keys.DecodeRecord(record.Value)
		if record.Key == baseKey && err == nil && decoded.Base != nil {
			d.apply(keys.BaseOffered{Base: *decoded.Base})
		}
	}
}

// decodeGrants returns the event for a page of grants that was read from an offset on.
func decodeGrants(page store.Page, from int64) keys.RecordsRead {
	read := keys.RecordsRead{
		Epoch: page.Epoch, First: uint64(page.First), Next: uint64(page.Next(from).Offset),
	}

	for _, record := range page.Records {
		// A record that cannot be decoded counts as empty, so that all daemons derive the same grants.
		decoded, err := keys.DecodeRecord(record.Value)
		if err != nil {
			decoded = keys.Record{}
		}

		read.Records = append(read.Records, keys.Entry{Offset: uint64(record.Offset), Record: decoded})
	}

	return read
}

// appendGrants appends a change of grants. Whether it takes effect shows when followGrants reads it. The caller holds
// the mutex.
func (d *Daemon) appendGrants(e keys.AppendGrants) {
	data := keys.EncodeRecord(e.Record)

	d.tasks.Go("append grants", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()

		if err := d.platform.Grants.Append(ctx, store.Record{Value: data}); err != nil {
			d.log.Warn(eventlog.OperationFailed).Str("what", "append of grants").AnErr("error", err).Send()
		}

		if e.Record.Base == nil {
			return
		}

		if err := d.platform.Bases.Append(ctx, store.Record{Key: baseKey, Value: data}); err != nil {
			d.log.Warn(eventlog.OperationFailed).Str("what", "base of grants").AnErr("error", err).Send()
		}
	})
}

// sendHandover sends a part of the key table to the next owner of its keys. The caller holds the mutex.
func (d *Daemon) sendHandover(e keys.SendHandover) {
	member, known := d.state.Member(e.To)

	d.startTask("handover", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, grantTimeout)
		defer cancel()

		var err error
		if known {
			err = d.attempts.SendHandover(ctx, member.Peer, keys.EncodeHandover(e.Handover))
		}

		if err != nil {
			d.log.Warn(eventlog.OperationFailed).Str("what", "handover").Str("to", string(e.To)).AnErr("error", err).Send()
		}

		d.apply(keys.HandoverEnded{
			To: e.To, Round: e.Handover.Round, Chunk: e.Handover.Chunk, Delivered: known && err == nil,
		})
	}, func() {
		d.apply(keys.HandoverEnded{To: e.To, Round: e.Handover.Round, Chunk: e.Handover.Chunk})
	})
}

// receiveHandover decodes a part of a leaving owner's key table and applies it as an event.
func (d *Daemon) receiveHandover(data []byte) error {
	handover, err := keys.DecodeHandover(data)
	if err != nil {
		return err
	}

	d.apply(keys.HandoverReceived{Handover: handover})

	return nil
}
