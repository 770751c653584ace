package admission_test

import (
	"flag"
	"fmt"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

var update = flag.Bool("update", false, "rewrite the effects in testdata")

// TestScripts guards against changed decisions on the order of starts, on refusals and on draining.
// Each file in testdata has events, one a line, and the effects that they must have.
func TestScripts(t *testing.T) {
	files, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, files)

	for _, file := range files {
		t.Run(filepath.Base(file), func(t *testing.T) {
			archive, err := txtar.ParseFile(file)
			require.NoError(t, err)
			require.Len(t, archive.Files, 2)

			got := run(t, string(archive.Files[0].Data))
			if *update {
				archive.Files[1].Data = []byte(got)
				require.NoError(t, os.WriteFile(file, txtar.Format(archive), 0o600))
			}

			require.Equal(t, string(archive.Files[1].Data), got)
		})
	}
}

func run(t *testing.T, text string) string {
	var out strings.Builder

	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	state := admission.New(admission.WithLimits(2, 3))

	for line := range strings.Lines(text) {
		fields := strings.Fields(line)
		if len(fields) == 0 || strings.HasPrefix(line, "#") {
			continue
		}

		fmt.Fprintf(&out, "> %s\n", strings.TrimSpace(line))

		if fields[0] == "after" {
			d, err := time.ParseDuration(fields[1])
			require.NoError(t, err)

			now = now.Add(d)
		}

		for _, effect := range state.Apply(now, parse(t, now, fields)) {
			fmt.Fprintf(&out, "%T %+v\n", effect, effect)
		}
	}

	return out.String()
}

func parse(t *testing.T, now time.Time, fields []string) admission.Event {
	var attempt admission.Attempt
	if len(fields) > 1 {
		attempt.ID = request.ID(fields[1])
	}

	has := func(word string) bool { return strings.Contains(strings.Join(fields, " "), word) }
	last := fields[len(fields)-1]

	switch fields[0] {
	case "arrive":
		e := admission.Arrived{
			Attempt: attempt, Deadline: now.Add(time.Second), Nested: has("nested"), Alone: has("alone"), NoWait: has("nowait"),
		}
		if d, err := time.ParseDuration(last); err == nil {
			e.Deadline = now.Add(d)
		}

		return e
	case "done":
		elapsed, err := time.ParseDuration(last)
		require.NoError(t, err)

		return admission.Done{Attempt: attempt, Elapsed: elapsed}
	case "cancel":
		return admission.Cancelled{Attempt: attempt}
	case "drain":
		return admission.DrainStarted{}
	case "limits":
		slots, err := strconv.Atoi(fields[1])
		require.NoError(t, err)
		queue, err := strconv.Atoi(fields[2])
		require.NoError(t, err)

		return admission.LimitsChanged{Slots: slots, Queue: queue}
	case "server":
		return admission.ServerChanged{Up: has("up")}
	case "after":
		return admission.Tick{}
	default:
		t.Fatalf("unknown command %q", fields[0])

		return nil
	}
}
