package daemon

import (
	"context"
	"fmt"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// maxStack bounds the part of a stack trace that is logged, in bytes.
const maxStack = 4 << 10

// handlePanic logs and counts a panic. Only the work that panicked fails; the daemon goes on.
func (d *Daemon) handlePanic(name string, value any, stack []byte) {
	d.metrics.countReason("panics_total", name)
	d.log.Warn(eventlog.Panicked).Str("what", name).Str("error", fmt.Sprint(value)).
		Bytes("stack", stack[:min(len(stack), maxStack)]).Send()
}

// catchPanic runs step and reports whether it returned without a panic. It logs and counts a panic.
func (d *Daemon) catchPanic(name string, step func()) bool {
	return task.CatchPanic(name, d.handlePanic, step)
}

// startTask runs a function in a goroutine and reports whether it was started. If the function panics, onPanic is
// called, so that nobody waits for a result.
func (d *Daemon) startTask(name string, run func(ctx context.Context), onPanic func()) bool {
	return d.tasks.Go(name, func(ctx context.Context) {
		if !d.catchPanic(name, func() { run(ctx) }) {
			onPanic()
		}
	})
}

// restartOnPanic returns an actor that restarts the given one after a panic, until the context ends.
func (d *Daemon) restartOnPanic(name string, actor func(ctx context.Context) error) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		var err error

		for ctx.Err() == nil {
			if d.catchPanic(name, func() { err = actor(ctx) }) {
				return err
			}

			task.Sleep(ctx, errorPause)
		}

		return nil
	}
}
