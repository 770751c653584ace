package daemon_test

import (
	"context"
	"strconv"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/store"
)

// startBusyFleet starts a fleet on the users' platform whose servers of one service need the given time for a request. Until
// the test ends, the given number of callers at each instance send lookups one after the other.
func startBusyFleet(t *testing.T, service time.Duration, callers int) *fleet.Fleet {
	t.Helper()

	f := startOnPlatform(t)
	setStockServers(f, backend.Behaviour{ServiceTime: service})

	ctx, cancel := context.WithCancel(t.Context())

	all := make([]<-chan struct{}, 0, callers*len(f.Instances))

	for _, i := range f.Instances {
		for n := range callers {
			all = append(all, keepLookingUp(ctx, i, strconv.Itoa(n)))
		}
	}

	t.Cleanup(func() {
		cancel()

		for _, ended := range all {
			<-ended
		}
	})

	return f
}

// setStockServers sets the behaviour of all servers to which the routes lead.
func setStockServers(f *fleet.Fleet, behaviour backend.Behaviour) {
	for _, i := range f.Instances {
		if i.Node.Service == "stockdesk" {
			i.Server.SetBehaviour(behaviour)
		}
	}
}

func runs(i *fleet.Instance) int {
	count, _ := i.Server.Served()

	return count
}

// TestLimit guards against a server that gets more requests from all daemons together than it allows, and against one
// that gets far fewer although there are more requests.
func TestLimit(t *testing.T) {
	const (
		perSecond = 4
		window    = 4 * time.Second
		// burst is the number of requests that may follow each other at once, and slack allows for those that are in
		// progress when the window begins.
		burst, slack = perSecond, 2
	)

	f := startBusyFleet(t, 50*time.Millisecond, 1)
	setStockServers(f, backend.Behaviour{ServiceTime: 50 * time.Millisecond, Limit: perSecond})
	time.Sleep(time.Second)

	before := make(map[*fleet.Instance]int)
	for _, i := range f.Instances {
		before[i] = runs(i)
	}

	time.Sleep(window)

	for _, i := range f.Instances {
		if i.Node.Service != "stockdesk" {
			continue
		}

		got := runs(i) - before[i]
		require.LessOrEqual(t, got, perSecond*int(window/time.Second)+burst+slack, i.Node.ID)
		require.GreaterOrEqual(t, got, perSecond*int(window/time.Second)/2, i.Node.ID)
	}
}

// TestLimitEnds guards against a limit that still holds after a server has stopped stating it. There are more lookups than
// all servers together can take, so that each of them is needed.
func TestLimitEnds(t *testing.T) {
	const (
		service = 100 * time.Millisecond
		callers = 8
	)

	f := startBusyFleet(t, service, callers)
	setStockServers(f, backend.Behaviour{ServiceTime: service, Limit: 2})
	time.Sleep(time.Second)
	setStockServers(f, backend.Behaviour{ServiceTime: service})
	time.Sleep(time.Second)

	before := make(map[*fleet.Instance]int)
	for _, i := range f.Instances {
		before[i] = runs(i)
	}

	time.Sleep(time.Second)

	for _, i := range f.Instances {
		if i.Node.Service == "stockdesk" {
			require.Greater(t, runs(i)-before[i], 10, i.Node.ID)
		}
	}
}

// TestLimitAfterRestart guards against a limit that the daemon beside the server forgets when it restarts, although the
// daemons that send the requests know it.
func TestLimitAfterRestart(t *testing.T) {
	const (
		perSecond = 1
		service   = 2 * time.Second
		// allowed is the number of requests within the service time, before the server has responded to the new run of its
		// daemon: the limit, a burst, and one in progress when the time begins.
		allowed = perSecond*int(service/time.Second) + perSecond + 1
	)

	f := startBusyFleet(t, 20*time.Millisecond, 1)
	setStockServers(f, backend.Behaviour{ServiceTime: 20 * time.Millisecond, Limit: perSecond})
	// Every daemon passes on a response that states the limit.
	time.Sleep(6 * time.Second)

	limited := f.Instances[0]
	limited.Server.SetBehaviour(backend.Behaviour{ServiceTime: service, Limit: perSecond})
	require.NoError(t, f.RestartDaemon(limited))

	before := runs(limited)

	time.Sleep(service)
	require.LessOrEqual(t, runs(limited)-before, allowed)
}

// TestLeavingAfterRestart guards against requests to a server that has said in a response that it leaves, if the daemon
// beside it restarts while the store is down and the server still announces itself as ready.
func TestLeavingAfterRestart(t *testing.T) {
	f := startBusyFleet(t, 10*time.Millisecond, 1)
	time.Sleep(time.Second)

	leaving := f.Instances[0]
	f.Store.SetFaults(store.Faults{Down: store.Busy})
	leaving.Server.SetBehaviour(backend.Behaviour{ServiceTime: 10 * time.Millisecond, Leaving: true})
	time.Sleep(time.Second)

	before := runs(leaving)

	require.NoError(t, f.RestartDaemon(leaving))
	time.Sleep(2 * time.Second)
	require.LessOrEqual(t, runs(leaving)-before, 0)
}
