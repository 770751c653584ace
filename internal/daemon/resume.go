package daemon

import (
	"context"
	"time"

	"golang.org/x/sys/unix"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// minSuspension is the time for which the machine must have been suspended for the daemon's view of the fleet to count
// as outdated.
const minSuspension = 300 * time.Millisecond

// watchResume detects that the machine was suspended, and reports it to the reducer. Timeouts do not show it, because
// the monotonic clock stops during a suspension.
func (d *Daemon) watchResume(ctx context.Context) error {
	last := suspendedTime()

	for ctx.Err() == nil {
		task.Sleep(ctx, resumeCheckInterval)

		current := suspendedTime()
		if current-last > minSuspension {
			d.log.Warn(eventlog.Resumed).Float64("gap_ms", milliseconds(current-last)).Send()
			d.apply(core.Resumed{})
			d.requestReread(reread{})
		}

		last = current
	}

	return nil
}

// suspendedTime returns the total time for which the machine was suspended since it booted, or zero if the clocks
// cannot be read.
func suspendedTime() time.Duration {
	var boot, monotonic unix.Timespec

	if unix.ClockGettime(unix.CLOCK_BOOTTIME, &boot) != nil ||
		unix.ClockGettime(unix.CLOCK_MONOTONIC, &monotonic) != nil {
		return 0
	}

	return time.Duration(boot.Nano() - monotonic.Nano())
}
