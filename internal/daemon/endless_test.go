package daemon_test

import (
	"io"
	"net/http"
	"runtime"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
)

// trackHeapGrowth samples the size of the heap until the returned function is called. That function returns the largest
// growth in bytes.
func trackHeapGrowth() func() uint64 {
	var (
		largest  atomic.Uint64
		baseline runtime.MemStats
	)

	runtime.GC()
	runtime.ReadMemStats(&baseline)

	stop, stopped := make(chan struct{}), make(chan struct{})

	go func() {
		defer close(stopped)

		for {
			var now runtime.MemStats

			runtime.ReadMemStats(&now)
			largest.Store(max(largest.Load(), now.HeapAlloc))

			select {
			case <-stop:
				return
			case <-time.After(10 * time.Millisecond):
			}
		}
	}()

	return func() uint64 {
		close(stop)
		<-stopped

		return largest.Load() - min(largest.Load(), baseline.HeapAlloc)
	}
}

// Guards against a backend server that sends an endless response. The daemon would run out of memory or not stop in
// time, or the caller would wait until its deadline or take a part of the body for the whole.
func TestEndlessResponses(t *testing.T) {
	const (
		// deadline is that of lookups in the manifest.
		deadline = 2 * time.Second
		// maxRefusalTime bounds the time until the caller gets an error response, if the head is endless.
		maxRefusalTime = 500 * time.Millisecond
		// maxHeapGrowth bounds the growth of the heap during the request, in bytes.
		maxHeapGrowth = 16 << 20
		// maxStopTime bounds the time that a daemon without requests takes to stop.
		maxStopTime = 4 * time.Second
	)

	f, err := fleet.Start(t.Context(), []fleet.Node{faultyNode(backend.None)})
	require.NoError(t, err)

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)

	for name, test := range map[string]struct {
		fault backend.Fault
		// inBody is set if the body is endless, which the daemon cannot tell from a long one.
		inBody bool
		// refused is set if the server states that it did not run the request.
		refused bool
	}{
		"line": {fault: backend.EndlessLine}, "head": {fault: backend.EndlessHeader},
		"interim": {fault: backend.EndlessInterim}, "refusal": {fault: backend.EndlessRefusal, refused: true},
		"chunks": {fault: backend.EndlessChunks, inBody: true}, "body": {fault: backend.EndlessBody, inBody: true},
	} {
		t.Run(name, func(t *testing.T) {
			f.Instances[0].Server.SetBehaviour(faultyNode(test.fault).Behaviour)

			startTime, heapGrowth := time.Now(), trackHeapGrowth()

			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.Instances[0].CallerURL()+"/stock/1", nil)
			require.NoError(t, err)

			r.Host = "stockdesk"

			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)

			_, err = io.Copy(io.Discard, response.Body)
			elapsed := time.Since(startTime)

			require.NoError(t, response.Body.Close())
			require.Less(t, heapGrowth(), uint64(maxHeapGrowth))

			if test.inBody {
				require.Error(t, err, "a part was taken for the whole")
				require.Less(t, elapsed, deadline+maxRefusalTime)

				return
			}

			require.NoError(t, err)

			if test.refused {
				// The request is sent again until the entry gives it up.
				require.Equal(t, http.StatusServiceUnavailable, response.StatusCode)
				require.Less(t, elapsed, deadline)

				return
			}

			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Less(t, elapsed, maxRefusalTime)
		})
	}

	startTime := time.Now()
	require.NoError(t, f.Stop())
	require.Less(t, time.Since(startTime), maxStopTime)
}

// faultyNode returns a node whose backend server has a fault at each request.
func faultyNode(fault backend.Fault) fleet.Node {
	return fleet.Node{
		ID: "stockdesk-1", Service: "stockdesk", Place: instance.Place{Region: "west-lakes", Domain: "milwaukee"},
		Slots: 4, Backlog: 2, Behaviour: backend.Behaviour{Fault: fault, FaultEvery: 1},
	}
}
