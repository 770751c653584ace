package bench_test

import (
	"bytes"
	"context"
	"flag"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/bench"
)

var (
	update = flag.Bool("update", false, "record testdata/schedule.txt again")
	report = flag.String("report", "", "write the full report to this file")
	loads  = flag.String("loads", "", "loads for -report, comma-separated")
	runs   = flag.Int("runs", 1, "number of seeds for -report")
	table  = flag.Bool("mechanisms", false, "add the rows with one mechanism turned off to -report")
)

// TestReport writes the figures for docs/measurements/routing.md. It is a command, not a check.
func TestReport(t *testing.T) {
	if *report == "" {
		t.Skip("needs -report")
	}

	var (
		out     bytes.Buffer
		options = bench.Options{Seed: 1, Runs: *runs, Mechanisms: *table}
	)

	for _, text := range strings.Split(*loads, ",") {
		if load, err := strconv.ParseFloat(text, 64); err == nil {
			options.Loads = append(options.Loads, load)
		}
	}

	require.NoError(t, bench.Run(context.Background(), &out, options))
	require.NoError(t, os.WriteFile(*report, out.Bytes(), 0o600))
}

// TestSchedule guards against a schedule that differs from the one whose seed the report names.
func TestSchedule(t *testing.T) {
	var got bytes.Buffer

	require.NoError(t, bench.RecordSchedule(&got, bench.ScheduleSeed))

	if *update {
		require.NoError(t, os.WriteFile("testdata/schedule.txt", got.Bytes(), 0o600))
	}

	want, err := os.ReadFile("testdata/schedule.txt")
	require.NoError(t, err)
	require.Equal(t, string(want), got.String())
}

// TestRunIsRepeatable guards against policies or a simulation that depend on more than the seed, for
// example on the order of a map: figures could then not be reproduced from the report's command.
func TestRunIsRepeatable(t *testing.T) {
	run := func() string {
		var out bytes.Buffer

		options := bench.Options{
			Seed: 3, Length: 1100 * time.Millisecond, Loads: []float64{0.8}, Sizes: []string{"Cooperative"}, Parallel: 2,
		}
		require.NoError(t, bench.Run(context.Background(), &out, options))

		return out.String()
	}

	require.Equal(t, run(), run())
}
