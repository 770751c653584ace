package membership_test

import (
	"fmt"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/membership"
)

// TestEntryOutOfRange guards against an entry of another writer whose numbers make a daemon look idle for ever, keep it
// from being superseded, or lead to no address.
func TestEntryOutOfRange(t *testing.T) {
	entry := func(run, slots, limit, peer string) []byte {
		return fmt.Appendf(nil, `{"id":"a","run":%s,"status":"alive","peer":%q,"slots":%s,"limit":%s}`, run, peer, slots, limit)
	}

	const address = "10.0.0.1:7000"

	_, err := membership.DecodeEntry(entry("1700000000000000000", "10000", "6", address))
	require.NoError(t, err)

	for name, data := range map[string][]byte{
		"run":         entry("18446744073709551615", "6", "6", address),
		"slots":       entry("7", "9223372036854775807", "6", address),
		"limit":       entry("7", "6", "10001", address),
		"negative":    entry("7", "-1", "6", address),
		"port":        entry("7", "6", "6", "10.0.0.1:70000"),
		"no port":     entry("7", "6", "6", "10.0.0.1:0"),
		"no address":  entry("7", "6", "6", "0.0.0.0:7000"),
		"many digits": entry("1e30", "6", "6", address),
	} {
		_, err := membership.DecodeEntry(data)
		require.Error(t, err, name)
	}
}
