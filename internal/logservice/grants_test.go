package logservice

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

func sample() keys.Record {
	claim := keys.Claim{Service: "shop", Partitions: []int{0, 15}, Owner: "a", Incarnation: 1 << 63, From: 1, Until: 600_001}
	ended := claim
	ended.Ended = true

	return keys.Record{
		Claims: []keys.Claim{claim},
		Extensions: []keys.Extension{
			{Owner: "a", Incarnation: 2, Until: 1_800_000_000_000},
			{Owner: "a", Incarnation: 2, Until: 3, Partitions: []int{1, 15}},
		},
		Signoffs: []keys.Signoff{{Owner: "b", Incarnation: 3, End: 5}},
		Base:     &keys.Base{Through: 7, Grants: []keys.Claim{claim, ended}},
	}
}

// Guards against a field that is lost or mixed up between the domain type and the message.
func TestGrantsRoundTrip(t *testing.T) {
	for _, record := range []keys.Record{{}, sample()} {
		data, err := EncodeGrants(record)
		require.NoError(t, err)
		decoded, err := DecodeGrants(data)
		require.NoError(t, err)
		require.Equal(t, record, decoded)
	}
}

// Guards against a record that stops a reader: any bytes give an error or a record that the reducer
// applies and that is encoded again without loss.
func FuzzDecodeGrants(f *testing.F) {
	data, err := EncodeGrants(sample())
	require.NoError(f, err)

	f.Add(data)
	f.Add(data[:len(data)/2])
	f.Add([]byte{0x0a, 0x04, 0x12, 0x02, 0xff, 0xff})
	f.Add([]byte{0xff})

	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := DecodeGrants(data)
		if err != nil {
			require.ErrorIs(t, err, ErrGrantRecord)

			return
		}

		encoded, err := EncodeGrants(record)
		require.NoError(t, err)
		again, err := DecodeGrants(encoded)
		require.NoError(t, err)
		require.Equal(t, record, again)

		now := time.UnixMilli(1_800_000_000_000)
		s := keys.New(keys.WithSelf("a", 1, "shop"))
		s.Apply(now, keys.PolicyChanged{Keys: manifest.Keys{Window: time.Hour, Grant: time.Minute}})
		s.Apply(now, keys.RecordsRead{Records: []keys.Entry{{Record: record}}, Next: 1})
		s.Apply(now, keys.Tick{})
		require.Equal(t, uint64(1), s.Through())

		if base, ok := s.Base(); ok {
			other := keys.New(keys.WithSelf("b", 1, "shop"))
			other.Apply(now, keys.BaseOffered{Base: base})
			copied, _ := other.Base()
			require.Equal(t, base, copied)
		}
	})
}
