package daemon

import (
	"context"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
)

// healthTimeout bounds one health request. A server that is slow to answer is not down: only a refused
// connection counts, because health endpoints lag behind reality.
const healthTimeout = 2 * time.Second

// watchServer follows whether the backend server accepts connections and whether it drains.
func (d *Daemon) watchServer(ctx context.Context) error {
	interval := d.settings.Backend.Interval
	if interval <= 0 {
		interval = time.Second
	}

	ticker := time.NewTicker(interval)
	defer ticker.Stop()

	for {
		d.checkServer(ctx)

		select {
		case <-ticker.C:
		case <-ctx.Done():
			return nil
		}
	}
}

func (d *Daemon) checkServer(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, healthTimeout)
	defer cancel()

	up := d.backend.Reachable(ctx)
	if ctx.Err() != nil {
		return
	}

	if up && d.settings.Backend.Health != "" {
		if _, draining := d.backend.Health(ctx, d.settings.Backend.Health); draining {
			d.Drain()
		}
	}

	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.serverChanged(up)
}

// serverChanged tells the reducer about a change only, to keep recordings short. The mutex is held.
func (d *Daemon) serverChanged(up bool) {
	if d.serverDown == up {
		d.serverDown = !up
		d.logger.Warn().Bool("up", up).Msg("backend server changed")
		d.applyLocked(admission.ServerChanged{Up: up})
	}
}
