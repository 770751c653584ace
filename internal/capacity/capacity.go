// Package capacity measures what whole daemons cost at several fleet sizes, over loopback sockets in
// one process, and fits the slopes from which docs/CAPACITY.md computes the target size. The processor
// time includes the stand-ins and both ends of each exchange; network delays are not simulated.
package capacity

import (
	"context"
	"fmt"
	"io"
	"runtime"
	"strings"
	"syscall"
	"text/tabwriter"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
)

// Options of a measurement.
type Options struct {
	// Sizes are numbers of daemons, at least three for a fit.
	Sizes []int
	// Settle is the time between the start of a fleet and the measurement.
	Settle time.Duration
	// Period of each measurement.
	Period time.Duration
	// Changes is the number of configuration changes whose spread is measured.
	Changes int
	// Calls is the number of calls for the added time, and Rate their number per second.
	Calls int
	Rate  int
}

// The target's fleet: 7 failure domains in 2 regions, about 5 servers in each service.
const (
	targetDaemons  = 610
	targetDomains  = 7
	targetRegions  = 2
	serversPerUnit = 5
)

// row is the result for one size; values are per daemon unless stated otherwise.
type row struct {
	size    int
	start   time.Duration
	bytes   float64 // per second, both directions
	cpu     float64 // share of a core
	heap    float64 // bytes
	spread  *hdrhistogram.Histogram
	threads int
}

// Run measures and prints a table and the fits.
func Run(ctx context.Context, out io.Writer, options Options) error {
	rows := make([]row, 0, len(options.Sizes))

	for _, size := range options.Sizes {
		measured, err := measure(ctx, size, options)
		if err != nil {
			return errors.Wrapf(err, "measure %d daemons", size)
		}

		rows = append(rows, measured)
		_, _ = fmt.Fprintf(out, "measured %d daemons\n", size)
	}

	if err := print(out, rows); err != nil {
		return err
	}

	if options.Calls == 0 {
		return nil
	}

	return added(ctx, out, options)
}

func nodes(size int) []fleet.Node {
	all := make([]fleet.Node, size)

	for n := range all {
		service := "stockdesk"
		if n >= serversPerUnit {
			service = fmt.Sprintf("service-%d", n/serversPerUnit)
		}

		domain := n % targetDomains
		all[n] = fleet.Node{
			ID: instance.ID(fmt.Sprintf("node-%d", n)), Service: service,
			Place: instance.Place{
				Region: fmt.Sprintf("region-%d", domain%targetRegions), Domain: fmt.Sprintf("domain-%d", domain),
			},
			Slots: 6, Queue: 12, Behaviour: backend.Behaviour{Service: time.Millisecond},
		}
	}

	return all
}

func measure(ctx context.Context, size int, options Options) (row, error) {
	runtime.GC()

	before := heap()
	begun := time.Now()

	f, err := fleet.Start(ctx, nodes(size))
	if err != nil {
		return row{}, err
	}

	result := row{size: size, start: time.Since(begun)}

	if _, err := f.Publish(ctx, fleet.Manifest); err != nil {
		return row{}, errors.CombineErrors(err, f.Stop())
	}

	sleep(ctx, options.Settle)

	bytes, cpu := control(f), processorTime()

	sleep(ctx, options.Period)

	seconds := options.Period.Seconds()
	result.bytes = float64(control(f)-bytes) / seconds / float64(size)
	result.cpu = (processorTime() - cpu).Seconds() / seconds / float64(size)
	result.threads = runtime.NumGoroutine() / size

	runtime.GC()

	result.heap = float64(heap()-before) / float64(size)

	if result.spread, err = spread(ctx, f, options.Changes); err != nil {
		return row{}, errors.CombineErrors(err, f.Stop())
	}

	return result, f.Stop()
}

