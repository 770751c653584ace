package record_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
)

var (
	configs = []record.Config{
		record.Publish{ID: "a", Base: 3, Manifest: "[service]\n"},
		record.Snapshot{Version: 4, Through: 9, Manifest: "[service]\n", ID: "a"},
	}
	contacts = []record.Contact{{Domain: "cleveland", Peers: []string{"127.0.0.1:7000", "[::1]:7000"}}}
)

// fuzz checks that a decoder accepts any bytes without a panic, and that what it accepts survives
// another round. Otherwise one record could stop, or divide, all readers of a stream.
func fuzz[T any](f *testing.F, valid []T, encode func(T) []byte, decode func([]byte) (T, error)) {
	for _, value := range valid {
		data := encode(value)
		decoded, err := decode(data)
		require.NoError(f, err)
		require.Equal(f, value, decoded)
		f.Add(data)
		f.Add(data[:len(data)-1])
		f.Add(append([]byte{0xff}, data...))
	}

	f.Add([]byte(nil))

	f.Fuzz(func(t *testing.T, data []byte) {
		decoded, err := decode(data)
		if err != nil {
			require.ErrorIs(t, err, record.ErrMalformed)

			return
		}

		again, err := decode(encode(decoded))
		require.NoError(t, err)
		require.Equal(t, decoded, again)
	})
}

func FuzzConfig(f *testing.F) { fuzz(f, configs, record.EncodeConfig, record.DecodeConfig) }

func FuzzContact(f *testing.F) { fuzz(f, contacts, record.EncodeContact, record.DecodeContact) }
