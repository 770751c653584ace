package fleet

import (
	"context"
	"runtime"
	"syscall"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
)

// Config chooses what is measured at one size.
type Config struct {
	Size int
	Seed uint64
	// Window is the length of the idle and of the churn phase.
	Window time.Duration
	// Churn is the period at which a daemon of the fleet is replaced during the churn phase.
	Churn time.Duration
	// Drains is the number of draining announcements whose spread is timed, Starts the number of
	// daemons whose start is timed.
	Drains, Starts int
}

// Load is what one daemon spends on control work.
type Load struct {
	// Bytes per second, received and sent.
	Bytes float64
	// Largest is the highest figure of a single daemon.
	Largest float64
	// CPU is the share of a core, in percent.
	CPU float64
}

// Quantiles of a duration in milliseconds.
type Quantiles struct{ P50, P99, Max float64 }

// Result is what was measured at one size.
type Result struct {
	Config
	Idle, Churning Load
	Spread, Ready  Quantiles
	// Cold is the time from start to ready while the whole fleet starts, and Settled the time from the
	// first start until all tables were equal, in seconds.
	Cold    Quantiles
	Settled float64
	// Mass is the time from start to ready while a crashed failure domain starts at once, and Restored
	// the time until all tables were equal again, in seconds.
	Mass     Quantiles
	Restored float64
	// Heap per daemon in KiB, with stacks.
	Heap float64
}

const (
	settleTimeout = 2 * time.Minute
	spreadTimeout = 10 * time.Second
	growDelay     = 10 * time.Millisecond
	// calmDown lets connections to former neighbours of the starting phase close, and the phase of
	// frequent looks at seeds end.
	calmDown = 35 * time.Second
	// drainPause is longer than the period in which changes share a push.
	drainPause = 400 * time.Millisecond
	startPause = 100 * time.Millisecond
	percent    = 100
	kib        = 1024
)

// Measure runs a fleet of one size.
func Measure(ctx context.Context, config Config) (result Result, err error) {
	result.Config = config
	f := New(config.Seed)

	defer func() { err = errors.CombineErrors(err, f.Stop()) }()

	// Connections of an earlier fleet end in the background.
	time.Sleep(time.Second)

	before, begin := memory(), time.Now()
	if err := f.Grow(ctx, config.Size, growDelay); err != nil {
		return result, err
	}

	if _, err := f.Settle(settleTimeout); err != nil {
		return result, err
	}

	result.Settled = time.Since(begin).Seconds()

	if result.Cold, err = readiness(f.Daemons); err != nil {
		return result, err
	}

	time.Sleep(calmDown)

	result.Heap = (memory() - before) / kib / float64(config.Size)
	result.Idle = f.observe(config.Window, func() error { return nil }, &err)
	result.Churning = f.observe(config.Window, func() error { return f.churn(ctx, config) }, &err)

	if err != nil {
		return result, err
	}

	if result.Ready, err = f.starts(ctx, config.Starts); err != nil {
		return result, err
	}

	if _, err := f.Settle(settleTimeout); err != nil {
		return result, err
	}

	begin = time.Now()
	if result.Mass, err = f.restart(ctx); err != nil {
		return result, err
	}

	if _, err := f.Settle(settleTimeout); err != nil {
		return result, err
	}

	result.Restored = time.Since(begin).Seconds()
	result.Spread, err = f.drains(config.Drains)

	return result, err
}

// restart crashes the daemons of the last failure domain, which holds no seed, and starts them at once.
func (f *Fleet) restart(ctx context.Context) (Quantiles, error) {
	var (
		kept, crashed []*Daemon
		numbers       []int
	)

	for _, d := range f.Daemons {
		number, err := d.number()
		if err != nil {
			return Quantiles{}, err
		}

		if number%domains != domains-1 {
			kept = append(kept, d)

			continue
		}

		numbers = append(numbers, number)
		crashed = append(crashed, d)
	}

	f.Daemons = kept

	if err := stopAll(crashed); err != nil {
		return Quantiles{}, err
	}

	for _, number := range numbers {
		if _, err := f.Launch(ctx, number); err != nil {
			return Quantiles{}, err
		}
	}

	return readiness(f.Daemons[len(kept):])
}

