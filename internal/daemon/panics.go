package daemon

import (
	"context"
	"fmt"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// maxStack bounds the part of a stack that is logged, in bytes.
const maxStack = 4 << 10

// panicked logs and counts a panic. What it interrupted ends with a failure, and the daemon goes on.
func (d *Daemon) panicked(name string, value any, stack []byte) {
	d.metrics.countReason("panics_total", name)
	d.log.Warn(eventlog.Panicked).Str("what", name).Str("error", fmt.Sprint(value)).
		Bytes("stack", stack[:min(len(stack), maxStack)]).Send()
}

// protect runs a step and reports whether it returned. A panic in it is logged.
func (d *Daemon) protect(name string, step func()) bool {
	return task.CatchPanic(name, d.panicked, step)
}

// start begins a task. If the task panics, failed is called, so that nobody waits for its outcome.
func (d *Daemon) start(name string, run func(ctx context.Context), failed func()) bool {
	return d.tasks.Go(name, func(ctx context.Context) {
		if !d.protect(name, func() { run(ctx) }) {
			failed()
		}
	})
}

// restarted returns an actor that begins anew after a panic, until its context ends.
func (d *Daemon) restarted(name string, actor func(ctx context.Context) error) func(ctx context.Context) error {
	return func(ctx context.Context) error {
		var err error

		for ctx.Err() == nil {
			if d.protect(name, func() { err = actor(ctx) }) {
				return err
			}

			task.Sleep(ctx, acceptPause)
		}

		return nil
	}
}
