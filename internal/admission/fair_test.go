package admission_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

// pressure is a load of one tenant at a server.
type pressure struct {
	tenant    string
	perSecond float64
	priority  int
	depth     int
}

// share is how many attempts of a load arrived and started.
type share struct{ sent, started int }

func (s share) fraction() float64 { return float64(s.started) / float64(s.sent) }

// play runs loads into a server whose requests run 50 ms, and returns the share of each. It checks that slots,
// queue and tenants stay bounded.
func play(t testing.TB, slots, queue int, duration time.Duration, loads []pressure) []share {
	const work = 50 * time.Millisecond

	var (
		state  = admission.New()
		random = rand.New(rand.NewPCG(1, 2))
		now    = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)
		shares = make([]share, len(loads))
		ends   = make(map[time.Time][]admission.Attempt)
		number int
	)

	apply := func(event admission.Event) {
		for _, effect := range state.Apply(now, event) {
			if e, ok := effect.(admission.Start); ok {
				shares[e.Attempt.Number].started++
				ends[now.Add(work)] = append(ends[now.Add(work)], e.Attempt)
			}
		}
	}

	apply(admission.ServerChanged{Slots: slots, Queue: queue, Slowness: 1})

	for end := now.Add(duration); now.Before(end); now = now.Add(time.Millisecond) {
		for _, attempt := range ends[now] {
			apply(admission.Done{Attempt: attempt})
		}

		delete(ends, now)
		apply(admission.Tick{})

		for i, load := range loads {
			for chance := load.perSecond / 1000; random.Float64() < chance; chance-- {
				number++
				shares[i].sent++
				r := request.Request{Priority: load.priority, Depth: load.depth}
				apply(admission.Arrived{
					Attempt: admission.Attempt{ID: request.ID(fmt.Sprint(number)), Number: i}, Tenant: load.tenant,
					Priority: load.priority, Rank: r.Rank(),
					Deadline: now.Add(time.Second), Wait: 120 * time.Millisecond,
				})
			}
		}

		require.LessOrEqual(t, state.Running(), slots)
		require.LessOrEqual(t, len(state.Tenants()), state.Running()+state.Waiting().Total())
	}

	for _, attempts := range ends {
		for _, attempt := range attempts {
			state.Apply(now.Add(time.Second), admission.Done{Attempt: attempt})
		}
	}

	require.Empty(t, state.Tenants(), "tenants without attempts are forgotten")

	return shares
}

// total returns the sum of shares.
func total(shares []share) share {
	var sum share
	for _, s := range shares {
		sum.sent, sum.started = sum.sent+s.sent, sum.started+s.started
	}

	return sum
}

// tenantLoads returns equal loads of a number of tenants.
func tenantLoads(count int, perSecond float64) []pressure {
	loads := make([]pressure, count)
	for i := range loads {
		loads[i] = pressure{tenant: fmt.Sprintf("t-%d", i), perSecond: perSecond, priority: 1}
	}

	return loads
}

// TestPressingTenant guards against a tenant that takes the room of others by sending more. The server can run 260
// requests per second. In the first load, 20 tenants send 6 each and one sends 1,200, ten times as many as all others;
// in the second, all of 30 tenants exceed the server together, and one of them sends ten times as much as each other.
func TestPressingTenant(t *testing.T) {
	loads := append(tenantLoads(20, 6), pressure{tenant: "pressing", perSecond: 1200, priority: 1})
	shares := play(t, 13, 26, 20*time.Second, loads)

	for i, s := range shares[:20] {
		require.Greater(t, s.fraction(), 0.95, "tenant %d", i)
	}

	require.Greater(t, total(shares).started, 20*250, "no slot stays free")

	loads = append(tenantLoads(29, 12), pressure{tenant: "pressing", perSecond: 120, priority: 1})
	shares = play(t, 13, 26, 20*time.Second, loads)

	for i, s := range shares {
		require.Greater(t, s.fraction(), 0.25*total(shares).fraction(), "tenant %d", i)
	}

	for i, s := range shares[:29] {
		require.Greater(t, s.fraction(), shares[29].fraction(), "tenant %d", i)
	}
}

// TestOneAtATime guards against a tenant that always has attempts waiting and gets no slot, because others that are not
// known while they have no attempt go first again and again. Load: 86 tenants, one slot.
func TestOneAtATime(t *testing.T) {
	loads := append(tenantLoads(85, 1), pressure{tenant: "waiting", perSecond: 40, priority: 1})
	shares := play(t, 1, 30, 60*time.Second, loads)
	require.Greater(t, shares[85].fraction(), 0.25*total(shares).fraction())
}

// TestClasses guards against a class of requests that is served less often than a less urgent one, and against one that
// is not served at all. Load: tenants of three priorities and nested calls at a server that can run 260 requests per
// second; the sum of the load of each class and those above it is 40, 140, 290 and 490.
func TestClasses(t *testing.T) {
	loads := make([]pressure, 0, 20)
	for i := range 5 {
		loads = append(loads,
			pressure{tenant: fmt.Sprintf("u-%d", i), perSecond: 20, priority: 0},
			pressure{tenant: fmt.Sprintf("n-%d", i), perSecond: 30, priority: 1},
			pressure{tenant: fmt.Sprintf("l-%d", i), perSecond: 40, priority: 2},
			pressure{tenant: "service/a", perSecond: 8, depth: 1})
	}

	shares := play(t, 13, 26, 20*time.Second, loads)
	classes := make([]share, 4)

	for i, s := range shares {
		class := []int{1, 2, 3, 0}[i%4]
		classes[class] = total([]share{classes[class], s})
	}

	for i := range 3 {
		require.GreaterOrEqual(t, classes[i].fraction()+0.02, classes[i+1].fraction(), "class %d", i)
	}

	require.Greater(t, classes[1].fraction(), 0.9)

	require.Greater(t, classes[3].started, total(classes).started/50, "a lower rank gets its turns")

	// 500 urgent requests per second displace all others but the one that waits for its turn.
	shares = play(t, 13, 26, 20*time.Second, append(tenantLoads(1, 40), pressure{tenant: "u", perSecond: 500}))
	require.Greater(t, shares[0].started, total(shares).started/50)
	require.Greater(t, shares[1].fraction(), shares[0].fraction())
}
