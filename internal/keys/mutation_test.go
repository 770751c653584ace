package keys

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

var mutations = flag.Bool("keys.mutations", false,
	"run the model test without each guard of testdata/mutations.txtar")

// TestMutations guards against a model test that does not notice a missing guard in the code. Each entry of the list
// replaces one guard, and a model has to fail by an invariant. An entry is named "file: guard" and holds the old
// text, a line with "=>", and the new text.
func TestMutations(t *testing.T) {
	if !*mutations {
		t.Skip("takes minutes; run it with -keys.mutations")
	}

	archive, err := txtar.ParseFile("testdata/mutations.txtar")
	require.NoError(t, err)

	for _, f := range archive.Files {
		t.Run(f.Name, func(t *testing.T) {
			file, _, _ := strings.Cut(f.Name, ":")
			before, after, _ := strings.Cut(string(f.Data), "=>\n")
			source, err := os.ReadFile(file)
			require.NoError(t, err)
			require.Equal(t, 1, strings.Count(string(source), strings.TrimSpace(before)), "text to replace")

			changed := strings.Replace(string(source), strings.TrimSpace(before), strings.TrimSpace(after), 1)
			dir := t.TempDir()
			replacement := filepath.Join(dir, filepath.Base(file))
			require.NoError(t, os.WriteFile(replacement, []byte(changed), 0o600))

			path, err := filepath.Abs(file)
			require.NoError(t, err)
			overlay, err := json.Marshal(map[string]map[string]string{"Replace": {path: replacement}})
			require.NoError(t, err)
			require.NoError(t, os.WriteFile(filepath.Join(dir, "overlay.json"), overlay, 0o600))

			command := exec.CommandContext(t.Context(), "go", "test", "-overlay", filepath.Join(dir, "overlay.json"),
				"-run", "^TestModel", ".", "-rapid.shrinktime=0s", "-rapid.checks=1500", "-rapid.steps=300")
			command.Dir = filepath.Dir(file)
			out, err := command.CombinedOutput()
			require.Error(t, err, "the model test passes without the guard")
			require.Contains(t, string(out), "[rapid] failed", string(out))

			for line := range strings.Lines(string(out)) {
				if strings.Contains(line, "Messages:") || strings.Contains(line, "[rapid] failed") {
					t.Log(strings.TrimSpace(line))
				}
			}
		})
	}
}
