package admission_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

// TestSlots guards against an order of events that runs more attempts than slots, runs an attempt beside
// one that asked to be alone, starts one after it was refused or while draining, or loses one.
func TestSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots, queue := rapid.IntRange(1, 4).Draw(t, "slots"), rapid.IntRange(0, 4).Draw(t, "queue")
		state := admission.New(admission.WithLimits(slots, queue))
		now := time.Unix(0, 0)
		alone := map[admission.Attempt]bool{}
		waiting := map[admission.Attempt]bool{}
		draining := false

		var running []admission.Attempt

		apply := func(event admission.Event) {
			for _, effect := range state.Apply(now, event) {
				switch e := effect.(type) {
				case admission.Start:
					require.True(t, waiting[e.Attempt], "started without waiting")
					require.False(t, draining)
					delete(waiting, e.Attempt)

					running = append(running, e.Attempt)
				case admission.Refuse:
					require.True(t, waiting[e.Attempt], "refused without waiting")
					delete(waiting, e.Attempt)
				case admission.Abort:
					require.Contains(t, running, e.Attempt)
				case admission.Drained:
					require.True(t, draining)
					require.Empty(t, running)
				}
			}

			require.LessOrEqual(t, len(running), slots)
			require.LessOrEqual(t, len(waiting), queue+1, "the attempt that asks to be alone waits beside the queue")

			for _, a := range running {
				require.True(t, !alone[a] || len(running) == 1, "not alone")
			}
		}

		for step := range rapid.IntRange(1, 200).Draw(t, "steps") {
			now = now.Add(time.Duration(rapid.IntRange(0, 20).Draw(t, "ms")) * time.Millisecond)

			switch action := rapid.IntRange(0, 19).Draw(t, "action"); {
			case action < 9:
				a := admission.Attempt{ID: request.ID(fmt.Sprint(step))}
				alone[a], waiting[a] = action == 0, true
				apply(admission.Arrived{
					Attempt: a, Deadline: now.Add(time.Duration(rapid.IntRange(0, 300).Draw(t, "deadline")) * time.Millisecond),
					Alone: alone[a], Nested: rapid.Bool().Draw(t, "nested"), NoWait: action == 1,
				})
			case action < 16 && len(running) > 0:
				i := rapid.IntRange(0, len(running)-1).Draw(t, "done")
				a := running[i]
				running = append(running[:i], running[i+1:]...)
				apply(admission.Done{Attempt: a, Elapsed: 10 * time.Millisecond})
			case action == 16 && len(running) > 0:
				apply(admission.Cancelled{Attempt: running[0]})
			case action == 17:
				apply(admission.ServerChanged{Up: rapid.Bool().Draw(t, "up")})
			case action == 18 && step > 100:
				draining = true
				apply(admission.DrainStarted{})
			default:
				apply(admission.Tick{})
			}
		}

		now = now.Add(time.Second)
		for range 20 {
			if len(running) > 0 {
				a := running[0]
				running = running[1:]
				apply(admission.Done{Attempt: a})
			}

			apply(admission.ServerChanged{Up: true})
		}

		require.Empty(t, waiting, "attempts without an answer")
		require.Empty(t, running)
	})
}

// BenchmarkStep measures an arrival that has to wait, and the end of an attempt that lets it start.
func BenchmarkStep(b *testing.B) {
	now := time.Unix(0, 0)
	state := admission.New(admission.WithLimits(6, 12))
	attempts := make([]admission.Attempt, 64)

	for i := range attempts {
		attempts[i].ID = request.ID(fmt.Sprint(i))
	}

	for i := range 6 {
		state.Apply(now, admission.Arrived{Attempt: attempts[i], Deadline: now.Add(time.Hour)})
	}

	b.ReportAllocs()

	for i := 6; b.Loop(); i++ {
		state.Apply(now, admission.Arrived{Attempt: attempts[i%len(attempts)], Deadline: now.Add(time.Hour)})
		state.Apply(now, admission.Done{Attempt: attempts[(i-6)%len(attempts)], Elapsed: time.Millisecond})
	}
}
