package quota_test

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/quota"
)

// fullMessage returns a message with as many items as possible, all fields of which are as large as possible.
func fullMessage() quota.Message {
	m := quota.Message{
		Kind: quota.Return, From: math.MaxUint32, To: math.MaxUint32, Sequence: 1 << 48, Stamp: 1 << 48, Echo: 1 << 48,
		Lease: true, Release: true,
	}

	for range quota.MaxItems {
		m.Items = append(m.Items, quota.Item{
			Tenant: math.MaxUint32, Number: 1 << 48, Tokens: 1 << 31, Extra: 1 << 31, Arrivals: 1 << 31,
			Wait: time.Duration(1<<31) * time.Millisecond, Share: 1,
		})
	}

	return m
}

// TestDatagramSize guards against datagrams that are split on the way because they are too large.
func TestDatagramSize(t *testing.T) {
	data := quota.Encode(fullMessage())
	require.LessOrEqual(t, len(data), quota.MaxDatagram)

	m, err := quota.Decode(data)
	require.NoError(t, err)
	require.Equal(t, fullMessage(), m)

	_, err = membership.DecodeBeat(data)
	require.Error(t, err, "a message is taken for a beat")
}

// TestMalformed guards against datagrams that are accepted although they are incomplete, too large or of an unknown
// kind.
func TestMalformed(t *testing.T) {
	data := quota.Encode(fullMessage())
	unknown, anonymous := fullMessage(), fullMessage()
	unknown.Kind, anonymous.From = 99, 0
	long := fullMessage()
	long.Items = append(long.Items, quota.Item{Tenant: 1})

	for name, data := range map[string][]byte{
		"empty": {}, "marker": data[:1], "cut": data[:len(data)-1], "kind": quota.Encode(unknown),
		"sender": quota.Encode(anonymous), "items": quota.Encode(long), "beat": data[1:],
		"size": append(data, make([]byte, quota.MaxDatagram)...),
	} {
		_, err := quota.Decode(data)
		require.Error(t, err, name)
	}
}

// FuzzDecode guards against datagrams that crash the daemon, or that change when they are encoded and decoded again.
func FuzzDecode(f *testing.F) {
	f.Add(quota.Encode(fullMessage()))
	f.Add(quota.Encode(quota.Message{Kind: quota.Report, From: 1, To: 2, Items: []quota.Item{{Share: math.NaN()}}}))

	f.Fuzz(func(t *testing.T, data []byte) {
		m, err := quota.Decode(data)
		if err != nil {
			return
		}

		again, err := quota.Decode(quota.Encode(m))
		require.NoError(t, err)
		require.Equal(t, m, again)
	})
}
