package core

import (
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

var testStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// placedState returns the state of a daemon in a failure domain, beside a server with one slot.
func placedState(domain string) *State {
	s := New(Options{
		Self:       instance.Member{ID: "self", Incarnation: 1, Service: "stock", Place: instance.Place{Domain: domain}},
		FixedSlots: 1, Queue: 4,
	})
	s.Apply(testStart, Started{})
	s.Apply(testStart, EpochSeen{Epoch: 1})
	s.Apply(testStart, membership.EntriesRead{})

	return s
}

// evacuate reports a complete list of evacuated domains.
func evacuate(s *State, epoch store.Epoch, end int64, domains ...string) []Effect {
	return s.Apply(testStart, EvacuationsRead{At: store.Position{Epoch: epoch, Offset: end}, Domains: domains})
}

// Guards against an older list, or one that may be outdated, that ends an evacuation, against a return of the store from
// an older copy that ends it, and against an evacuation that nothing ends.
func TestEvacuationOrder(t *testing.T) {
	s := placedState("d1")

	evacuate(s, 1, 5, "d2")
	evacuate(s, 1, 4)
	require.Equal(t, []string{"d2"}, s.Evacuated(), "older list")

	s.Apply(testStart, EvacuationsRead{At: store.Position{Epoch: 1, Offset: 6}, Incomplete: true})
	require.Equal(t, []string{"d2"}, s.Evacuated(), "list that may be outdated")

	changed := effectsOf[EvacuationsChanged](evacuate(s, 1, 6, "d3"))
	require.Len(t, changed, 1)
	require.Equal(t, []string{"d3"}, changed[0].Began)
	require.Equal(t, []string{"d2"}, changed[0].Ended)

	evacuate(s, 2, 3)
	require.Equal(t, []string{"d3"}, s.Evacuated(), "list of an older copy")
	evacuate(s, 1, 9)
	require.Equal(t, []string{"d3"}, s.Evacuated(), "late list of the earlier epoch")

	s.Apply(testStart, EvacuationsRead{At: store.Position{Epoch: 2, Offset: 4}, Ended: []string{"d3"}})
	require.Empty(t, s.Evacuated())

	// The operator writes again what was lost, and ends it.
	evacuate(s, 3, 1, "d3")
	evacuate(s, 3, 2)
	require.Empty(t, s.Evacuated())
}

// Guards against attempts that start, wait or are accepted at a server of an evacuated domain, against running ones that
// are cut off, and against a report that the server is open.
func TestEvacuatedServer(t *testing.T) {
	s := placedState("d1")
	s.Apply(testStart, health.Observed{})
	arrive := func(id request.ID) []Effect {
		return s.Apply(testStart, AttemptArrived{
			Attempt: admission.Attempt{ID: id}, Wait: time.Second,
			Request: request.Request{ID: id, Service: "stock", Deadline: testStart.Add(time.Minute)},
		})
	}

	require.Len(t, effectsOf[admission.Start](arrive("running")), 1)
	require.Len(t, effectsOf[admission.Queued](arrive("waiting")), 1)

	effects := evacuate(s, 1, 1, "d1")
	require.Equal(t, []admission.Refuse{{Attempt: admission.Attempt{ID: "waiting"}, Reason: admission.Evacuated}},
		effectsOf[admission.Refuse](effects))
	require.Empty(t, effectsOf[admission.Abort](effects))
	require.False(t, s.Dump(testStart).Told.Open)
	require.Equal(t, instance.Alive, s.Self().Status)

	refused := effectsOf[admission.Refuse](arrive("late"))
	require.Len(t, refused, 1)
	require.Equal(t, admission.Evacuated, refused[0].Reason)

	s.Apply(testStart, AttemptServed{Attempt: admission.Attempt{ID: "running"}, Ran: true})
	evacuate(s, 1, 2)
	require.True(t, s.Dump(testStart).Told.Open)
	require.Len(t, effectsOf[admission.Start](arrive("afterwards")), 1)
}
