package memory

import (
	"math"
	"os"
	"path/filepath"
	"testing"

	"github.com/stretchr/testify/require"
)

// Guards against a limit of the instance or of a control group that is not seen, and against one that keeps the largest
// legal body from being received on the smallest instance.
func TestAvailable(t *testing.T) {
	root := t.TempDir()
	inner := filepath.Join(root, "a", "b")
	require.NoError(t, os.MkdirAll(inner, 0o700))
	require.NoError(t, os.WriteFile(filepath.Join(inner, "memory.max"), []byte("max\n"), 0o600))
	require.EqualValues(t, math.MaxInt64, groupLimit(root, []byte("0::/a/b\n")))
	require.NoError(t, os.WriteFile(filepath.Join(root, "a", "memory.max"), []byte("184000000\n"), 0o600))
	require.EqualValues(t, 184_000_000, groupLimit(root, []byte("3:cpu:/\n0::/a/b\n")))
	require.EqualValues(t, 2048<<10, parseTotal([]byte("X: 1 kB\nMemTotal:       2048 kB\n")))
	require.EqualValues(t, math.MaxInt64, parseTotal([]byte("MemTotal\n")))
	require.EqualValues(t, []int64{100, 184_000_000, 2e9}, []int64{shareOf(100), shareOf(512e6), shareOf(8e9)})

	// A body of 64 MiB grows from 32 MiB and holds both for a moment.
	require.Greater(t, New(Capacity(184_000_000)).ceiling(SmallSize+1), int64(96<<20))
}
