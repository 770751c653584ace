package manifest_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// A rule that states zero switches delayed hedged attempts off; one that states nothing keeps the value of the service.
func ExampleHedge_WithOverride() {
	service := manifest.Hedge{Quantile: 0.95, Delayed: 0.05, Work: 0.1}
	rule := manifest.HedgeOverride{Delayed: manifest.Override{Stated: true}}

	fmt.Println(service.LimitsDelayed(), service.WithOverride(rule).LimitsDelayed(), service.WithOverride(rule).Work)
	// Output: true false 0.1
}

// Guards against limits outside their bounds that are accepted, in a service or in a rule.
func TestHedgeBounds(t *testing.T) {
	const text = "[service a]\nhosts = a\nprobes = 0\nbytes = 0\n%s\n" +
		"[rule a r]\npath = /\nkind = idempotent\ndeadline = 1s\nbody = 0\n%s\n"

	for _, test := range []struct{ service, rule, message string }{
		{"delayed = 0.6", "", "[service a] delayed"},
		{"work = 0.6", "", "[service a] work"},
		{"delayed = 0.05\nquantile = 0.4", "", "[service a] quantile"},
		{"", "delayed = -1", "[rule a r] delayed"},
		{"", "quantile = 1", "[rule a r] quantile"},
		{"", "work = x", "[rule a r] work"},
	} {
		_, err := manifest.Parse("m.ini", fmt.Appendf(nil, text, test.service, test.rule))
		require.ErrorContains(t, err, test.message)
	}
}
