package demo

import (
	"bytes"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// TestRun guards against guarantees that do not hold while parts of a fleet fail, and against incidents that do not
// happen.
func TestRun(t *testing.T) {
	var out bytes.Buffer

	options := Options{Duration: 10 * time.Second, Rate: 100, Seed: 7}
	require.NoError(t, Run(t.Context(), options, &out, zerolog.Nop()), out.String())

	for _, i := range incidents() {
		require.Contains(t, out.String(), i.text)
	}

	require.Contains(t, out.String(), "201 answered")
}

// TestCheck guards against a report that says "held" for a guarantee that did not hold.
func TestCheck(t *testing.T) {
	order := callerRequest{key: "k", wantPrefix: "order k"}
	taken := outcome{verdict: verdict.Answered, status: http.StatusCreated, body: "order k taken"}
	refused := outcome{verdict: verdict.NotRun, status: http.StatusServiceUnavailable}
	unclear := outcome{text: "502 may-have-run", status: http.StatusBadGateway}

	for name, test := range map[string]struct {
		outcomes   []outcome
		executions int
		probes     uint64
		broken     string
	}{
		"taken":           {[]outcome{taken, taken}, 1, 0, ""},
		"refused":         {[]outcome{refused}, 0, 0, ""},
		"one send ran":    {[]outcome{refused, taken}, 1, 0, ""},
		"unclear":         {[]outcome{unclear}, 1, 0, ""},
		"connection lost": {[]outcome{{text: connectionLost}}, 1, 0, "BROKEN  G6"},
		"ran twice":       {[]outcome{taken}, 2, 0, "BROKEN  G4"},
		"false not run":   {[]outcome{refused}, 1, 0, "BROKEN  G3"},
		"did not run":     {[]outcome{taken}, 0, 0, "BROKEN     orders"},
		"other's answer":  {[]outcome{{verdict: verdict.Answered, status: 201, body: "order j"}}, 1, 0, "BROKEN  G2"},
		"too many probes": {[]outcome{taken}, 1, 31, "BROKEN  G1"},
	} {
		r := newReport()
		r.sincePublish, r.elapsed, r.daemons, r.probes = time.Second, time.Second, 1, test.probes

		for _, o := range test.outcomes {
			r.add(order, o)
		}

		var out bytes.Buffer

		err := r.write(&out, map[string]int{"k": test.executions})
		if test.broken == "" {
			require.NoError(t, err, name)
		} else {
			require.ErrorIs(t, err, ErrGuarantee, name)
			require.Contains(t, out.String(), test.broken, name)
		}
	}
}
