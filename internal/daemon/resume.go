package daemon

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// resumeGap is the time that a process has to stand still for its beliefs to count as old.
const resumeGap = 300 * time.Millisecond

// watchResume finds out when the machine was suspended. The monotonic clock stands still meanwhile, so no
// timeout tells.
func (d *Daemon) watchResume(ctx context.Context) error {
	last := suspended()

	for ctx.Err() == nil {
		task.Sleep(ctx, resumeInterval)

		current := suspended()
		if current-last > resumeGap {
			d.log.Warn(eventlog.Resumed).Float64("gap_ms", milliseconds(current-last)).Send()
			d.apply(core.Resumed{})

			select {
			case d.reread <- struct{}{}:
			default:
			}
		}

		last = current
	}

	return nil
}

// suspended is the time for which the machine was suspended since its start.
func suspended() time.Duration {
	var boot, monotonic unix.Timespec

	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}

	return time.Duration(boot.Nano() - monotonic.Nano())
}
