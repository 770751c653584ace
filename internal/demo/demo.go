// Package demo runs the example fleet on loopback, sends requests while parts of it fail, and checks that the
// guarantees held. It does not simulate a network: failure domains and regions differ in name only.
package demo

import (
	"context"
	"fmt"
	"io"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// serviceTime is how long a healthy backend server works on a request.
const serviceTime = 5 * time.Millisecond

// publishTimeout bounds the time from the publication of the manifest until every daemon uses it.
const publishTimeout = 10 * time.Second

// ErrGuarantee is returned if a guarantee did not hold. The report states which one.
var ErrGuarantee = errors.New("a guarantee did not hold")

// Options are the options of a demo.
type Options struct {
	// Duration is how long requests are sent, without the start and stop of the fleet.
	Duration time.Duration
	// Rate is the number of requests per second.
	Rate float64
	// Seed determines the requests that callers send. Timing and the decisions of daemons differ between runs.
	Seed uint64
}

// Run runs a demo and writes a report to out. The daemons log to logger. It returns ErrGuarantee if a guarantee did not
// hold, and another error if the demo could not run.
func Run(ctx context.Context, options Options, out io.Writer, logger zerolog.Logger) error {
	writeLine(out, 0, "starting 11 backend servers with their daemons and a store on loopback")

	probes := new(atomic.Uint64)

	f, err := fleet.Start(ctx, fleet.ExampleNodes(serviceTime), fleet.WithLogger(logger),
		fleet.WithObserver(func(instance.ID) daemon.Observer { return countProbes(probes) }))
	if err != nil {
		return err
	}

	r, err := runLoad(ctx, f, options, probes, out)
	if err = errors.CombineErrors(err, f.Stop()); err != nil {
		return err
	}

	return r.write(out, f.Executions())
}

// countProbes returns an observer that counts health probes. The daemon's own count would be lost when it restarts.
func countProbes(probes *atomic.Uint64) daemon.Observer {
	return func(_ time.Time, _ core.Event, effects []core.Effect) {
		for _, effect := range effects {
			if _, ok := effect.(health.Probe); ok {
				probes.Add(1)
			}
		}
	}
}

func runLoad(
	ctx context.Context, f *fleet.Fleet, options Options, probes *atomic.Uint64, out io.Writer,
) (*report, error) {
	publishing, cancel := context.WithTimeout(ctx, publishTimeout)
	defer cancel()

	published := time.Now()

	result, err := f.Publish(publishing, fleet.Manifest)
	if err != nil {
		return nil, err
	}

	writeLine(out, 0, "manifest version %d is in force at every daemon after %s",
		result.Version, time.Since(published).Round(time.Millisecond))

	c := newCallers(f, options)
	if err := c.warmUp(ctx); err != nil {
		return nil, err
	}

	group := task.NewGroup(ctx)
	incidents := make(chan error, 1)
	begun := time.Now()

	group.Go("incidents", func(ctx context.Context) { incidents <- runIncidents(ctx, f, options.Duration, out) })
	c.run(ctx, group)

	err = <-incidents
	r := c.report
	r.elapsed, r.sincePublish = time.Since(begun), time.Since(published)
	// Daemons continue to probe while they stop. These probes are left out, because the budget covers the time until
	// now.
	r.probes = probes.Load()
	r.readDaemons(f)
	group.Stop()
	c.close()

	return r, errors.CombineErrors(err, ctx.Err())
}

// writeLine writes a line that starts with the time since the start of the load.
func writeLine(out io.Writer, at time.Duration, format string, arguments ...any) {
	_, _ = fmt.Fprintf(out, "%6.1fs  %s\n", at.Seconds(), fmt.Sprintf(format, arguments...))
}
