package daemon_test

import (
	"context"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
)

// benchCallers is the number of callers that send one request after the other.
const benchCallers = 8

// processorTime is what this process has used so far.
func processorTime(b *testing.B) time.Duration {
	b.Helper()

	var usage unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// control is the control traffic of all daemons in bytes.
func control(f *fleet.Fleet) int64 {
	total := int64(0)
	for _, i := range f.Instances {
		total += i.Daemon.Dump().Traffic.Control
	}

	return total
}

// BenchmarkCall guards against calls that cost much more processor time or control traffic. Both contain callers and
// stand-ins; what daemons spend while nothing is called is in the control traffic, too.
func BenchmarkCall(b *testing.B) {
	f, err := fleet.Start(b.Context(), fleet.ExampleNodes(time.Millisecond), fleet.WithLogger(zerolog.New(io.Discard)))
	require.NoError(b, err)

	defer func() { require.NoError(b, f.Stop()) }()

	ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
	defer cancel()

	_, err = f.Publish(ctx, fleet.Manifest)
	require.NoError(b, err)

	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	used, sent := processorTime(b), control(f)

	b.ReportAllocs()
	b.ResetTimer()

	var callers sync.WaitGroup
	for first := range benchCallers {
		callers.Go(func() {
			for n := first; n < b.N; n += benchCallers {
				callOnce(b, client, f.Instances[n%len(f.Instances)].CallerURL()+"/stock/5")
			}
		})
	}

	callers.Wait()
	b.StopTimer()

	b.ReportMetric(float64((processorTime(b)-used).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(control(f)-sent)/float64(b.N), "control-B/op")
}

func callOnce(b *testing.B, client *http.Client, url string) {
	b.Helper()

	r, err := http.NewRequestWithContext(b.Context(), http.MethodGet, url, nil)
	if err != nil {
		b.Error(err)

		return
	}

	r.Host = "stockdesk"

	response, err := client.Do(r)
	if err != nil {
		b.Error(err)

		return
	}

	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}
