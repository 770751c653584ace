package daemon_test

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/internal/standin/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/platform"
)

// maxConfigDelay is the time within which a published configuration has to be in force everywhere.
const maxConfigDelay = 3 * time.Second

// keepLookingUp sends the lookups of one caller to a daemon until ctx ends.
func keepLookingUp(ctx context.Context, entry *fleet.Instance, caller string) <-chan struct{} {
	ended := make(chan struct{})

	go func() {
		defer close(ended)

		client := &http.Client{Timeout: time.Second}
		defer client.CloseIdleConnections()

		for number := 0; task.Sleep(ctx, 20*time.Millisecond); number++ {
			lookUpOnPlatform(client, entry, fmt.Sprintf("%s-%s-%d", entry.Node.ID, caller, number))
		}
	}()

	return ended
}

// lookUpOnPlatform sends one lookup with the header fields of the platform. Its result does not matter.
func lookUpOnPlatform(client *http.Client, entry *fleet.Instance, id string) {
	r, err := http.NewRequest(http.MethodGet, entry.CallerURL()+"/stock/5", nil)
	if err != nil {
		return
	}

	r.Host = "shop.example"
	r.Header.Set(platform.Dialect().Attempt, id)

	response, err := client.Do(r)
	if err != nil {
		return
	}

	_, _ = io.Copy(io.Discard, response.Body)
	_ = response.Body.Close()
}

// awaitVersion requires that all daemons use a version within a time.
func awaitVersion(t *testing.T, f *fleet.Fleet, version uint64, within time.Duration) {
	t.Helper()

	ctx, cancel := context.WithTimeout(t.Context(), within)
	defer cancel()

	require.NoError(t, f.Wait(ctx, func() bool {
		return !slices.ContainsFunc(f.Instances, func(i *fleet.Instance) bool { return i.Daemon.Version() < version })
	}))
}

// publishDuringSilence makes all connections to the store silent, publishes a version, and checks that all daemons use
// it in time.
func publishDuringSilence(t *testing.T, f *fleet.Fleet) {
	t.Helper()

	// All daemons wait for the next version.
	time.Sleep(time.Second)
	f.Store.SilenceConnections()
	f.Store.Put(platform.ConfigTopic, platform.ConfigKey, operatorConfigOf(8))

	awaitVersion(t, f, 8, maxConfigDelay)
}

// TestSilentStoreConnections guards against a configuration that is in force late because the connections to the store
// of all daemons have gone silent without a reset, while new connections work.
func TestSilentStoreConnections(t *testing.T) {
	// With requests, the daemons watch each other.
	publishDuringSilence(t, startBusyFleet(t, time.Millisecond, 1))
}

// TestSilentStoreConnectionsOfIdleDaemons guards against the same in a fleet without requests, whose daemons hear
// nothing of each other.
func TestSilentStoreConnectionsOfIdleDaemons(t *testing.T) {
	publishDuringSilence(t, startOnPlatform(t))
}

// TestStaleListWithoutHistory guards against a daemon that calls the store without pauses while the store returns old
// lists of records and has dropped the records after them, and against one that does not use the newest configuration
// in time once the lists are up to date.
func TestStaleListWithoutHistory(t *testing.T) {
	const (
		staleness = 3 * time.Second
		// maxCalls is the number of calls of one daemon in that time, which bounds what the store bills.
		maxCalls = 20
	)

	f := startOnPlatform(t)
	before := f.Store.Counts()

	f.Store.SetFaults(store.Faults{Staleness: staleness})
	f.Store.Put(platform.ConfigTopic, platform.ConfigKey, operatorConfigOf(8))
	f.Store.DropHistory()
	// Connections that were waiting are gone, too, so that the daemons list the records.
	f.Store.SilenceConnections()

	time.Sleep(staleness)

	after := f.Store.Counts()
	require.LessOrEqual(t, after.Lists+after.Reads-before.Lists-before.Reads, maxCalls*len(f.Instances))

	awaitVersion(t, f, 8, maxConfigDelay)
}
