package manifest_test

import (
	"fmt"
	"net/http"
	"net/url"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// largeManifest returns a manifest of the target size, 120 services, with ten rules per service.
func largeManifest() manifest.Manifest {
	m := manifest.Manifest{Keys: manifest.Keys{Window: time.Minute, Grant: time.Minute}}

	for i := range 120 {
		name := fmt.Sprintf("service-%03d", i)
		service := manifest.Service{
			Name: name, Hosts: []string{name + ".example"}, Retry: manifest.Retry{Attempts: 3},
		}

		for j := range 10 {
			service.Rules = append(service.Rules, manifest.Rule{
				Name: fmt.Sprintf("rule-%d", j), Methods: []string{http.MethodGet},
				Path: fmt.Sprintf("/part-%d/{id}", j), Deadline: time.Second,
			})
		}

		m.Services = append(m.Services, service)
	}

	return m
}

// Guards against a manifest of the target size that is too large to publish, or too slow to parse and compile.
func BenchmarkParseAndCompile(b *testing.B) {
	data := manifest.Format(largeManifest())
	require.Less(b, len(data), manifest.MaxSize/2)
	b.ReportMetric(float64(len(data)), "bytes")

	for b.Loop() {
		m, err := manifest.Parse("large.ini", data)
		require.NoError(b, err)
		_, err = manifest.NewMatcher(m)
		require.NoError(b, err)
	}
}

// Guards against a cost of matching that is significant beside the 1.2 ms per request that the target allows.
func BenchmarkMatch(b *testing.B) {
	matcher, err := manifest.NewMatcher(largeManifest())
	require.NoError(b, err)

	location := &url.URL{Path: "/part-7/12345"}

	for b.Loop() {
		if _, err := matcher.Match("service-077.example:8080", http.MethodGet, location); err != nil {
			b.Fatal(err)
		}
	}
}
