package spread

import (
	"context"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
	"github.com/tarragonmill/tarragonmill/internal/standin/logstore"
)

// Target is the time within which an accepted version has to be in force everywhere.
const Target = 3 * time.Second

const (
	// arrivalTimeout is above Target, so that a miss is measured and not only noticed.
	arrivalTimeout = 10 * Target
	significant    = 3
)

// Spread is what Measure found.
type Spread struct {
	// Times from the start of a version's append until it was in force, over all nodes and changes.
	P50, P99, Max time.Duration
	// Change is the number of bytes that a node received and sent per change, beyond Rest.
	Change int64
	// Rest is the number of bytes per second that a node received and sent without changes.
	Rest int64
}

// Measure publishes changes of a manifest of some services, one after the other, each after a pause.
func (f *Fleet) Measure(ctx context.Context, log *logservice.Client, services, changes int, pause time.Duration) (Spread, error) {
	rest, err := f.rate(ctx, pause)
	if err != nil {
		return Spread{}, err
	}

	times := hdrhistogram.New(1, arrivalTimeout.Microseconds(), significant)
	bytes, started := f.Bytes(), time.Now()

	shown, err := config.NewPublisher(log).Show(ctx)
	if err != nil {
		return Spread{}, err
	}

	for change := range changes {
		version := shown.Version + uint64(change) + 1
		data := record.EncodeConfig(record.Publish{
			ID: Manifest(1, change), Base: version - 1, Manifest: Manifest(services, change),
		})
		begun := time.Now()

		if _, err := log.Append(ctx, record.ConfigStream, data); err != nil {
			return Spread{}, err
		}

		if err := f.arrived(ctx, version); err != nil {
			return Spread{}, err
		}

		for _, at := range f.Arrivals(version) {
			if err := times.RecordValue(at.Sub(begun).Microseconds()); err != nil {
				return Spread{}, errors.Wrap(err, "recording a spread time")
			}
		}

		if err := sleep(ctx, pause); err != nil {
			return Spread{}, err
		}
	}

	idle := int64(rest * time.Since(started).Seconds())
	micros := func(v int64) time.Duration { return time.Duration(v) * time.Microsecond }

	return Spread{
		P50: micros(times.ValueAtQuantile(50)), P99: micros(times.ValueAtQuantile(99)), Max: micros(times.Max()),
		Change: (f.Bytes() - bytes - idle) / int64(changes) / int64(len(f.nodes)),
		Rest:   int64(rest) / int64(len(f.nodes)),
	}, nil
}

// Appends is what MeasureAppends found, in appends per second.
type Appends struct {
	// Rest is the mean while nothing changes, and Mean the one in the period after an outage.
	Rest, Mean float64
	// Peak is the largest number in one second after the outage.
	Peak uint64
	// Refused is the number of requests, reads too, that were refused in the outage.
	Refused uint64
}

// MeasureAppends counts appends for a period at rest, then has every node append a record at the
// start of an outage that lasts a period, and counts for a period after it.
func (f *Fleet) MeasureAppends(ctx context.Context, store *logstore.Store, period time.Duration) (Appends, error) {
	var result Appends

	before := store.Counts()
	if err := sleep(ctx, period); err != nil {
		return result, err
	}

	result.Rest = float64(store.Counts().Appends-before.Appends) / period.Seconds()

	store.SetFaults(logstore.Faults{Outage: logstore.Refuse})
	f.Append()

	err := sleep(ctx, period)
	store.SetFaults(logstore.Faults{})

	last := store.Counts()
	result.Refused = last.Refused - before.Refused

	first := last.Appends
	for left := period; err == nil && left > 0; left -= time.Second {
		err = sleep(ctx, time.Second)
		now := store.Counts()
		result.Peak = max(result.Peak, now.Appends-last.Appends)
		last = now
	}

	result.Mean = float64(last.Appends-first) / period.Seconds()

	return result, err
}

func (f *Fleet) arrived(ctx context.Context, version uint64) error {
	ctx, cancel := context.WithTimeout(ctx, arrivalTimeout)
	defer cancel()

	return f.Wait(ctx, version)
}

// rate returns the bytes per second of all nodes.
func (f *Fleet) rate(ctx context.Context, over time.Duration) (float64, error) {
	before, started := f.Bytes(), time.Now()
	if err := sleep(ctx, over); err != nil {
		return 0, err
	}

	return float64(f.Bytes()-before) / time.Since(started).Seconds(), nil
}

func sleep(ctx context.Context, d time.Duration) error {
	timer := time.NewTimer(d)
	defer timer.Stop()

	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
