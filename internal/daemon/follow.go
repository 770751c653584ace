package daemon

import (
	"context"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

const (
	// shortWait and longWait are how long one read waits for a new record. The end of a wait shows that the connection
	// still works. Only few daemons look so often that a version is in force within 3 s although connections have gone
	// silent, because the store bills calls; the others hear of the version from them.
	shortWait = 1200 * time.Millisecond
	longWait  = 30 * time.Second
	// unknownWait replaces shortWait until the daemon's entry is in the store. Until then, the other daemons of a fleet that
	// starts do not know it, so that it hears nobody, and all daemons would call the store often.
	unknownWait = 5 * time.Second
	// frequentReaders is the number of daemons that use shortWait, among those that hear each other.
	frequentReaders = 1
	// updatePause is the mean pause after a new configuration. Without it, each daemon of the fleet would make one call
	// for each of several versions in quick succession. The last one must still be in force within 3 s.
	updatePause = 400 * time.Millisecond
	// minRetryPause and maxRetryPause bound the mean pause after a failed read. The store bills calls, also those that
	// fail, but a configuration has to be in force within 3 s after the store has returned, and connecting may take 1 s.
	minRetryPause = 150 * time.Millisecond
	maxRetryPause = 1550 * time.Millisecond
	// retryJitter is the largest part of the mean by which a pause is shorter or longer, so that the daemons do not all
	// call the store at the same moment.
	retryJitter = 0.15
	// maxRelists is how often a list is repeated that may be older than the end of the topic. With the pauses, the last
	// one is read about 7 s after the first.
	maxRelists = 7
	// resumeWait replaces shortWait after a pause. While a daemon does not read, the store may come back from an older copy
	// without any call that fails, and the next response is the first that shows it.
	resumeWait = 400 * time.Millisecond
	// returnSpread is the time over which the daemons of a fleet read the configuration again after the store has come
	// back, because they may all learn of it at the same moment.
	returnSpread = 400 * time.Millisecond
	// interruptDelay is how long a read that has just begun is not interrupted because another daemon has read more. A
	// connection that works brings what the topic already has within this time.
	interruptDelay = 250 * time.Millisecond
	// maxFirstRetryPause replaces maxRetryPause until the first configuration is in force, because the daemon serves no
	// requests before.
	maxFirstRetryPause = 800 * time.Millisecond
)

// followConfiguration reads the configuration and applies each new version until ctx ends.
func (d *Daemon) followConfiguration(ctx context.Context) error {
	f := follower{daemon: d, retryPause: minRetryPause, storeAvailable: true}

	for ctx.Err() == nil {
		f.poll(ctx)
	}

	return nil
}

// follower reads the topic of the configuration.
type follower struct {
	daemon *Daemon
	// next is the position to read next. It is valid if hasNext is set.
	next    store.Position
	hasNext bool
	// paused is set if the daemon has paused since the last answer.
	paused bool
	// listed is set if the last answer of the store was a list of the newest records. relists counts the repetitions of
	// a list that may be outdated.
	listed  bool
	relists int
	// retryPause is the mean pause after the next failed read.
	retryPause     time.Duration
	storeAvailable bool
	// evacuated holds the evacuated failure domains as of next.
	evacuated evacuationRecords
}

// poll makes one call to the store, applies the configuration that it returns, and pauses.
func (f *follower) poll(ctx context.Context) {
	waited := f.hasNext
	started := time.Now()
	page, err := f.read(ctx)
	f.daemon.configReads.count(ctx, err)

	switch {
	case err == nil:
		f.logRead(page, waited, time.Since(started))
		f.logAvailability(nil)
		f.daemon.storeAnsweredOnce.Do(func() { close(f.daemon.storeAnswered) })
		f.applyPage(page)
		f.pauseAfter(ctx, page, waited)
	case errors.Is(err, store.ErrReturned):
		if waited {
			// The newest record may stand before the position.
			task.Sleep(ctx, rand.N(returnSpread))
		} else {
			// The list itself is older than another response.
			f.backOff(ctx)
		}

		f.hasNext = false
	case errors.HasType(err, (*store.ExpiredError)(nil)):
		if f.listed {
			// The end of the list has expired, so the list is outdated.
			f.backOff(ctx)
		}

		f.hasNext = false
	case ctx.Err() != nil:
	case errors.Is(err, errNewerConfig):
		f.hasNext = false
	case errors.Is(err, store.ErrSilent) && f.hasNext:
		// The connection of the waiting read was lost. A new one may work at once.
		f.logFailure(err, time.Since(started))
		f.hasNext = false
	default:
		f.logAvailability(err)
		f.logFailure(err, time.Since(started))
		f.backOff(ctx)
		// Reading the newest records is faster than reading all that were missed.
		f.hasNext = false
	}
}

// pauseAfter pauses after an answer, and makes the next read repeat a list that may be outdated. waited is set if the
// answer was that of a read that waited for a new record.
func (f *follower) pauseAfter(ctx context.Context, page store.Page, waited bool) {
	switch {
	case !waited && f.repeatsList(page):
		f.relists++
		f.backOff(ctx)
		f.hasNext = false
	case waited && len(page.Records) > 0:
		f.retryPause, f.relists = minRetryPause, 0
		// The random part keeps the daemons, which all get the record now, from calling the store at the same moment.
		task.Sleep(ctx, updatePause/2+rand.N(updatePause))

		f.paused = true
	default:
		f.retryPause, f.relists = minRetryPause, 0
	}
}

// repeatsList reports whether the page that was just read is a list that may be outdated and will be repeated.
func (f *follower) repeatsList(page store.Page) bool {
	return f.listed && mayBeOutdated(page) && f.relists < maxRelists
}

// mayBeOutdated reports whether a list of the newest records lacks the last record of the topic. It does so if the list
// is older than the end that comes with it, or if the last record was a deletion.
func mayBeOutdated(list store.Page) bool {
	return !slices.ContainsFunc(list.Records, func(r store.Record) bool { return r.Offset >= list.End-1 }) && list.End > 0
}

// backOff pauses after a failed read. It returns early if the configuration has to be read again for another reason.
func (f *follower) backOff(ctx context.Context) {
	pause := time.Duration(float64(f.retryPause) * (1 - retryJitter + 2*retryJitter*rand.Float64()))

	ctx, cancel := context.WithTimeout(ctx, pause)
	defer cancel()

	select {
	case <-f.daemon.rereadConfig:
	case <-ctx.Done():
	}

	maxPause := maxRetryPause
	if f.daemon.version.Load() == 0 {
		maxPause = maxFirstRetryPause
	}

	f.retryPause = min(2*f.retryPause, maxPause)
}

// errNewerConfig interrupts a read because another daemon has a newer configuration, or the store a newer epoch.
var errNewerConfig = errors.New("another daemon has a newer configuration, or the store a newer epoch")

// reread is a reason to read the configuration again at once.
type reread struct {
	// epoch is the epoch of the store that the daemon has learned of; zero if the reason is another one.
	epoch store.Epoch
	// version and read are what another daemon has, if that is the reason.
	version uint64
	read    store.Position
}

// known reports whether a follower that has read up to a position already has what the reason is about. version is that
// of the configuration in force.
func (r reread) known(version uint64, next store.Position) bool {
	return r != (reread{}) && r.epoch <= next.Epoch && r.version <= version && !r.read.After(next)
}

// merge returns a reason that covers r and another one.
func (r reread) merge(other reread) reread {
	merged := reread{epoch: max(r.epoch, other.epoch), version: max(r.version, other.version), read: r.read}
	if other.read.After(merged.read) {
		merged.read = other.read
	}

	return merged
}

// read returns the newest records if hasNext is not set, and otherwise waits for records from the next position on.
func (f *follower) read(ctx context.Context) (store.Page, error) {
	if !f.hasNext {
		page, err := f.daemon.platform.Configuration.Newest(ctx)
		if err == nil {
			f.next, f.hasNext, f.listed = page.EndPosition(), true, true
		}

		return page, err
	}

	waiting, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)

	stop := make(chan struct{})
	defer close(stop)

	go f.interruptRead(cancel, stop, f.next, time.Now().Add(interruptDelay))

	page, err := f.daemon.platform.Configuration.Await(ctx, waiting, f.next, f.daemon.configurationWait(f.paused))
	f.paused = false

	if err == nil {
		f.next, f.listed = page.Next(f.next.Offset), false
	} else if errors.Is(context.Cause(waiting), errNewerConfig) {
		return page, errNewerConfig
	}

	return page, err
}

