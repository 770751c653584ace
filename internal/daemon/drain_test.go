package daemon_test

import (
	"context"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
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

// stopResult is what a caller got for an order that it sent while a daemon stopped.
type stopResult struct {
	status  int
	verdict string
	elapsed time.Duration
	err     error
}

// orderOnce sends an order without a key on a new connection.
func orderOnce(ctx context.Context, url string) stopResult {
	client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
	started := time.Now()

	r, err := http.NewRequestWithContext(ctx, http.MethodPost, url+"/orders", strings.NewReader("12 dumplings"))
	if err != nil {
		return stopResult{err: err}
	}

	r.Host = "stockdesk"

	response, err := client.Do(r)
	if err != nil {
		return stopResult{err: err}
	}

	_, err = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()

	return stopResult{
		status: response.StatusCode, verdict: response.Header.Get("Tarragonmill-Verdict"), elapsed: time.Since(started),
		err: err,
	}
}

// Guards against a planned stop that takes an order which may not end before the process does, and cuts it off: its caller
// cannot send it again. Such an order is refused at once as not run, so that its caller goes elsewhere.
func TestStopTakesNoOrderThatItMayCutOff(t *testing.T) {
	t.Parallel()

	const (
		stopGrace = 6 * time.Second
		work      = 4500 * time.Millisecond
		interval  = 500 * time.Millisecond
	)

	nodes := pairOfNodes()
	for i := range nodes {
		nodes[i].Grace, nodes[i].Behaviour.ServiceTime = stopGrace, work
	}

	f, err := fleet.Start(t.Context(), nodes)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })

	_, err = f.Publish(t.Context(), strings.ReplaceAll(fleet.Manifest, "deadline = 5s", "deadline = 8s"))
	require.NoError(t, err)

	stopping := f.Instances[0]
	url := stopping.CallerURL()
	stopped := make(chan error, 1)

	go func() { stopped <- f.Retire(stopping) }()

	var (
		group   sync.WaitGroup
		mutex   sync.Mutex
		results []stopResult
	)

	for range int(stopGrace / interval) {
		group.Go(func() {
			result := orderOnce(t.Context(), url)

			mutex.Lock()
			defer mutex.Unlock()

			results = append(results, result)
		})
		time.Sleep(interval)
	}

	group.Wait()
	require.NoError(t, <-stopped)

	refused := 0

	for _, result := range results {
		switch {
		case errors.Is(result.err, syscall.ECONNREFUSED):
		case result.status == http.StatusCreated:
			require.NoError(t, result.err)
		default:
			require.NoError(t, result.err)
			require.Equal(t, http.StatusServiceUnavailable, result.status)
			require.Equal(t, "not-run", result.verdict)
			require.Less(t, result.elapsed, interval)

			refused++
		}
	}

	require.Positive(t, refused)
}
