package keys

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"
	"github.com/google/uuid"
)

// Partitions is the number of partitions of each service. The records in the log depend on it, so it must not change
// while grants are in force.
const Partitions = 16

// uuidVersion is the UUID version that carries an issue time.
const uuidVersion = 7

// ErrKey is returned for an idempotency key that is not a UUIDv7.
var ErrKey = errors.New("idempotency key is not a UUIDv7")

// Key is a parsed idempotency key.
type Key struct {
	UUID uuid.UUID
	// Issued is the issue time in Unix milliseconds, by the caller's clock.
	Issued int64
	// Partition is at least 0 and less than Partitions.
	Partition int
}

// ParseKey parses a UUIDv7 in any of the forms that uuid.Parse accepts; all forms of one UUID are the same key. It
// returns ErrKey for any other text.
func ParseKey(text string) (Key, error) {
	id, err := uuid.Parse(text)
	if err != nil {
		return Key{}, ErrKey
	}

	if id.Version() != uuidVersion || id.Variant() != uuid.RFC4122 {
		return Key{}, ErrKey
	}

	return newKey(id), nil
}

// newKey derives the issue time and the partition of a UUIDv7. The partition is a hash of the whole UUID, because the
// first bytes are the time and equal for all keys of one millisecond.
func newKey(id uuid.UUID) Key {
	return Key{
		UUID:      id,
		Issued:    int64(binary.BigEndian.Uint64(id[:8]) >> 16),
		Partition: int(xxhash.Sum64(id[:]) % Partitions),
	}
}