// interruptRead cancels a read from the position next if there is a reason to read again, until stop is closed. What the
// follower already has is no reason, and a read that has just begun gets until the time earliest to bring the rest.
func (f *follower) interruptRead(
	cancel context.CancelCauseFunc, stop <-chan struct{}, next store.Position, earliest time.Time,
) {
	for {
		select {
		case reason := <-f.daemon.rereadConfig:
			if reason.known(f.daemon.version.Load(), next) {
				continue
			}

			pause := time.Until(earliest)
			if reason.epoch != 0 {
				pause = rand.N(returnSpread)
			}

			if !sleepUnless(stop, pause) {
				return
			}

			cancel(errNewerConfig)

			return
		case <-stop:
			return
		}
	}
}

// sleepUnless pauses for a time. It returns false if stop is closed before.
func sleepUnless(stop <-chan struct{}, pause time.Duration) bool {
	select {
	case <-time.After(pause):
		return true
	case <-stop:
		return false
	}
}

// applyPage applies the configurations and the evacuations of a page. The reducer ignores what is not newer.
func (f *follower) applyPage(page store.Page) {
	d := f.daemon

	var configurations []configRead

	for _, record := range page.Records {
		if record.Key != d.platform.ConfigKey || len(record.Value) == 0 {
			continue
		}

		version, m, err := d.decodeConfiguration(record.Value)
		if err != nil {
			d.configReads.rejected.Add(1)
			d.log.Warn(eventlog.BadRecord).Str("key", record.Key).Int64("offset", record.Offset).AnErr("error", err).Send()

			continue
		}

		configurations = append(configurations, newConfigRead(page.Epoch, f.next.Offset, version, m, record.Value))
	}

	if f.listed || len(page.Records) > 0 {
		d.applyConfiguration(configurations, f.readEvacuations(page))
	}
}

