package keys_test

import (
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/keys"
)

// FuzzDecodeHandover guards against handover messages that crash the receiving daemon.
func FuzzDecodeHandover(f *testing.F) {
	f.Add(keys.EncodeHandover(keys.Handover{Service: "s", From: "a", Chunks: 1}))

	f.Fuzz(func(t *testing.T, data []byte) {
		handover, err := keys.DecodeHandover(data)
		if err != nil {
			return
		}

		_, err = keys.DecodeHandover(keys.EncodeHandover(handover))
		require.NoError(t, err)
	})
}
