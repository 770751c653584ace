package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/trace"
)

// startRecording starts recording the events and effects of the reducer if the settings name a file for them. The
// returned function ends the recording and waits until it is written.
func (d *Daemon) startRecording(ctx context.Context) (func() error, error) {
	recording := d.settings.Load().Trace
	if recording.File == "" {
		return func() error { return nil }, nil
	}

	file, err := trace.Create(recording.File)
	if err != nil {
		return nil, err
	}

	recorder, err := core.NewRecorder(file, recording.Limit, d.options)
	if err != nil {
		return nil, errors.CombineErrors(err, file.Close())
	}

	// The shutdown is recorded, too.
	ctx, cancel := context.WithCancel(context.WithoutCancel(ctx))
	ended := recorder.Start(ctx)
	observe := d.observe
	d.observe = func(now time.Time, event core.Event, effects []core.Effect) {
		recorder.Record(now, event, effects)

		if observe != nil {
			observe(now, event, effects)
		}
	}

	return func() error {
		cancel()

		return errors.Wrap(errors.CombineErrors(<-ended, file.Close()), "record events")
	}, nil
}
