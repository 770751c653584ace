package lint_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/lint"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

var update = flag.Bool("update", false, "rewrite the results in testdata")

// TestScripts checks warnings and differences. An archive holds either a manifest and the warnings about it, or two
// manifests and their differences. Its head names the failure that it guards against.
func TestScripts(t *testing.T) {
	paths, err := filepath.Glob("testdata/*.txtar")
	require.NoError(t, err)
	require.NotEmpty(t, paths)

	for _, path := range paths {
		t.Run(filepath.Base(path), func(t *testing.T) {
			archive, err := txtar.ParseFile(path)
			require.NoError(t, err)

			last := len(archive.Files) - 1
			manifests := make([]manifest.Manifest, last)

			for i, file := range archive.Files[:last] {
				manifests[i], err = manifest.Parse(file.Name, file.Data)
				require.NoError(t, err)
			}

			var lines []string

			if last > 1 {
				lines = lint.Diff(manifests[0], manifests[1])
				require.Empty(t, lint.Diff(manifests[1], manifests[1]))
			} else {
				for _, warning := range lint.Check(archive.Files[0].Name, archive.Files[0].Data, manifests[0]) {
					lines = append(lines, warning.Error())
				}
			}

			got := strings.Join(append(lines, ""), "\n")
			if *update {
				archive.Files[last].Data = []byte(got)
				require.NoError(t, os.WriteFile(path, txtar.Format(archive), 0o600))
			}

			require.Equal(t, string(archive.Files[last].Data), got)
		})
	}
}
