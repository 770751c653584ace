package daemon

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	// configWait is how long one read waits for a new configuration, the longest time that the store takes.
	configWait = 30 * time.Second
	// settleTime is the mean pause after a new configuration. Versions that come in quick succession would otherwise cost
	// each daemon of the fleet one call each; the last one is still in force well within 3 s.
	settleTime = 400 * time.Millisecond
	// followMin and followMax bound the pause after a failed read. Calls are billed, also those that fail.
	followMin = 150 * time.Millisecond
	followMax = 3 * time.Second
	// firstMax bounds it until a configuration is in force, without which nothing is served.
	firstMax = 800 * time.Millisecond
)

// followConfiguration reads the operator's configuration and every later one until ctx ends.
func (d *Daemon) followConfiguration(ctx context.Context) error {
	f := follower{daemon: d, pause: followMin, connected: true}

	for ctx.Err() == nil {
		f.step(ctx)
	}

	return nil
}

// follower reads one topic.
type follower struct {
	daemon *Daemon
	// from is the offset to read next, valid if listed is set.
	from      int64
	listed    bool
	pause     time.Duration
	connected bool
}

// step makes one call to the store.
func (f *follower) step(ctx context.Context) {
	listed := f.listed
	page, err := f.read(ctx)

	switch {
	case err == nil:
		f.pause = followMin
		f.report(nil)
		f.daemon.answering.Do(func() { close(f.daemon.answered) })
		f.take(page)

		if listed && len(page.Records) > 0 {
			// Daemons that all were told now do not call the store again at the same moment.
			task.Sleep(ctx, settleTime/2+rand.N(settleTime))
		}
	case errors.HasType(err, (*store.ExpiredError)(nil)):
		f.listed = false
	case ctx.Err() != nil:
	case errors.Is(err, errReread):
		f.listed = false
	default:
		f.report(err)
		f.wait(ctx)
		// What was missed is found faster among the newest records.
		f.listed = false
	}
}

// wait pauses after a failed read, until another daemon has a newer configuration at most.
func (f *follower) wait(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, f.pause/2+rand.N(f.pause))
	defer cancel()

	select {
	case <-f.daemon.reread:
	case <-ctx.Done():
	}

	longest := followMax
	if f.daemon.version.Load() == 0 {
		longest = firstMax
	}

	f.pause = min(2*f.pause, longest)
}

// errReread ends a read because another daemon has a newer configuration.
var errReread = errors.New("a newer configuration was heard of")

func (f *follower) read(ctx context.Context) (store.Page, error) {
	if !f.listed {
		page, err := f.daemon.platform.Configuration.Newest(ctx)
		if err == nil {
			f.from, f.listed = page.End, true
		}

		return page, err
	}

	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	stop := make(chan struct{})
	defer close(stop)

	go func() {
		select {
		case <-f.daemon.reread:
			cancel(errReread)
		case <-stop:
		}
	}()

	page, err := f.daemon.platform.Configuration.Await(ctx, waiting, f.from, configWait)
	if err == nil {
		f.from = page.Next(f.from)
	} else if errors.Is(context.Cause(waiting), errReread) {
		return page, errReread
	}

	return page, err
}

// take puts the newest configuration of a page in force.
func (f *follower) take(page store.Page) {
	d := f.daemon

	for _, record := range page.Records {
		if record.Key != d.platform.ConfigKey || len(record.Value) == 0 {
			continue
		}

		version, m, err := f.decode(record.Value)
		if err != nil {
			d.log.Warn(eventlog.BadRecord).Str("key", record.Key).Int64("offset", record.Offset).AnErr("error", err).Send()

			continue
		}

		d.apply(core.ManifestRead{Version: version, Manifest: m})
	}
}

// errDecoder is returned for a record at which the decoder panicked. Reading it again would end in the same way.
var errDecoder = errors.New("decoder has panicked")

// decode reads a configuration and checks it.
func (f *follower) decode(data []byte) (version uint64, m manifest.Manifest, err error) {
	err = errDecoder

	f.daemon.protect("decode configuration", func() {
		if version, m, err = f.daemon.platform.Decode(data); err == nil {
			err = m.Validate()
		}
	})

	return version, m, err
}

// report logs a lost and a regained store.
func (f *follower) report(err error) {
	if connected := err == nil; connected != f.connected {
		f.connected = connected

		if connected {
			f.daemon.log.Notable(eventlog.Recovered).Str("what", "store").Send()
		} else {
			f.daemon.log.Warn(eventlog.OperationFailed).Str("what", "store").AnErr("error", err).Send()
		}
	}
}
