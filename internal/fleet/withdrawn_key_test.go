package fleet_test

import (
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/platform"
)

// maxWithdrawalDelay is the time from the store's acknowledgement within which a withdrawn API key is refused at a daemon
// that the store refuses.
const maxWithdrawalDelay = 9 * time.Second

// putTenants publishes a configuration in which one tenant has the given API key.
func putTenants(f *fleet.Fleet, version int, key string) {
	f.Store.Put(platform.ConfigTopic, platform.ConfigKey, fmt.Appendf(nil, `{"version":"r%d",
		"routes":{"columns":["name","hostname","pathPrefix","routeType","timeoutMs","service"],
			"rows":[["lookup","shop.example","/stock/","safe",1500,"stockdesk"]]},
		"services":{"columns":["name"],"rows":[["stockdesk"]]},
		"tenants":{"columns":["name","apiKeys"],"rows":[["acme",[%q]]]}}`, version, key))
}

// lookUpWithKey sends one lookup of a tenant and returns the status.
func lookUpWithKey(to *fleet.Instance, key string) int {
	names := platform.Dialect()

	return lookUp(http.DefaultClient, to.CallerURL(), "shop.example",
		http.Header{names.Credential: {key}, names.Attempt: {"lookup"}})
}

// Guards against a daemon that goes on to accept a withdrawn API key, or to refuse a new one, because the store refuses
// its reads while others read the new version.
func TestWithdrawnKeyWhileStoreRefuses(t *testing.T) {
	var gates []*gate

	f, err := fleet.Start(t.Context(), fleet.ExampleNodes(time.Millisecond), withGates(&gates), fleet.WithPlatform())
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })

	awaitVersion := func(version uint64, within time.Duration) {
		require.Eventually(t, func() bool {
			return !slices.ContainsFunc(f.Instances, func(i *fleet.Instance) bool { return i.Daemon.Version() < version })
		}, within, 10*time.Millisecond)
	}

	putTenants(f, 7, "withdrawn-key")
	awaitVersion(7, 10*time.Second)

	// The daemon that the store refuses hears of the version from those that it watches for its requests.
	refused := f.Instances[3]
	require.Eventually(t, func() bool { return lookUpWithKey(refused, "withdrawn-key") == http.StatusOK },
		10*time.Second, 100*time.Millisecond)
	gates[3].refuses.Store(true)

	putTenants(f, 8, "new-key")
	require.Eventually(t, func() bool { return lookUpWithKey(refused, "withdrawn-key") == http.StatusUnauthorized },
		maxWithdrawalDelay, 10*time.Millisecond)
	require.Equal(t, http.StatusOK, lookUpWithKey(refused, "new-key"))
	require.EqualValues(t, 8, refused.Daemon.Version())

	// The store is the authority: the daemon follows it as soon as it answers.
	gates[3].refuses.Store(false)
	putTenants(f, 9, "newest-key")
	awaitVersion(9, 3*time.Second)
}
