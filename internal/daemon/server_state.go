package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/health"
)

// probeTimeout bounds a probe of the backend server, which normally responds within milliseconds.
const probeTimeout = 400 * time.Millisecond

// probe starts a health check of the backend server. The caller holds the mutex.
func (d *Daemon) probe() {
	path := d.healthPath()

	d.startTask("probe", func(ctx context.Context) {
		if path == "" {
			// A server without a health path is healthy if it accepts connections.
			reachable := d.backend.Reachable(ctx)
			d.apply(health.Probed{Answered: reachable, Healthy: reachable})

			return
		}

		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()

		answer, err := d.backend.Probe(ctx, path)
		if errors.Is(err, backend.ErrUnreachable) {
			d.apply(health.Refused{})
		}

		d.apply(health.Probed{
			Answered: err == nil, Healthy: answer.Healthy, Draining: answer.Draining, ID: answer.Instance,
			Load: answer.Load, Loaded: answer.HasLoad, Repeated: answer.Repeated,
			ColdFor: answer.ColdFor, ColdStated: answer.HasCold,
		})
		d.observeProbe(answer)
	}, func() { d.apply(health.Probed{}) })
}

// healthPath returns the health path of the daemon's service in the manifest. If it has none, it returns the one in the
// settings.
func (d *Daemon) healthPath() string {
	current := d.settings.Load()

	if m := d.manifest.Load(); m != nil {
		for _, service := range m.Services {
			if service.Name == current.Service && service.Health != "" {
				return service.Health
			}
		}
	}

	return current.Backend.Health
}

var (
	errOtherService = errors.New("announcement is of another service")
	errOtherAddress = errors.New("announcement is of another address")
	errNoSlots      = errors.New("announcement states no usable number of slots")
)

// maxSlots is the largest number of slots of a server.
const maxSlots = 10_000

// Announce implements AnnouncementReceiver.
func (d *Daemon) Announce(_ context.Context, a backend.Announcement) error {
	if err := d.checkAnnouncement(a); err != nil {
		d.log.Warn(eventlog.BadAnnouncement).Str("server", string(a.ID)).AnErr("error", err).Send()

		return err
	}

	d.apply(health.Announced{Announcement: a})

	return nil
}

// checkAnnouncement returns an error if an announcement is not from the backend server in the settings or has no
// slots.
func (d *Daemon) checkAnnouncement(a backend.Announcement) error {
	current := d.settings.Load()

	switch {
	case a.Service != current.Service:
		return errOtherService
	case a.Address != current.Backend.Address:
		return errOtherAddress
	case a.Slots <= 0, a.Slots > maxSlots:
		return errNoSlots
	default:
		return nil
	}
}

// Withdraw implements AnnouncementReceiver.
func (d *Daemon) Withdraw(_ context.Context, id backend.ID, born time.Time) error {
	d.apply(health.Withdrawn{ID: id, Born: born})
	d.log.Notable(eventlog.ServerWithdrew).Str("server", string(id)).Send()

	return nil
}