// configurationWait returns how long a read of the configuration waits for a new record. paused is set if the daemon has
// paused since its last read.
func (d *Daemon) configurationWait(paused bool) time.Duration {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	switch {
	case d.state.RankAmongHeard(d.now()) >= frequentReaders:
		return longWait
	case !d.state.Stored():
		return unknownWait
	case paused:
		return resumeWait
	default:
		return shortWait
	}
}

// logFailure logs a failed read and how long it took.
func (f *follower) logFailure(err error, elapsed time.Duration) {
	f.daemon.log.Notable(eventlog.OperationFailed).Str("what", "configuration").
		Float64("elapsed_ms", milliseconds(elapsed)).AnErr("error", err).Send()
}

// logRead logs a read that brought records. waited is set for a read that waited for a new record, and elapsed is how
// long the read took.
func (f *follower) logRead(page store.Page, waited bool, elapsed time.Duration) {
	if len(page.Records) == 0 {
		return
	}

	f.daemon.log.Notable(eventlog.ConfigurationRead).Bool("waited", waited).
		Float64("elapsed_ms", milliseconds(elapsed)).Int("records", len(page.Records)).Int64("end", page.End).
		Uint64("epoch", uint64(page.Epoch)).Send()
}

// logAvailability logs when the store becomes unavailable and available again. err is the result of the last call.
func (f *follower) logAvailability(err error) {
	if available := err == nil; available != f.storeAvailable {
		f.storeAvailable = available
		f.daemon.apply(core.StoreRead{Failed: !available})

		if available {
			f.daemon.log.Notable(eventlog.Recovered).Str("what", "store").Send()
		} else {
			f.daemon.log.Warn(eventlog.OperationFailed).Str("what", "store").AnErr("error", err).Send()
		}
	}
}
