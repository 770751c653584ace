package caller_test

import (
	"net/http"
	"net/netip"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/caller"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const apiKey = "key-of-oak"

// tenantRules is a manifest with a tenant, a rule that requires a key and one that does not.
func tenantRules() string {
	return rules + `
[rule stock open]
methods = GET
path = /open
kind = idempotent
deadline = 2s
body = 0
anonymous = true
regions = north, south

[tenant oak]
keys = ` + manifest.DigestKey(apiKey).String() + `
priority = 1
regions = south, east
`
}

func get(t *testing.T, url, key string) *http.Response {
	t.Helper()

	r, err := http.NewRequestWithContext(t.Context(), http.MethodGet, url, nil)
	require.NoError(t, err)

	r.Host = "stock.example"
	r.Header.Set("Tarragonmill-Tenant", "elm")

	if key != "" {
		r.Header.Set("Tarragonmill-Key", key)
	}

	response, err := http.DefaultTransport.RoundTrip(r)
	require.NoError(t, err)

	_ = response.Body.Close()

	return response
}

// TestAuthentication guards against requests that are accepted without a valid key, and against ones that are refused
// although their rule needs none.
func TestAuthentication(t *testing.T) {
	for _, test := range []struct {
		name, path, key string
		options         []caller.Option
		status          int
		tenant          string
	}{
		{name: "known key", path: "/items/1", key: apiKey, status: http.StatusAccepted, tenant: "oak"},
		{name: "unknown key", path: "/items/1", key: "other", status: http.StatusUnauthorized},
		{name: "no key", path: "/items/1", status: http.StatusUnauthorized},
		{name: "no key needed", path: "/open", status: http.StatusAccepted},
		{name: "known key where none is needed", path: "/open", key: apiKey, status: http.StatusAccepted, tenant: "oak"},
		{name: "unknown key where none is needed", path: "/open", key: "other", status: http.StatusUnauthorized},
		{
			name: "newer manifest", path: "/items/1", key: "other", status: http.StatusServiceUnavailable,
			options: []caller.Option{caller.WithNewerManifest(func() bool { return true })},
		},
	} {
		t.Run(test.name, func(t *testing.T) {
			url, s := serve(t, tenantRules(), answer(strings.NewReader(""), 0), test.options...)
			response := get(t, url+test.path, test.key)
			require.Equal(t, test.status, response.StatusCode)

			if test.status == http.StatusAccepted {
				require.Equal(t, test.tenant, (<-s.submissions).Request.Tenant)
			}
		})
	}
}

// TestTenantOfSubmission guards against a key or a forged tenant that reaches the server, and against a tenant whose
// priority or regions are ignored.
func TestTenantOfSubmission(t *testing.T) {
	url, s := serve(t, tenantRules(), answer(strings.NewReader(""), 0))
	get(t, url+"/open", apiKey)

	submission := <-s.submissions
	require.Empty(t, submission.Header.Values("Tarragonmill-Key"))
	require.Empty(t, submission.Header.Values("Tarragonmill-Tenant"))
	require.Equal(t, 1, submission.Request.Priority)
	require.Equal(t, request.NewRegions([]string{"south"}), submission.Request.Regions)
}

// TestKeylessRequestOfInstance guards against a nested call that is refused because it presents no key. The reducer decides
// whether it is one.
func TestKeylessRequestOfInstance(t *testing.T) {
	names := dialect.Default()
	names.CallToken = ""

	url, s := serve(t, tenantRules(), answer(strings.NewReader(""), 0),
		caller.WithDialect(names), caller.WithInstanceAddress(netip.MustParseAddr("127.0.0.1")))
	require.Equal(t, http.StatusAccepted, get(t, url+"/items/1", "").StatusCode)

	submission := <-s.submissions
	require.True(t, submission.CallOnly)
	require.True(t, submission.FromInstance)

	require.Equal(t, http.StatusAccepted, get(t, url+"/items/1", apiKey).StatusCode)
	require.False(t, (<-s.submissions).CallOnly)
}
