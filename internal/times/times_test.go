package times_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/times"
)

// Guards against a timer that fires at once because the zero time is taken for the earliest, or that never fires.
func TestNextPassesOverZero(t *testing.T) {
	first := time.Unix(100, 0)
	second := first.Add(time.Second)

	require.Equal(t, first, times.Next(time.Time{}, second, first, time.Time{}))
	require.Zero(t, times.Next(time.Time{}, time.Time{}))
	require.Zero(t, times.Next())
	require.Equal(t, first, times.Earlier(second, first))
	require.Equal(t, second, times.Later(second, first))
}
