package daemon_test

import (
	"context"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/store"
)

// Guards against a daemon without requests that takes its whole grace time to stop, because it cannot write its
// sign-off, which ends its grants, to the unavailable store.
func TestStopWithoutStore(t *testing.T) {
	t.Parallel()

	const maxStopTime = 6 * time.Second

	f, err := fleet.Start(t.Context(), []fleet.Node{faultyNode(backend.None)})
	require.NoError(t, err)

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)
	waitForOwners(t, f)

	f.Store.SetFaults(store.Faults{Down: store.Busy})

	startTime := time.Now()
	require.NoError(t, f.Stop())
	require.Less(t, time.Since(startTime), maxStopTime)
}

// Guards against a planned stop that closes the connection of a waiting request without a response. Its caller could
// not know that the request has not run and may be sent again. The request that runs must get a response, too.
func TestStopAnswersWaitingRequests(t *testing.T) {
	t.Parallel()

	const (
		stopGrace = 4 * time.Second
		// waiting is the number of requests behind the one that runs.
		waiting = 3
	)

	node := faultyNode(backend.None)
	node.Slots, node.Grace, node.Behaviour.ServiceTime = 1, stopGrace, time.Minute

	f, err := fleet.Start(t.Context(), []fleet.Node{node})
	require.NoError(t, err)

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)

	statuses := make(chan int, waiting+1)

	var group sync.WaitGroup

	send := func() {
		defer group.Done()

		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()

		// Downloads have a deadline of 30 s.
		r, err := http.NewRequestWithContext(ctx, http.MethodGet, f.Instances[0].CallerURL()+"/label/10", nil)
		if err != nil {
			return
		}

		r.Host = "stockdesk"

		response, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Log(err)

			return
		}

		_ = response.Body.Close()
		statuses <- response.StatusCode
	}

	for range waiting + 1 {
		group.Add(1)

		go send()

		time.Sleep(50 * time.Millisecond)
	}

	startTime := time.Now()
	require.NoError(t, f.Stop())
	require.Less(t, time.Since(startTime), stopGrace)

	group.Wait()
	close(statuses)

	counts := make(map[int]int)
	for status := range statuses {
		counts[status]++
	}

	require.Equal(t, map[int]int{http.StatusServiceUnavailable: waiting, http.StatusBadGateway: 1}, counts)
}