// spread publishes changes and records for each daemon the time from acceptance until it is in force.
func spread(ctx context.Context, f *fleet.Fleet, changes int) (*hdrhistogram.Histogram, error) {
	times := hdrhistogram.New(1, time.Minute.Microseconds(), 3)

	for n := range changes {
		manifest := strings.Replace(fleet.Manifest, "probes = 20", fmt.Sprintf("probes = %d", n+1), 1)

		version := f.Instances[0].Daemon.Version() + 1
		begun := time.Now()
		published := make(chan error, 1)

		go func() {
			_, err := f.Publish(ctx, manifest)
			published <- err
		}()

		waiting := make(map[int]bool, len(f.Instances))
		for i := range f.Instances {
			waiting[i] = true
		}

		if err := f.Wait(ctx, func() bool {
			for i := range waiting {
				if f.Instances[i].Daemon.Version() >= version {
					_ = times.RecordValue(time.Since(begun).Microseconds())

					delete(waiting, i)
				}
			}

			return len(waiting) == 0
		}); err != nil {
			return nil, err
		}

		if err := <-published; err != nil {
			return nil, err
		}
	}

	return times, nil
}

func control(f *fleet.Fleet) int64 {
	var total int64
	for _, i := range f.Instances {
		total += i.Daemon.Control()
	}

	return total
}

func processorTime() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

func heap() int64 {
	var stats runtime.MemStats

	runtime.ReadMemStats(&stats)

	return int64(stats.HeapInuse + stats.StackInuse)
}

func sleep(ctx context.Context, period time.Duration) {
	select {
	case <-time.After(period):
	case <-ctx.Done():
	}
}

func print(out io.Writer, rows []row) error {
	w := tabwriter.NewWriter(out, 0, 0, 2, ' ', 0)

	_, _ = fmt.Fprintln(w, "daemons\tstart\tcontrol B/s\tcore %\theap+stack MiB\tgoroutines\tspread p50\tp99\tmax")

	for _, r := range rows {
		_, _ = fmt.Fprintf(w, "%d\t%v\t%.0f\t%.2f\t%.2f\t%d\t%v\t%v\t%v\n", r.size, r.start.Round(time.Millisecond),
			r.bytes, r.cpu*100, r.heap/(1<<20), r.threads, quantile(r.spread, 50), quantile(r.spread, 99), quantile(r.spread, 100))
	}

	for _, fitted := range []struct {
		name  string
		value func(row) float64
	}{
		{"control B/s", func(r row) float64 { return r.bytes }},
		{"core %", func(r row) float64 { return r.cpu * 100 }},
		{"heap+stack MiB", func(r row) float64 { return r.heap / (1 << 20) }},
	} {
		line := fit(rows, fitted.value)
		_, _ = fmt.Fprintf(w, "fit %s\t= %.4g + %.4g per daemon\tat %d: %.4g\tlargest error %.2g\n", fitted.name,
			line.offset, line.slope, targetDaemons, line.at(targetDaemons), line.residual)
	}

	return errors.Wrap(w.Flush(), "print measurements")
}

func quantile(h *hdrhistogram.Histogram, q float64) time.Duration {
	if h.TotalCount() == 0 {
		return 0
	}

	return (time.Duration(h.ValueAtQuantile(q)) * time.Microsecond).Round(time.Millisecond)
}

// line is a least-squares fit with the largest distance of a measured value from it.
type line struct{ offset, slope, residual float64 }

func (l line) at(x float64) float64 { return l.offset + l.slope*x }

func fit(rows []row, value func(row) float64) line {
	var sumX, sumY, sumXX, sumXY float64

	n := float64(len(rows))

	for _, r := range rows {
		x, y := float64(r.size), value(r)
		sumX, sumY, sumXX, sumXY = sumX+x, sumY+y, sumXX+x*x, sumXY+x*y
	}

	var fitted line
	if divisor := n*sumXX - sumX*sumX; divisor != 0 {
		fitted.slope = (n*sumXY - sumX*sumY) / divisor
	}

	fitted.offset = (sumY - fitted.slope*sumX) / n

	for _, r := range rows {
		fitted.residual = max(fitted.residual, abs(value(r)-fitted.at(float64(r.size))))
	}

	return fitted
}

func abs(x float64) float64 { return max(x, -x) }
