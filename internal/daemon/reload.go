package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/settings"
)

// reloadInterval is the time between two looks at whether the settings have changed without a signal.
const reloadInterval = 2 * time.Second

// watchSettings takes changed settings on SIGHUP, and when it finds that the file has changed.
func (d *Daemon) watchSettings(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)

	defer signal.Stop(signals)

	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()

	for {
		select {
		case <-signals:
			d.takeSettings("signal")
		case <-ticker.C:
			d.takeSettings("file")
		case <-ctx.Done():
			return nil
		}
	}
}

// takeSettings reads the settings again. What needs a restart keeps its value, and a log line says so; settings
// with faults change nothing.
func (d *Daemon) takeSettings(why string) {
	if d.reload == nil {
		return
	}

	chosen, err := d.reload()
	if err != nil {
		d.log.Warn(eventlog.ReloadFailed).Str("why", why).AnErr("error", err).Send()

		return
	}

	current := *d.settings.Load()
	if chosen.Equal(current) {
		return
	}

	d.settings.Store(&chosen)

	restart := !settings.CanReload(chosen, current)
	d.log.Notable(eventlog.Reloaded).Str("why", why).Bool("restart", restart).Send()
}
