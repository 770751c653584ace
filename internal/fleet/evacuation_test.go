package fleet_test

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/platform"
)

const (
	// maxEvacuationDelay is the time from the store's acknowledgement within which the last new request may start.
	maxEvacuationDelay = 5 * time.Second
	evacuatedDomain    = "milwaukee"
)

// load sends lookups through all instances of a fleet.
type load struct {
	// sent counts the requests, and refused those without a response of a server.
	sent, refused atomic.Int64
	stop          context.CancelFunc
	callers       sync.WaitGroup
}

// startLoad starts one caller at each instance. Callers start again at an instance whose daemon restarts.
func startLoad(t *testing.T, f *fleet.Fleet) *load {
	t.Helper()

	l := &load{}

	var ctx context.Context

	ctx, l.stop = context.WithCancel(t.Context())

	for _, i := range f.Instances {
		url := i.CallerURL()

		l.callers.Go(func() {
			client := fleet.Client()
			defer client.CloseIdleConnections()

			for task.Sleep(ctx, 15*time.Millisecond) {
				l.sent.Add(1)

				if lookUp(client, url, "stockdesk", http.Header{}) != http.StatusOK {
					l.refused.Add(1)
				}
			}
		})
	}

	t.Cleanup(func() {
		l.stop()
		l.callers.Wait()
	})

	return l
}

// lookUp sends one lookup with the given host and header fields, and returns the status; zero without a response.
func lookUp(client *http.Client, url, host string, header http.Header) int {
	r, err := http.NewRequest(http.MethodGet, url+"/stock/5", http.NoBody)
	if err != nil {
		return 0
	}

	r.Host, r.Header = host, header

	response, err := client.Do(r)
	if err != nil {
		return 0
	}

	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()

	return response.StatusCode
}

// runsIn returns the number of requests that the servers of a failure domain have run.
func runsIn(f *fleet.Fleet, domain string) int {
	total := 0

	for _, i := range f.Instances {
		if i.Node.Place.Domain == domain {
			served, _ := i.Server.Served()
			total += served
		}
	}

	return total
}

// putEvacuation writes the record of the evacuated domain. An empty value removes it.
func putEvacuation(f *fleet.Fleet, value string) {
	f.Store.Put(platform.ManifestTopic, platform.EvacuationKey(evacuatedDomain), []byte(value))
}

// requireNoRuns requires that no server of the evacuated domain starts a request within a period.
func requireNoRuns(t *testing.T, f *fleet.Fleet, period time.Duration) {
	t.Helper()

	before := runsIn(f, evacuatedDomain)
	time.Sleep(period)
	require.Equal(t, before, runsIn(f, evacuatedDomain))
}

func startGated(t *testing.T, gates *[]*gate) *fleet.Fleet {
	t.Helper()

	f, err := fleet.Start(t.Context(), fleet.ExampleNodes(time.Millisecond), withGates(gates))
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)

	return f
}

// Guards against new requests at an evacuated domain: of daemons whose connection to the store is silent, or that the
// store refuses from the moment of the record on, or that restart during the evacuation; and against a domain to which no
// load returns.
func TestEvacuation(t *testing.T) {
	var gates []*gate

	f := startGated(t, &gates)
	l := startLoad(t, f)

	require.Eventually(t, func() bool { return runsIn(f, evacuatedDomain) > 20 }, 10*time.Second, 10*time.Millisecond)

	// All daemons wait for the next record.
	time.Sleep(time.Second)

	// One daemon beside a server of the domain and one elsewhere get no answer.
	gates[0].silent.Store(true)
	gates[1].silent.Store(true)
	putEvacuation(f, platform.EvacuationValue)
	f.Store.SetFaults(store.Faults{Down: store.Silent})

	time.Sleep(maxEvacuationDelay)
	requireNoRuns(t, f, 2*time.Second)

	f.Store.SetFaults(store.Faults{})

	sent, refused := l.sent.Load(), l.refused.Load()

	require.NoError(t, f.RestartDaemon(f.Instances[2]))
	require.Eventually(t, f.Instances[2].Daemon.Ready, 10*time.Second, 10*time.Millisecond)
	requireNoRuns(t, f, 2*time.Second)
	// Only the callers of the daemon that restarts are refused.
	require.Less(t, l.refused.Load()-refused, (l.sent.Load()-sent)/5)

	putEvacuation(f, "")

	before := runsIn(f, evacuatedDomain)
	require.Eventually(t, func() bool { return runsIn(f, evacuatedDomain) > before+20 }, 10*time.Second, 10*time.Millisecond)
}

// Guards against a daemon that starts during an outage of the store and does not serve although another daemon has the
// configuration, or that sends requests to an evacuated domain of which it could not read.
func TestStartFromPeer(t *testing.T) {
	var gates []*gate

	f := startGated(t, &gates)
	putEvacuation(f, platform.EvacuationValue)
	require.Eventually(t, func() bool { return len(f.Instances[3].Daemon.Dump().Decisions.Evacuated) == 1 },
		maxEvacuationDelay, 10*time.Millisecond)

	f.Store.SetFaults(store.Faults{Down: store.Busy})

	started := f.Instances[1]
	started.Settings.Seeds = []netip.AddrPort{f.Instances[2].Settings.Advertise, f.Instances[3].Settings.Advertise}
	require.NoError(t, f.RestartDaemon(started))
	require.Eventually(t, started.Daemon.Ready, 10*time.Second, 10*time.Millisecond)
	require.Equal(t, []string{evacuatedDomain}, started.Daemon.Dump().Decisions.Evacuated)
	require.Equal(t, http.StatusOK, lookUp(http.DefaultClient, started.CallerURL(), "stockdesk", http.Header{}))

	// The store is the authority again as soon as it answers.
	f.Store.SetFaults(store.Faults{})
	putEvacuation(f, "")
	require.Eventually(t, func() bool { return len(started.Daemon.Dump().Decisions.Evacuated) == 0 },
		15*time.Second, 10*time.Millisecond)
}
