package demo

import (
	"context"
	"io"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// slowFactor is the factor by which the service time of a slow server is longer.
const slowFactor = 20

// incident is a fault or repair that happens after a share of the demo's duration.
type incident struct {
	share float64
	text  string
	run   func(ctx context.Context, f *fleet.Fleet) error
}

// incidents returns the incidents in order of time. Each one ends well before the end of the demo.
func incidents() []incident {
	setBehaviour := func(at int, behaviour backend.Behaviour) func(context.Context, *fleet.Fleet) error {
		return func(_ context.Context, f *fleet.Fleet) error {
			f.Instances[at].Server.SetBehaviour(behaviour)

			return nil
		}
	}
	setOutage := func(kind store.Outage) func(context.Context, *fleet.Fleet) error {
		return func(_ context.Context, f *fleet.Fleet) error {
			f.Store.SetFaults(store.Faults{Down: kind})

			return nil
		}
	}

	return []incident{
		{
			0.1, "stockdesk-1 becomes 20 times slower",
			setBehaviour(0, backend.Behaviour{ServiceTime: slowFactor * serviceTime}),
		},
		{0.25, "stockdesk-1 recovers", setBehaviour(0, backend.Behaviour{ServiceTime: serviceTime})},
		{0.3, "stockdesk-2 crashes", func(_ context.Context, f *fleet.Fleet) error {
			f.Instances[1].Server.Crash()

			return nil
		}},
		{0.4, "stockdesk-2 is started again", func(_ context.Context, f *fleet.Fleet) error {
			return f.RestartServer(f.Instances[1])
		}},
		{0.45, "the daemon of stockdesk-3 is restarted gracefully", func(_ context.Context, f *fleet.Fleet) error {
			return f.RestartDaemon(f.Instances[2])
		}},
		{
			0.6, "routehall-1 fails every request at once",
			setBehaviour(7, backend.Behaviour{ServiceTime: serviceTime, Failing: true}),
		},
		{0.7, "routehall-1 recovers", setBehaviour(7, backend.Behaviour{ServiceTime: serviceTime})},
		{0.75, "the store is down", setOutage(store.Reset)},
		{0.9, "the store is back", setOutage(store.Up)},
	}
}

// runIncidents starts each incident at its time. It does not wait for earlier ones to end, because a graceful restart
// takes seconds.
func runIncidents(ctx context.Context, f *fleet.Fleet, duration time.Duration, out io.Writer) error {
	var (
		failed  error
		begun   = time.Now()
		started int
		ended   = make(chan error)
	)

	for _, i := range incidents() {
		task.Sleep(ctx, time.Duration(i.share*float64(duration))-time.Since(begun))

		if ctx.Err() != nil {
			break
		}

		writeLine(out, time.Since(begun), "%s", i.text)

		started++

		go func() { ended <- i.run(ctx, f) }()
	}

	for range started {
		failed = errors.CombineErrors(failed, <-ended)
	}

	return failed
}
