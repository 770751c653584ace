package keys

import (
	"encoding/binary"
	"time"

	"github.com/google/uuid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const service = "shop"

var (
	start  = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	policy = manifest.Keys{Window: 2 * time.Minute, Tolerance: 5 * time.Second, Grant: time.Minute}
)

// testKey returns a UUIDv7 with an issue time in Unix milliseconds; the number makes it unique.
func testKey(issued int64, number uint32) Key {
	var id uuid.UUID

	binary.BigEndian.PutUint64(id[:8], uint64(issued)<<16|0x7000)
	id[8] = 0x80
	binary.BigEndian.PutUint32(id[12:], number)

	return newKey(id)
}

// alive returns a member of the test service with the status Alive.
func alive(id instance.ID, incarnation instance.Incarnation) instance.Member {
	return instance.Member{ID: id, Incarnation: incarnation, Service: service}
}
