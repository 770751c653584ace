package daemon

import (
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// reloadInterval is the time between two checks for changed settings without a signal.
const reloadInterval = 2 * time.Second

// watchSettings reloads the settings on SIGHUP and at each reloadInterval until ctx ends.
func (d *Daemon) watchSettings(ctx context.Context) error {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGHUP)

	defer signal.Stop(signals)

	ticker := time.NewTicker(reloadInterval)
	defer ticker.Stop()

	for {
		select {
		case <-signals:
			d.reloadSettings("signal")
		case <-ticker.C:
			d.reloadSettings("file")
		case <-ctx.Done():
			return nil
		}
	}
}

// applyHedgeLimits passes the limits on hedged attempts to the reducer.
func (d *Daemon) applyHedgeLimits(s settings.Settings) {
	d.apply(routing.HedgeChanged{Limits: manifest.Hedge{
		Quantile: s.Hedge.Quantile, Delayed: s.Hedge.Share, Work: s.Hedge.Work,
	}})
}

// reloadSettings reads the settings again. If they are invalid, nothing changes. A setting that needs a restart
// takes effect only then; the log line says whether such a setting has changed.
func (d *Daemon) reloadSettings(why string) {
	if d.reload == nil {
		return
	}

	reloaded, err := d.reload()
	if err != nil {
		d.log.Warn(eventlog.ReloadFailed).Str("why", why).AnErr("error", err).Send()

		return
	}

	current := *d.settings.Load()
	if reloaded.Equal(current) {
		return
	}

	d.settings.Store(&reloaded)

	if reloaded.Hedge != current.Hedge {
		d.applyHedgeLimits(reloaded)
	}

	restart := !settings.CanReload(reloaded, current)
	d.log.Notable(eventlog.Reloaded).Str("why", why).Bool("restart", restart).Send()
}
