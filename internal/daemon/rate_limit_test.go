package daemon_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// TestRateLimit guards against a tenant that exceeds its limit by sending through several daemons, or that takes the
// tokens of another tenant.
func TestRateLimit(t *testing.T) {
	f := startFleet(t)

	tenant := func(name, limit string) string {
		return "\n[tenant " + name + "]\nkeys = " + manifest.DigestKey(name+"-key").String() + "\n" + limit
	}
	_, err := f.Publish(t.Context(), fleet.Manifest+tenant("elm", "rate = 4\nburst = 4\n")+
		tenant("oak", "rate = 400\nburst = 400\n"))
	require.NoError(t, err)

	get := func(n int, name string) *http.Response {
		r, err := http.NewRequestWithContext(t.Context(), http.MethodGet,
			f.Instances[n%len(f.Instances)].CallerURL()+"/stock/5", nil)
		require.NoError(t, err)

		r.Host = "stockdesk"
		r.Header.Set("Tarragonmill-Key", name+"-key")

		response, err := http.DefaultClient.Do(r)
		require.NoError(t, err)
		require.NoError(t, response.Body.Close())

		return response
	}

	require.Eventually(t, func() bool { return get(0, "oak").StatusCode == http.StatusOK }, 10*time.Second,
		50*time.Millisecond)
	time.Sleep(time.Second)

	const requests = 150

	statuses := make(map[string]map[int]int)
	start := time.Now()

	for _, name := range []string{"elm", "oak"} {
		statuses[name] = make(map[int]int)

		for n := range requests {
			response := get(n, name)
			statuses[name][response.StatusCode]++

			if response.StatusCode != http.StatusOK {
				require.Equal(t, "not-run", response.Header.Get("Tarragonmill-Verdict"))
				require.NotEmpty(t, response.Header.Get("Retry-After"))
			}
		}
	}

	require.NotZero(t, statuses["elm"][http.StatusTooManyRequests], "%v", statuses)
	require.LessOrEqual(t, float64(statuses["elm"][http.StatusOK]), (4*max(5, time.Since(start).Seconds())+4)*1.1+20)
	require.Zero(t, statuses["oak"][http.StatusTooManyRequests], "%v", statuses)
	require.Greater(t, statuses["oak"][http.StatusOK], requests*9/10)
}
