package daemon_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/platform"
)

// pairOfNodes are two instances of one service.
func pairOfNodes() []fleet.Node { return fleet.ExampleNodes(time.Millisecond)[:2] }

// Guards against a version that is not in force because the store came back from an older copy while the daemons did not
// read, and gave the offset up to which they had read to that version. No call fails.
func TestVersionAtReusedOffset(t *testing.T) {
	f, err := fleet.Start(t.Context(), pairOfNodes(), fleet.WithPlatform())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })

	publish := func(version int) {
		f.Store.Put(platform.ConfigTopic, platform.ConfigKey, operatorConfigOf(version))
	}

	publish(7)
	awaitVersion(t, f, 7, 10*time.Second)

	lost := time.Now()

	publish(8)
	awaitVersion(t, f, 8, maxConfigDelay)
	time.Sleep(time.Second)
	publish(9)
	awaitVersion(t, f, 9, maxConfigDelay)

	// The daemons pause after a version. The operator writes only the last version again, so that the next one takes the
	// offset of version 9.
	f.Store.Restore(time.Since(lost))
	publish(9)
	publish(10)

	awaitVersion(t, f, 10, maxConfigDelay)
}

// Guards against a configuration that is older than the one in force and replaces it after a return from an older copy.
func TestNoOlderVersionAfterReturn(t *testing.T) {
	f := startOnPlatform(t)

	f.Store.Put(platform.ConfigTopic, platform.ConfigKey, operatorConfigOf(9))
	awaitVersion(t, f, 9, maxConfigDelay)

	f.Store.Restore(time.Hour)
	f.Store.Put(platform.ConfigTopic, platform.ConfigKey, operatorConfigOf(8))
	time.Sleep(maxConfigDelay)
	awaitVersion(t, f, 9, time.Second)

	// The next version is in force although some versions are still missing.
	f.Store.Put(platform.ConfigTopic, platform.ConfigKey, operatorConfigOf(10))
	awaitVersion(t, f, 10, maxConfigDelay)
}

// order is an order with an idempotency key.
type order struct{ key string }

// sendOrders sends orders to a daemon one after the other, and returns those that it answered with success.
func sendOrders(t *testing.T, to *fleet.Instance, count int) []order {
	t.Helper()

	var accepted []order

	for range count {
		o := order{key: uuid.Must(uuid.NewV7()).String()}
		if o.send(t, to) == http.StatusCreated {
			accepted = append(accepted, o)
		}
	}

	return accepted
}

func (o order) send(t *testing.T, to *fleet.Instance) int {
	t.Helper()

	response, _ := doRequest(t, http.MethodPost, to.CallerURL()+"/orders", "stockdesk", o.key, "12 dumplings")

	return response.StatusCode
}

// restoreTopics makes the store come back from a copy of the given age, and writes the manifest again as an operator
// does.
func restoreTopics(f *fleet.Fleet, age time.Duration) {
	manifest := f.Store.Get(platform.ManifestTopic, config.Key)
	f.Store.Restore(age)
	f.Store.Put(platform.ManifestTopic, config.Key, manifest)
}

// startWithOwners starts two daemons of one service that accept orders with keys. It returns the time just after the
// first grants were appended.
func startWithOwners(t *testing.T) (*fleet.Fleet, time.Time) {
	t.Helper()

	f, err := fleet.Start(t.Context(), pairOfNodes())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })

	_, err = f.Publish(t.Context(), fleet.Manifest)
	require.NoError(t, err)
	require.Eventually(t, func() bool { return len(sendOrders(t, f.Instances[0], 1)) == 1 },
		20*time.Second, 50*time.Millisecond, "no owner accepted the order")

	return f, time.Now()
}

// requireOneRun sends orders again, to a daemon that starts after the return of the store and to the second one, and
// requires that none runs twice. In the end, all get the stored response of their owner, and meanwhile new orders are
// accepted.
func requireOneRun(t *testing.T, f *fleet.Fleet, orders []order) {
	t.Helper()
	require.Len(t, sendOrders(t, f.Instances[0], 20), 20, "owners refuse new orders")

	added := pairOfNodes()[0]
	added.ID = "stockdesk-3"
	require.NoError(t, f.Add(added))

	deadline := time.Now().Add(10 * time.Second)

	// The first answers come while the daemon starts, the last ones after it could have claimed all partitions.
	for _, entry := range []*fleet.Instance{f.Instances[2], f.Instances[1], f.Instances[2]} {
		require.Eventually(t, entry.Daemon.Ready, 10*time.Second, 10*time.Millisecond)

		for _, o := range orders {
			o.send(t, entry)
		}

		time.Sleep(time.Until(deadline) / 2)
	}

	for _, o := range orders {
		require.Equal(t, http.StatusCreated, o.send(t, f.Instances[2]))
		require.Equal(t, 1, f.Executions()[o.key], o.key)
	}
}

// Guards against an order that runs twice because the store came back from a copy without the grant of its owner, and
// another daemon gets the grant.
func TestOneRunAfterLossOfAllGrants(t *testing.T) {
	t.Parallel()

	f, _ := startWithOwners(t)
	orders := sendOrders(t, f.Instances[0], 40)
	require.NotEmpty(t, orders)

	restoreTopics(f, time.Hour)
	requireOneRun(t, f, orders)
}

// Guards against the same if the copy lacks only a part of the grants.
func TestOneRunAfterLossOfLateGrants(t *testing.T) {
	t.Parallel()

	f, granted := startWithOwners(t)
	orders := sendOrders(t, f.Instances[0], 40)
	require.NotEmpty(t, orders)

	time.Sleep(time.Until(granted.Add(1100 * time.Millisecond)))
	restoreTopics(f, 1500*time.Millisecond)
	requireOneRun(t, f, orders)
}
