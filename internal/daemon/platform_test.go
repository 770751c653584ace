package daemon_test

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/platform"
)

const operatorConfig = `{"version":"r7",
	"routes":{"columns":["name","hostname","pathPrefix","routeType","timeoutMs","service","maxAttempts"],
		"rows":[["lookup","shop.example","/stock/","safe",1500,"stockdesk",2]]},
	"services":{"columns":["name"],"rows":[["stockdesk"]]}}`

// operatorConfigOf returns operatorConfig with another version.
func operatorConfigOf(version int) []byte {
	return []byte(strings.Replace(operatorConfig, `"r7"`, fmt.Sprintf(`"r%d"`, version), 1))
}

// startOnPlatform starts a fleet that uses the platform's header fields and follows the operator's configuration. It
// returns when the configuration is in force at all daemons.
func startOnPlatform(t *testing.T, options ...fleet.Option) *fleet.Fleet {
	t.Helper()

	f, err := fleet.Start(t.Context(), fleet.ExampleNodes(time.Millisecond), append(options, fleet.WithPlatform())...)
	require.NoError(t, err)
	t.Cleanup(func() { require.NoError(t, f.Stop()) })

	f.Store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(operatorConfig))

	awaitVersion(t, f, 7, 10*time.Second)

	return f
}

// lookupSeal sends one lookup to a daemon and returns the seal of the response, which names the server.
func lookupSeal(t *testing.T, f *fleet.Fleet, entry int, id string) string {
	t.Helper()

	names := platform.Dialect()
	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, f.Instances[entry].CallerURL()+"/stock/5", nil)
	require.NoError(t, err)

	r.Host = "shop.example"
	r.Header.Set(names.Attempt, id)

	response, err := http.DefaultClient.Do(r)
	require.NoError(t, err)
	require.NoError(t, response.Body.Close())
	require.Equal(t, http.StatusOK, response.StatusCode)
	require.Equal(t, id, response.Header.Get(names.Attempt))
	require.NotEmpty(t, response.Header.Get(names.Seal))

	return response.Header.Get(names.Seal)
}

// Guards against a daemon that does not follow the operator's configuration, loses the identifier or the seal of a
// response, or sends requests to a server that has announced that it is draining.
func TestOnPlatform(t *testing.T) {
	f := startOnPlatform(t)
	require.NotEmpty(t, lookupSeal(t, f, 0, "before"))

	leaving := f.Instances[0]
	require.Equal(t, "stockdesk", leaving.Node.Service)
	require.NoError(t, f.Drain(t.Context(), leaving))

	drainedSeal := "seal-of-" + leaving.Server.Name()

	for n := range 200 {
		require.NotEqual(t, drainedSeal, lookupSeal(t, f, n%len(f.Instances), "after"))
	}
}
