package keys

import (
	"encoding/binary"
	"testing"
	"time"

	"github.com/google/uuid"
	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const service = "shop"

var (
	start  = time.Date(2026, 3, 1, 12, 0, 0, 0, time.UTC)
	policy = manifest.Keys{Window: 2 * time.Minute, Tolerance: 5 * time.Second, Grant: time.Minute}
)

// testKey returns a key with an issue time in Unix milliseconds and a number that makes it unique.
func testKey(issued int64, number uint32) Key {
	var id uuid.UUID

	binary.BigEndian.PutUint64(id[:8], uint64(issued)<<16|0x7000)
	id[8] = 0x80
	binary.BigEndian.PutUint32(id[12:], number)

	return newKey(id)
}

func alive(id instance.ID, incarnation instance.Incarnation) instance.Member {
	return instance.Member{ID: id, Incarnation: incarnation, Service: service}
}

// A sole member claims all partitions, and accepts a key only once it has read its claim back.
func TestClaimAndAdmit(t *testing.T) {
	s := New(WithSelf("a", 1, service))
	s.Apply(start, PolicyChanged{Keys: policy})
	s.Apply(start, MembersChanged{Service: service, Members: []instance.Member{alive("a", 1)}})
	effects := s.Apply(start, RecordsRead{})
	require.Len(t, effects, 1)
	record := effects[0].(AppendGrants).Record
	require.Len(t, record.Claims, 1)
	require.Len(t, record.Claims[0].Partitions, Partitions)

	r := request.Request{ID: "1", Service: service, Key: testKey(start.UnixMilli(), 1).UUID.String(), Fingerprint: 7}
	require.Equal(t, []Effect{Refuse{
		ID: "1", Verdict: verdict.MayHaveRun, Delivery: verdict.NotRun, Reason: NotOwner, RetryAfter: retryAfter,
	}}, s.Apply(start, Arrived{Request: r}))
	s.Apply(start, RecordsRead{Records: []Entry{{Offset: 0, Record: record}}, Next: 1})

	owner, incarnation, ok := s.Owner(service, r.Key)
	require.True(t, ok)
	require.Equal(t, instance.ID("a"), owner)
	require.Equal(t, instance.Incarnation(1), incarnation)

	require.Equal(t, []Effect{Admit{Request: r}}, s.Apply(start, Arrived{Request: r}))

	again := r
	again.ID = "2"
	require.Equal(t, []Effect{Wait{ID: "2"}}, s.Apply(start, Arrived{Request: again}))

	response := &Response{Status: 201, Body: []byte("done")}
	require.Equal(t, []Effect{Replay{ID: "2", Response: response}},
		s.Apply(start, Finished{ID: "1", Verdict: verdict.Answered, Response: response}))
	again.ID = "3"
	require.Equal(t, []Effect{Replay{ID: "3", Response: response}}, s.Apply(start, Arrived{Request: again}))
}
