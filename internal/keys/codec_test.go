package keys_test

import (
	"testing"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/keys"
)

// TestCodecs guards against fields of a record or handover that are lost or confused by encoding and decoding.
func TestCodecs(t *testing.T) {
	claims := []keys.Claim{{
		Service: "stock", Partitions: []int{0, 15}, Owner: "a", Incarnation: 7, From: 1, Until: 2, Ended: true,
	}}
	record := keys.Record{
		Signoffs:   []keys.Signoff{{Owner: "b", Incarnation: 8, End: 3}},
		Extensions: []keys.Extension{{Owner: "c", Incarnation: 9, Until: 4, Partitions: []int{5}}},
		Claims:     claims, Base: &keys.Base{Through: 10, Grants: claims},
	}
	requireSame(t, record)

	// After a return of the store from an older copy.
	id := keys.LedgerID{Epoch: 3, Start: 4}
	claims[0].Uncertain = true
	record.Ledger, record.Carried = id, claims
	record.Base = &keys.Base{Through: 10, Ledger: id, Barrier: 11, Grants: claims}
	record.Restart = &keys.Restart{Epoch: 3, Through: 12, Barrier: 13}
	requireSame(t, record)

	handover := keys.Handover{
		Service: "stock", From: "a", Incarnation: 7, Partitions: []int{1}, Floor: 2, End: 3,
		Round: 4, Chunk: 5, Chunks: 6,
		Entries: []keys.KeyEntry{
			{Key: uuid.Must(uuid.NewV7()), Fingerprint: 1 << 63, State: keys.StateInDoubt},
			{Key: uuid.Must(uuid.NewV7()), State: keys.StateAnswered, Response: &keys.Response{
				Status: 201, Header: []keys.Field{{Name: "A", Value: "b"}}, Body: []byte{0, 255},
			}},
		},
	}

	copied, err := keys.DecodeHandover(keys.EncodeHandover(handover))
	require.NoError(t, err)
	require.Equal(t, handover, copied)
}

// requireSame requires that a record is the same after it was encoded and decoded.
func requireSame(t *testing.T, record keys.Record) {
	t.Helper()

	decoded, err := keys.DecodeRecord(keys.EncodeRecord(record))
	require.NoError(t, err)
	require.Equal(t, record, decoded)
}

// FuzzDecodeRecord guards against malformed input that is accepted as a record or crashes the daemon.
func FuzzDecodeRecord(f *testing.F) {
	f.Add(keys.EncodeRecord(keys.Record{Claims: []keys.Claim{{Owner: "a"}}}))
	f.Add([]byte(`{"claims":[{"run":-1}]}`))
	f.Add([]byte("\x00"))

	f.Fuzz(func(t *testing.T, data []byte) {
		record, err := keys.DecodeRecord(data)
		if err != nil {
			require.True(t, record.Empty())
		}
	})
}
