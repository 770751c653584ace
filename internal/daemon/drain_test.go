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

// Guards against a daemon without requests that holds up its stop until the end of its grace time, because the store
// that has to take its sign-off is away.
func TestStopWithoutStore(t *testing.T) {
	t.Parallel()

	const mostTime = 6 * time.Second

	f, err := fleet.Start(t.Context(), []fleet.Node{faultyNode(backend.None)})
	require.NoError(t, err)

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)
	waitForOwners(t, f)

	f.Store.SetFaults(store.Faults{Down: store.Busy})

	begun := time.Now()
	require.NoError(t, f.Stop())
	require.Less(t, time.Since(begun), mostTime)
}

// Guards against a planned stop that closes the connection of a request without an answer, although it was read and
// nothing has run: its caller cannot know that it may send the request again. One that runs gets an answer, too.
func TestStopAnswersWhatWaits(t *testing.T) {
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

	begun := time.Now()
	require.NoError(t, f.Stop())
	require.Less(t, time.Since(begun), stopGrace)

	group.Wait()
	close(statuses)

	counts := make(map[int]int)
	for status := range statuses {
		counts[status]++
	}

	require.Equal(t, map[int]int{http.StatusServiceUnavailable: waiting, http.StatusBadGateway: 1}, counts)
}
