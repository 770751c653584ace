package dialect_test

import (
	"net/http"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/dialect"
)

func header(name, value string) http.Header { return http.Header{name: {value}} }

// TestNumbersOutOfRange guards against header fields of a faulty server or caller whose numbers overflow, or that are no
// numbers at all and pass every comparison.
func TestNumbersOutOfRange(t *testing.T) {
	d := dialect.Dialect{Load: "Load", Timeout: "Timeout", Limit: "Limit", Cold: "Cold"}

	load, ok := d.ParseLoad(header("Load", "1, 2,6,150"))
	require.True(t, ok)
	require.Equal(t, dialect.Load{Running: 1, Waiting: 2, Slots: 6, Slowness: 1.5}, load)

	for _, text := range []string{"1,2", "1,2,9223372036854775807", "1,2,99999999999999999999", "-1,2,6", "a,b,c"} {
		_, ok := d.ParseLoad(header("Load", text))
		require.False(t, ok, text)
	}

	timeout, ok := d.ParseTimeout(header("Timeout", "1500.5"))
	require.True(t, ok)
	require.Equal(t, 1500500*time.Microsecond, timeout)

	for _, text := range []string{"NaN", "Inf", "-1", "1e30", "soon"} {
		_, ok := d.ParseTimeout(header("Timeout", text))
		require.False(t, ok, text)
	}

	limit, stated, err := d.ParseLimit(header("Limit", "7.25"))
	require.NoError(t, err)
	require.True(t, stated)
	require.InDelta(t, 7.25, limit, 0)

	_, stated, err = d.ParseLimit(http.Header{})
	require.NoError(t, err)
	require.False(t, stated)

	for _, text := range []string{"NaN", "Inf", "-1", "1e400", "many"} {
		_, _, err := d.ParseLimit(header("Limit", text))
		require.Error(t, err, text)
	}

	for text, expected := range map[string]time.Duration{
		"1500.5": 1500500 * time.Microsecond, "0": 0, "1e30": 10 * time.Minute,
	} {
		cold, ok := d.ParseCold(header("Cold", text))
		require.True(t, ok, text)
		require.Equal(t, expected, cold, text)
	}

	for _, text := range []string{"NaN", "Inf", "-1", "1e400", "warm"} {
		_, ok := d.ParseCold(header("Cold", text))
		require.False(t, ok, text)
	}
}
