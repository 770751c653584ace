package daemon

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/uber-go/tally/v4"

	"github.com/tarragonmill/tarragonmill/internal/admin"
	"github.com/tarragonmill/tarragonmill/internal/core"
)

// gaugeInterval is the period at which values are passed to the metrics.
const gaugeInterval = time.Second

// Errors of the ready check.
var (
	ErrNotReady = errors.New("member table or manifest is missing")
	ErrDraining = errors.New("draining")
)

// Dump is the state of a daemon for operators.
type Dump struct {
	// Version of the manifest in force.
	Version   uint64
	Now       time.Time
	Ready     bool
	Draining  bool
	Tasks     map[string]int
	Traffic   Traffic
	Decisions core.Dump
}

// Traffic counts connections and bytes since the start.
type Traffic struct {
	// PeerDials and ServerDials are connections opened to other daemons and to the backend server.
	PeerDials   int64
	ServerDials int64
	// Foreign replies belonged to another attempt and were dropped.
	Foreign int64
	// Resumed downloads broke off and were continued at another server.
	Resumed int64
	// Control is the number of bytes of control traffic in both directions.
	Control int64
}

// Dump returns the state.
func (d *Daemon) Dump() Dump {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return Dump{
		Version: d.Version(), Now: d.now(), Ready: d.Ready(), Draining: d.draining,
		Tasks: d.tasks.Running(), Traffic: d.traffic(), Decisions: d.state.Dump(d.now()),
	}
}

// Control returns the bytes of control traffic in both directions since the start.
func (d *Daemon) Control() int64 { return d.control.Meter().Total() + d.server.Meter().Total() }

func (d *Daemon) traffic() Traffic {
	return Traffic{
		PeerDials: d.attempts.Dials(), ServerDials: d.backend.Dials(), Foreign: d.attempts.Foreign(),
		Resumed: d.resumes.Load(),
		Control: d.Control(),
	}
}

// operators is the interface for operators with its metrics.
type operators struct {
	daemon  *Daemon
	server  *admin.Server
	metrics *admin.Metrics
}

func (d *Daemon) newAdmin() (operators, error) {
	metrics, err := admin.NewMetrics("tarragonmill", map[string]string{"instance": string(d.settings.ID)}, d.logger)
	if err != nil {
		return operators{}, errors.Wrap(err, "create metrics")
	}

	server := admin.New(d.settings.Key,
		admin.WithLogger(d.logger),
		admin.WithMetrics(metrics.Handler()),
		admin.WithDump(func(context.Context) (any, error) { return d.Dump(), nil }),
		admin.WithReady(func() error {
			switch {
			case d.isDraining():
				return ErrDraining
			case !d.Ready():
				return ErrNotReady
			}

			return nil
		}),
		admin.WithDrain(func(context.Context) error {
			d.Drain()

			return nil
		}),
	)

	return operators{daemon: d, server: server, metrics: metrics}, nil
}

// serve answers operators until ctx ends.
func (o operators) serve(ctx context.Context, listener net.Listener) error {
	reported := make(chan struct{})

	go func() {
		defer close(reported)

		o.report(ctx)
	}()

	err := o.server.Serve(ctx, listener)
	<-reported

	return errors.CombineErrors(err, o.metrics.Close())
}

// report passes values to the metrics once per interval.
func (o operators) report(ctx context.Context) {
	ticker := time.NewTicker(gaugeInterval)
	defer ticker.Stop()

	for {
		select {
		case <-ticker.C:
			o.gauge(o.metrics.Scope())
		case <-ctx.Done():
			return
		}
	}
}

func (o operators) gauge(scope tally.Scope) {
	traffic := o.daemon.traffic()
	values := map[string]float64{
		"manifest_version": float64(o.daemon.Version()),
		"members":          float64(o.daemon.Members()),
		"control_bytes":    float64(traffic.Control),
		"peer_dials":       float64(traffic.PeerDials),
		"server_dials":     float64(traffic.ServerDials),
		"foreign_replies":  float64(traffic.Foreign),
		"resumed":          float64(traffic.Resumed),
	}

	o.daemon.mutex.Lock()
	for name, value := range o.daemon.state.Gauges(o.daemon.now()) {
		values[name] = value
	}
	o.daemon.mutex.Unlock()

	for name, value := range values {
		scope.Gauge(name).Update(value)
	}
}
