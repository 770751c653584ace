package spread_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"go.uber.org/goleak"

	"github.com/tarragonmill/tarragonmill/internal/bench/spread"
	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
	"github.com/tarragonmill/tarragonmill/internal/standin/logstore"
)

type env struct {
	store *logstore.Store
	log   *logservice.Client
	url   string
}

func newEnv(t testing.TB, options ...logstore.Option) env {
	t.Helper()

	store := logstore.New(options...)
	url, stop, err := store.Start(context.Background())
	require.NoError(t, err)

	log, err := logservice.New(url)
	require.NoError(t, err)
	t.Cleanup(func() {
		log.Close()
		require.NoError(t, stop())
		// A benchmark has goroutines of its own.
		if _, ok := t.(*testing.T); ok {
			goleak.VerifyNone(t)
		}
	})

	return env{store: store, log: log, url: url}
}

func (e env) fleet(t testing.TB, nodes int) *spread.Fleet {
	t.Helper()

	return e.fleetWith(t, nodes, spread.Validate)
}

func (e env) fleetWith(t testing.TB, nodes int, validate func(string) error) *spread.Fleet {
	t.Helper()

	fleet, err := spread.Start(context.Background(), spread.Options{
		Log: e.url, Nodes: nodes, Relays: 1, Seed: 1, Validate: validate,
	})
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, fleet.Stop()) })

	return fleet
}

func (e env) publish(t testing.TB, number int) uint64 {
	t.Helper()

	publisher := config.NewPublisher(e.log, config.WithCheck(spread.Validate))

	for {
		result, err := publisher.Publish(t.Context(), spread.Manifest(3, number))
		require.NoError(t, err)

		if result.Outcome == config.OutcomeAccepted {
			return result.Version
		}

		// The publisher has read old data, and was told so.
		require.Equal(t, config.Outdated, result.Reason)
	}
}

// within waits for a version everywhere, no longer than the stated target.
func within(t testing.TB, fleet *spread.Fleet, version uint64) {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), spread.Target)
	defer cancel()
	require.NoError(t, fleet.Wait(ctx, version))
}

// Guards against daemons that do not come up, or stay without configuration, after an outage of the
// log service at their start.
func TestOutageAtStart(t *testing.T) {
	for _, outage := range []logstore.Outage{logstore.Refuse, logstore.Reset, logstore.Hang} {
		t.Run(outage.String(), func(t *testing.T) {
			e := newEnv(t)
			version := e.publish(t, 1)
			e.store.SetFaults(logstore.Faults{Outage: outage})
			fleet := e.fleet(t, 8)

			time.Sleep(4 * time.Second)
			require.Empty(t, fleet.Arrivals(version))
			e.store.SetFaults(logstore.Faults{})

			// A read that hangs ends after 2 s; the backoff is at most 2 s more.
			ctx, cancel := context.WithTimeout(t.Context(), 4*time.Second+spread.Target)
			defer cancel()
			require.NoError(t, fleet.Wait(ctx, version))
			within(t, fleet, e.publish(t, 2))
		})
	}
}

// Guards against a version that goes back, or that is not put in force in time, while the log service
// answers most reads with old data.
func TestStaleReads(t *testing.T) {
	e := newEnv(t)
	fleet := e.fleet(t, 8)

	for number := range 8 {
		version := e.publish(t, number)
		within(t, fleet, version)
		e.store.SetFaults(logstore.Faults{Stale: time.Second, StaleShare: 0.5})
	}
}

// Guards against a daemon that starts from a log whose publish record has expired and takes a
// snapshot that it must not use, or none.
func TestRecordExpiry(t *testing.T) {
	e := newEnv(t)
	fleet := e.fleet(t, 4)

	e.publish(t, 1)
	old := record.Snapshot{Version: 1, Through: 1, Manifest: spread.Manifest(3, 1), ID: "old"}
	e.publish(t, 2)
	e.store.Append(record.ConfigStream, record.EncodeConfig(old))
	within(t, fleet, 2)
	e.store.Expire(record.ConfigStream, 2)

	late := e.fleet(t, 2)

	// The relay of the first fleet notices the expiry and writes a snapshot within 5 s.
	ctx, cancel := context.WithTimeout(t.Context(), 6*time.Second+spread.Target)
	defer cancel()
	require.NoError(t, late.Wait(ctx, 2))
	require.Empty(t, late.Arrivals(1))
	within(t, late, e.publish(t, 3))
	within(t, fleet, 3)
}

// BenchmarkSpread measures docs/measurements/config.md. The nodes share the processors of one machine,
// so that what each spends on validation adds up; "unparsed" leaves validation out.
func BenchmarkSpread(b *testing.B) {
	for _, nodes := range []int{11, 51, 201} {
		followers := strconv.Itoa(nodes - 1)
		b.Run(followers, func(b *testing.B) { measure(b, nodes, spread.Validate) })
		b.Run(followers+"-unparsed", func(b *testing.B) { measure(b, nodes, func(string) error { return nil }) })
	}
}

func measure(b *testing.B, nodes int, validate func(string) error) {
	e := newEnv(b)
	fleet := e.fleetWith(b, nodes, validate)

	for b.Loop() {
		result, err := fleet.Measure(b.Context(), e.log, spread.Services, 20, 2*time.Second)
		require.NoError(b, err)
		b.ReportMetric(result.P50.Seconds()*1000, "p50-ms")
		b.ReportMetric(result.P99.Seconds()*1000, "p99-ms")
		b.ReportMetric(result.Max.Seconds()*1000, "max-ms")
		b.ReportMetric(float64(result.Change), "B/node/change")
		b.ReportMetric(float64(result.Rest), "B/s/node-at-rest")
	}
}

// BenchmarkAppends measures the appends of 201 nodes at rest and after an outage in which each of
// them got a record to append.
func BenchmarkAppends(b *testing.B) {
	e := newEnv(b)
	fleet := e.fleet(b, 201)
	within(b, fleet, e.publish(b, 1))

	for b.Loop() {
		result, err := fleet.MeasureAppends(b.Context(), e.store, time.Minute)
		require.NoError(b, err)
		b.ReportMetric(result.Rest, "appends/s-at-rest")
		b.ReportMetric(result.Mean, "appends/s-mean")
		b.ReportMetric(float64(result.Peak), "appends/s-peak")
		b.ReportMetric(float64(result.Refused), "requests-refused")
	}
}
