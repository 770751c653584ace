package ini_test

import (
	"flag"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/cockroachdb/errors"
	"github.com/rogpeppe/go-internal/txtar"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/ini"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

var update = flag.Bool("update", false, "write the errors seen into testdata")

// Guards against an invalid file that is accepted, and against an error that has no position or that two different
// mistakes share.
func TestInvalidFiles(t *testing.T) {
	parsers := map[string]func(data []byte) error{
		"settings": func(data []byte) error {
			_, err := settings.Parse("settings.ini", data)

			return err
		},
		"manifest": func(data []byte) error {
			_, err := manifest.Parse("manifest.ini", data)

			return err
		},
	}
	for name, parse := range parsers {
		t.Run(name, func(t *testing.T) { testArchive(t, filepath.Join("testdata", name+".txtar"), parse) })
	}
}

// testArchive runs the cases of an archive, whose format the head of the archive describes.
func testArchive(t *testing.T, path string, parse func([]byte) error) {
	archive, err := txtar.ParseFile(path)
	require.NoError(t, err)

	base := string(archive.Files[0].Data)
	require.NoError(t, parse([]byte(base)))

	wants := map[string]string{}
	for _, file := range archive.Files {
		if name, found := strings.CutSuffix(file.Name, "/want"); found {
			wants[name] = string(file.Data)
		}
	}

	seen := map[string]string{}
	result := &txtar.Archive{Comment: archive.Comment, Files: archive.Files[:1:1]}

	for _, file := range archive.Files[1:] {
		if strings.HasSuffix(file.Name, "/want") {
			continue
		}

		t.Run(file.Name, func(t *testing.T) {
			err := parse([]byte(applyChanges(t, base, string(file.Data))))
			require.Error(t, err)

			var fault *ini.Error
			require.True(t, errors.As(err, &fault), "error has no position")
			require.Positive(t, fault.Line)

			got := err.Error() + "\n"
			require.Empty(t, seen[got], "same error as another case")
			seen[got] = file.Name
			result.Files = append(result.Files, file, txtar.File{Name: file.Name + "/want", Data: []byte(got)})

			if !*update {
				require.Equal(t, wants[file.Name], got)
			}
		})
	}

	require.GreaterOrEqual(t, len(seen), 25)

	if *update {
		require.NoError(t, os.WriteFile(path, txtar.Format(result), 0o600))
	}
}

// applyChanges returns the base with the changes of a case, in the format that the head of the archive describes.
func applyChanges(t *testing.T, base, changes string) string {
	lines := strings.Split(strings.TrimSuffix(base, "\n"), "\n")
	at, next := len(lines), 0

	for _, change := range strings.Split(strings.TrimSuffix(changes, "\n"), "\n") {
		text := change[1:]

		if change[0] == '+' {
			lines = append(lines[:at], append([]string{text}, lines[at:]...)...)
			at++
			next = at

			continue
		}

		for at = next; at < len(lines) && lines[at] != text; at++ {
		}

		require.Less(t, at, len(lines), "the base has no line %q", text)
		lines = append(lines[:at], lines[at+1:]...)
		next = at
	}

	return strings.Join(lines, "\n") + "\n"
}
