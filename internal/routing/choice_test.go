package routing_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// BenchmarkRequest guards against a choice whose cost grows with the number of servers. One operation is
// a whole request: arrival, choice, answer with a hint, delivery.
func BenchmarkRequest(b *testing.B) {
	for _, servers := range []int{10, 100, 610} {
		b.Run(fmt.Sprintf("servers=%d", servers), func(b *testing.B) {
			now := time.Unix(0, 0)
			state := routing.New()
			state.Apply(now, routing.PolicyChanged{Services: []manifest.Service{{
				Name: "stock", Budget: manifest.Budget{Probes: 100, Bytes: 1e6}, Retry: manifest.Retry{Share: 0.2, Attempts: 3},
				Hedge: manifest.Hedge{Share: 0.05, Quantile: 0.95},
			}}})

			members := make([]instance.Member, servers)
			for i := range members {
				members[i] = instance.Member{ID: instance.ID(fmt.Sprint(i)), Service: "stock", Slots: 6}
			}

			state.Apply(now, routing.MembersChanged{Service: "stock", Members: members})

			ids := make([]request.ID, 1024)
			for i := range ids {
				ids[i] = request.ID(fmt.Sprint("r", i))
			}

			b.ReportAllocs()

			for i := 0; b.Loop(); i++ {
				now = now.Add(30 * time.Microsecond)

				r := request.Request{ID: ids[i%len(ids)], Service: "stock", Kind: manifest.Idempotent, Deadline: now.Add(time.Second)}
				for _, effect := range state.Apply(now, routing.Arrived{Request: r}) {
					if a, ok := effect.(routing.Attempt); ok {
						state.Apply(now, routing.AttemptEnded{
							ID: r.ID, Number: a.Number, Target: a.Target.ID, Outcome: routing.Succeeded, Verdict: verdict.Answered,
							Hinted: a.Hint, Hint: load.Hint{InFlight: i % 6, Limit: 6, Latency: time.Millisecond}, Elapsed: time.Millisecond,
						})
					}
				}
			}
		})
	}
}
