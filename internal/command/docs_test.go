package command_test

import (
	"os"
	"regexp"
	"strings"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Guards against examples in the documents that the program rejects.
func TestDocumentedFiles(t *testing.T) {
	block := regexp.MustCompile("(?s)```ini\n(.*?)```")
	checked := 0

	for _, path := range []string{"../../README.md", "../../docs/OPERATIONS.md"} {
		page, err := os.ReadFile(path)
		require.NoError(t, err)

		for _, match := range block.FindAllStringSubmatch(string(page), -1) {
			checked++

			if strings.HasPrefix(match[1], "[instance]") {
				_, err = settings.Parse(path, []byte(match[1]))
			} else {
				_, err = manifest.Parse(path, []byte(match[1]))
			}

			require.NoError(t, err)
		}
	}

	require.Equal(t, 3, checked)
}
