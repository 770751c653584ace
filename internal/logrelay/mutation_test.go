package logrelay_test

import (
	"encoding/json"
	"flag"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"
)

// TestMain fixes the seed, so that a run reaches the same transitions each time. Other seeds are
// tried with -rapid.seed.
func TestMain(m *testing.M) {
	flag.Parse()

	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "300"} {
		if f := flag.Lookup(name); f.Value.String() == f.DefValue {
			_ = flag.Set(name, value)
		}
	}

	os.Exit(m.Run())
}

// Guards against a state-machine test that would not notice if a guard were missing: with any one of
// them removed it has to fail.
func TestMutations(t *testing.T) {
	if testing.Short() {
		t.Skip("compiles the reducers once per mutation")
	}

	archive, err := txtar.ParseFile("testdata/mutations.txtar")
	require.NoError(t, err)

	limit := make(chan struct{}, 3)

	for _, file := range archive.Files {
		t.Run(file.Name, func(t *testing.T) {
			t.Parallel()

			limit <- struct{}{}
			defer func() { <-limit }()

			source, change, _ := strings.Cut(string(file.Data), "\n")
			from, to, found := strings.Cut(change, "=>\n")
			require.True(t, found)

			source, err := filepath.Abs(source)
			require.NoError(t, err)

			original, err := os.ReadFile(source)
			require.NoError(t, err)

			from, to = strings.TrimSuffix(from, "\n"), strings.TrimSuffix(to, "\n")
			require.Equal(t, 1, strings.Count(string(original), from), "the text to replace")

			mutated := filepath.Join(t.TempDir(), "mutated.go")
			require.NoError(t, os.WriteFile(mutated, []byte(strings.Replace(string(original), from, to, 1)), 0o600))

			overlay, err := json.Marshal(map[string]any{"Replace": map[string]string{source: mutated}})
			require.NoError(t, err)

			overlayFile := filepath.Join(t.TempDir(), "overlay.json")
			require.NoError(t, os.WriteFile(overlayFile, overlay, 0o600))

			output, err := exec.CommandContext(t.Context(), "go", "test", "-overlay", overlayFile, "-run", "^TestMachine$",
				"-count=1", ".", "-rapid.checks=2000", "-rapid.nofailfile", "-rapid.shrinktime=0s").CombinedOutput()
			require.Error(t, err, "the state-machine test passed without the guard")
			require.Contains(t, string(output), "[rapid] failed after")
		})
	}
}