// readiness waits for daemons and returns how long each took from its start.
func readiness(daemons []*Daemon) (Quantiles, error) {
	var delays []time.Duration

	timeout := time.After(settleTimeout)

	for _, d := range daemons {
		select {
		case delay := <-d.ready:
			delays = append(delays, delay)
		case <-timeout:
			return Quantiles{}, errors.Wrapf(ErrTimeout, "%s is not ready", d.ID)
		}
	}

	return quantiles(delays), nil
}

// memory returns the bytes in use on heap and stacks.
func memory() float64 {
	// The second collection frees what pools held over the first.
	runtime.GC()
	runtime.GC()

	var stats runtime.MemStats

	runtime.ReadMemStats(&stats)

	return float64(stats.HeapAlloc + stats.StackInuse)
}

// processor returns the processor time of this process.
func processor() time.Duration {
	var usage syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &usage); err != nil {
		return 0
	}

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// observe measures the load while a function runs, for at least a window.
func (f *Fleet) observe(window time.Duration, run func() error, failure *error) Load {
	before := map[*Daemon]int64{}
	for _, d := range f.Daemons {
		before[d] = d.bytes()
	}

	begin, used := time.Now(), processor()

	if err := run(); err != nil {
		*failure = errors.CombineErrors(*failure, err)
	}

	time.Sleep(window - time.Since(begin))

	seconds := time.Since(begin).Seconds()
	load := Load{CPU: (processor() - used).Seconds() / seconds / float64(len(f.Daemons)) * percent}
	counted := 0.0

	for _, d := range f.Daemons {
		// Daemons that were replaced meanwhile are left out: they did not run for the whole window.
		if start, ok := before[d]; ok {
			rate := float64(d.bytes()-start) / seconds
			load.Bytes += rate
			load.Largest = max(load.Largest, rate)
			counted++
		}
	}

	load.Bytes /= counted

	return load
}

// churn replaces daemons beyond the seeds for a window.
func (f *Fleet) churn(ctx context.Context, config Config) error {
	begin := time.Now()
	for next := begin; time.Since(begin) < config.Window; next = next.Add(config.Churn) {
		time.Sleep(time.Until(next))

		at := seedCount + f.random.IntN(len(f.Daemons)-seedCount)
		if err := f.Replace(ctx, at); err != nil {
			return err
		}
	}

	return nil
}

// starts times additional daemons from their start to Ready.
func (f *Fleet) starts(ctx context.Context, number int) (Quantiles, error) {
	for range number {
		if _, err := f.Launch(ctx, len(f.Daemons)); err != nil {
			return Quantiles{}, err
		}

		time.Sleep(startPause)
	}

	return readiness(f.Daemons[len(f.Daemons)-number:])
}

// drains times how long each daemon takes to learn that another one drains.
func (f *Fleet) drains(number int) (Quantiles, error) {
	var delays []time.Duration

	for _, at := range f.random.Perm(len(f.Daemons))[:min(number, len(f.Daemons))] {
		time.Sleep(drainPause)

		spread, err := f.Spread(f.Daemons[at], membership.DrainStarted{}, instance.Draining, spreadTimeout)
		if err != nil {
			return Quantiles{}, err
		}

		delays = append(delays, spread...)
	}

	return quantiles(delays), nil
}

func quantiles(delays []time.Duration) Quantiles {
	histogram := hdrhistogram.New(1, int64(time.Minute/time.Microsecond), 3)

	for _, delay := range delays {
		// A delay beyond the range is impossible: phases end before.
		_ = histogram.RecordValue(max(delay.Microseconds(), 1))
	}

	milliseconds := func(micros int64) float64 {
		return float64(micros) * float64(time.Microsecond) / float64(time.Millisecond)
	}

	return Quantiles{
		P50: milliseconds(histogram.ValueAtQuantile(50)),
		P99: milliseconds(histogram.ValueAtQuantile(99)),
		Max: milliseconds(histogram.Max()),
	}
}
