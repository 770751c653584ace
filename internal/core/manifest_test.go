package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// TestOlderManifest guards against a manifest that is replaced by an older one, which a store may return if it reads
// outdated data.
func TestOlderManifest(t *testing.T) {
	now := time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
	s := New(Options{Self: instance.Member{ID: "self"}})
	read := func(version uint64) bool {
		for _, effect := range s.Apply(now, ManifestRead{Version: version, Manifest: manifest.Manifest{}}) {
			if changed, ok := effect.(ManifestChanged); ok {
				require.Equal(t, version, changed.Version)

				return true
			}
		}

		return false
	}

	require.True(t, read(7))
	require.False(t, read(7))
	require.False(t, read(4))
	require.EqualValues(t, 7, s.Version())
	require.True(t, read(9))
}
