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

// benchCallers is the number of concurrent callers. Each sends one request after the other.
const benchCallers = 8

// cpuTime returns the CPU time that this process has used so far.
func cpuTime(b *testing.B) time.Duration {
	b.Helper()

	var usage unix.Rusage
	require.NoError(b, unix.Getrusage(unix.RUSAGE_SELF, &usage))

	return time.Duration(usage.Utime.Nano() + usage.Stime.Nano())
}

// controlBytes returns the control traffic of all daemons so far, in bytes.
func controlBytes(f *fleet.Fleet) int64 {
	total := int64(0)
	for _, i := range f.Instances {
		total += i.Daemon.Dump().Traffic.Control
	}

	return total
}

// BenchmarkCall guards against changes that make calls cost much more CPU time or control traffic. The CPU time
// includes callers and stand-ins, and the control traffic includes what the daemons send regardless of calls.
func BenchmarkCall(b *testing.B) {
	f, err := fleet.Start(b.Context(), fleet.ExampleNodes(time.Millisecond), fleet.WithLogger(zerolog.New(io.Discard)))
	require.NoError(b, err)

	defer func() { require.NoError(b, f.Stop()) }()

	ctx, cancel := context.WithTimeout(b.Context(), 10*time.Second)
	defer cancel()

	_, err = f.Publish(ctx, fleet.Manifest)
	require.NoError(b, err)

	client := &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: benchCallers}}
	cpuBefore, controlBefore := cpuTime(b), controlBytes(f)

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

	b.ReportMetric(float64((cpuTime(b)-cpuBefore).Microseconds())/float64(b.N), "cpu-us/op")
	b.ReportMetric(float64(controlBytes(f)-controlBefore)/float64(b.N), "control-B/op")
}

// callOnce sends a lookup and reads the response to its end.
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
