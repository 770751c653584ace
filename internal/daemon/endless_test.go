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

// largestHeap samples the memory in use until the returned function is called, which tells the largest growth.
func largestHeap() func() uint64 {
	var (
		largest atomic.Uint64
		first   runtime.MemStats
	)

	runtime.GC()
	runtime.ReadMemStats(&first)

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

		return largest.Load() - min(largest.Load(), first.HeapAlloc)
	}
}

// Guards against a backend server that answers with bytes without end: the daemon runs out of memory, the caller waits
// until its deadline or takes a part for the whole, or the daemon no longer stops in time.
func TestEndlessAnswers(t *testing.T) {
	const (
		// deadline is that of the rule of lookups.
		deadline = 2 * time.Second
		// atOnce bounds the time until a caller hears that a head was refused.
		atOnce = 500 * time.Millisecond
		// mostHeap is what the daemons may need meanwhile, in bytes.
		mostHeap = 16 << 20
		// drain is the time that a daemon without requests needs to stop.
		drain = 4 * time.Second
	)

	f, err := fleet.Start(t.Context(), []fleet.Node{faultyNode(backend.None)})
	require.NoError(t, err)

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)

	for name, test := range map[string]struct {
		fault backend.Fault
		// streams is set for a fault of the body, which cannot be told from a long one.
		streams bool
	}{
		"line": {fault: backend.EndlessLine}, "head": {fault: backend.EndlessHeader},
		"interim": {fault: backend.EndlessInterim},
		"chunks":  {fault: backend.EndlessChunks, streams: true}, "body": {fault: backend.EndlessBody, streams: true},
	} {
		t.Run(name, func(t *testing.T) {
			f.Instances[0].Server.SetBehaviour(faultyNode(test.fault).Behaviour)

			begun, heap := time.Now(), largestHeap()

			r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.Instances[0].CallerURL()+"/stock/1", nil)
			require.NoError(t, err)

			r.Host = "stockdesk"

			response, err := http.DefaultClient.Do(r)
			require.NoError(t, err)

			_, err = io.Copy(io.Discard, response.Body)
			elapsed := time.Since(begun)

			require.NoError(t, response.Body.Close())
			require.Less(t, heap(), uint64(mostHeap))

			if test.streams {
				require.Error(t, err, "a part was taken for the whole")
				require.Less(t, elapsed, deadline+atOnce)

				return
			}

			require.NoError(t, err)
			require.Equal(t, http.StatusBadGateway, response.StatusCode)
			require.Less(t, elapsed, atOnce)
		})
	}

	begun := time.Now()
	require.NoError(t, f.Stop())
	require.Less(t, time.Since(begun), drain)
}

func faultyNode(fault backend.Fault) fleet.Node {
	return fleet.Node{
		ID: "stockdesk-1", Service: "stockdesk", Place: instance.Place{Region: "west-lakes", Domain: "milwaukee"},
		Slots: 4, Backlog: 2, Behaviour: backend.Behaviour{Fault: fault, FaultEvery: 1},
	}
}
