package manifest_test

import (
	"net/http"
	"net/url"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const shop = `
[service shop]
hosts = shop.example, ::1
probes = 1
bytes = 1KiB
[rule shop item]
methods = GET
path = /items/{id}
kind = idempotent
deadline = 1s
body = 0
[rule shop newest]
methods = GET
path = /items/newest
kind = idempotent
deadline = 2s
body = 0
[rule shop order]
methods = POST
path = /orders/
kind = non-idempotent
deadline = 5s
body = 64KiB
`

// Guards against a request that is matched by the wrong rule, above all a non-idempotent request that is treated as
// idempotent.
func TestMatch(t *testing.T) {
	m, err := manifest.Parse("shop.ini", []byte(shop))
	require.NoError(t, err)
	matcher, err := manifest.NewMatcher(m)
	require.NoError(t, err)

	for _, test := range []struct {
		host, method, target, rule string
		err                        error
	}{
		{"shop.example", http.MethodGet, "/items/7", "item", nil},
		{"Shop.Example:8080", http.MethodGet, "/items/7?x=/orders/", "item", nil},
		{"shop.example.", http.MethodHead, "/items/7", "item", nil},
		{"[::1]:8080", http.MethodGet, "/items/newest", "newest", nil},
		{"shop.example", http.MethodGet, "/items/a%2Fb", "item", nil},
		{"shop.example", http.MethodPost, "/orders/5/pay", "order", nil},
		{"shop.example", http.MethodPost, "/items/7", "", manifest.ErrNoRule},
		{"shop.example", http.MethodPost, "/orders", "", manifest.ErrNoRule},
		{"shop.example", http.MethodGet, "//items/7", "", manifest.ErrNoRule},
		{"shop.example", http.MethodGet, "/orders/../items/7", "", manifest.ErrNoRule},
		{"shop.example", http.MethodConnect, "/items/7", "", manifest.ErrNoRule},
		{"shop.example", "get", "/items/7", "", manifest.ErrNoRule},
		{"shop.example", http.MethodOptions, "*", "", manifest.ErrNoRule},
		{"shop.example.org", http.MethodGet, "/items/7", "", manifest.ErrNoService},
		{"", http.MethodGet, "/items/7", "", manifest.ErrNoService},
	} {
		location, err := url.ParseRequestURI(test.target)
		if err != nil {
			location = &url.URL{Path: test.target}
		}

		match, err := matcher.Match(test.host, test.method, location)
		require.ErrorIs(t, err, test.err, "%v", test)
		require.Equal(t, test.rule, match.Rule.Name, "%v", test)
	}
}

// Guards against the removal of all services by the empty file of a failed pipeline.
func TestEmpty(t *testing.T) {
	for _, text := range []string{"", "\n# no service\n[keys]\n"} {
		_, err := manifest.Parse("empty.ini", []byte(text))
		require.ErrorContains(t, err, "manifest has no service")
	}

	require.Error(t, manifest.Manifest{}.Validate())
}

// Guards against a crash on damaged input, and against a manifest whose meaning changes in the canonical form, in which
// it is published.
func FuzzParse(f *testing.F) {
	paths, err := filepath.Glob("testdata/corpus/*.ini")
	require.NoError(f, err)
	require.NotEmpty(f, paths)

	for _, path := range paths {
		data, err := os.ReadFile(path)
		require.NoError(f, err)
		f.Add(data)
	}

	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := manifest.Parse("fuzz.ini", data)
		if err != nil {
			return
		}

		reparsed, err := manifest.Parse("again.ini", manifest.Format(m))
		require.NoError(t, err)
		require.Equal(t, m, reparsed)

		_, err = manifest.NewMatcher(m)
		require.NoError(t, err)
	})
}
