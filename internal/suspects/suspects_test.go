package suspects

import (
	"errors"
	"flag"
	"fmt"
	"os"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"pgregory.net/rapid"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

const killer request.Fingerprint = 1

// The seed makes runs in CI repeatable; flags override it.
func TestMain(m *testing.M) {
	if err := errors.Join(flag.Set("rapid.seed", "20260301"), flag.Set("rapid.checks", "1000"),
		flag.Set("rapid.nofailfile", "true")); err != nil {
		panic(err)
	}

	os.Exit(m.Run())
}

type run struct {
	server int
	key    string
	alone  bool
	at     time.Time // of the crash
	silent bool      // crashed together with its daemon, so that there is no report
}

// world is the daemons of a service, the messages between them, and a request that crashes servers.
type world struct {
	now     time.Time
	states  []*State
	net     []func()
	runs    []run
	crashes []run // since the request last completed alone
	blamed  map[string]time.Time
	started int
	seen    map[string]int
	single  bool // copies do not run at the same time
}

func (w *world) apply(i int, e Event) {
	for _, effect := range w.states[i].Apply(w.now, e) {
		r := effect.(Report)
		for j := range w.states {
			if j != i {
				w.net = append(w.net, func() { w.apply(j, ReportHeard{r}) })
			}
		}
	}
}

// deliver hands over all messages, which the bound assumes to happen within the settle time.
func (w *world) deliver() {
	for len(w.net) > 0 {
		m := w.net[0]
		w.net = w.net[1:]
		m()
	}
}

// Guards against a request that crashes more than 2 servers in an expiry period, a request that is run
// alone twice for one crash, a refusal as not run of a key that can have run, and a request that stays
// suspect because a report was counted twice, renewed, or heard after its clearance.
func TestBound(t *testing.T) {
	seen := map[string]int{}

	rapid.Check(t, func(t *rapid.T) {
		w := &world{
			now: time.Unix(1_800_000_000, 0), seen: seen, blamed: map[string]time.Time{}, single: rapid.Bool().Draw(t, "single"),
		}
		for i := range 4 {
			w.states = append(w.states, New(WithSelf(instance.ID(fmt.Sprint(i)), 1)))
		}

		start := func(t *rapid.T) { w.start(t) }
		end := func(t *rapid.T) { w.end(t) }
		t.Repeat(map[string]func(*rapid.T){
			"start 1": start, "start 2": start, "start 3": start, "end 1": end, "end 2": end,
			"advance": func(t *rapid.T) {
				d := rapid.SampledFrom([]time.Duration{time.Second, SettleTime, 4 * time.Minute}).Draw(t, "d")
				for d > time.Minute && len(w.runs) > 0 {
					w.end(t) // The deadline of a request is far below the expiry time.
				}

				w.deliver()
				w.now = w.now.Add(d)
			},
			"message": func(t *rapid.T) {
				if len(w.net) > 0 {
					w.net[rapid.IntRange(0, len(w.net)-1).Draw(t, "m")]()
				}
			},
			"exchange": func(t *rapid.T) {
				from, to := w.states[rapid.IntRange(0, 3).Draw(t, "from")], rapid.IntRange(0, 3).Draw(t, "to")
				for _, r := range from.Reports(w.now) {
					w.apply(to, ReportHeard{r})
				}
			},
			"restart": func(t *rapid.T) {
				i := rapid.IntRange(0, 3).Draw(t, "restart")
				if slices.ContainsFunc(w.runs, func(r run) bool { return r.server == i && !r.alone }) {
					return // The bound rests on the report of the first crash.
				}

				w.deliver()

				for _, r := range w.runs {
					if r.server == i {
						r.at, r.silent = w.now, true
						w.crashes = append(w.crashes, r)
						w.seen["silent crash"]++
					}
				}

				w.runs = slices.DeleteFunc(w.runs, func(r run) bool { return r.server == i })
				w.started++
				w.states[i] = New(WithSelf(instance.ID(fmt.Sprint(i)), instance.Incarnation(w.started+2)))

				for _, r := range w.states[(i+1)%4].Reports(w.now) {
					w.apply(i, ReportHeard{r}) // A daemon that starts asks a peer first.
				}
			},
			"": w.check,
		})
	})

	for _, what := range []string{"free", "alone", "barred", "not run", "cleared", "returned", "2 crashes", "later crash", "silent crash"} {
		t.Logf("%8d %s", seen[what], what)
		require.Positive(t, seen[what], "the model never reached: %s", what)
	}
}

func (w *world) start(t *rapid.T) {
	if w.single && len(w.runs) > 0 {
		return
	}

	if w.single {
		w.deliver()
	}

	key := rapid.SampledFrom([]string{"", "", "k1", "k2", fmt.Sprint(w.started)}).Draw(t, "key")
	entry := rapid.IntRange(0, 3).Draw(t, "entry")

	answer := w.states[entry].Check(w.now, key, killer)
	if answer.Decider != "" {
		_, _ = fmt.Sscan(string(answer.Decider), &entry)
		answer = w.states[entry].Check(w.now, key, killer)
	}

	present := 0

	for _, c := range w.crashes {
		if !c.silent && w.now.Sub(c.at) < ExpiryTime {
			present++
		}
	}

	if w.single {
		require.Equal(t, present > 0, answer.Status != Free, "suspect without a crash, or the reverse")
		require.Equal(t, present >= barring, answer.Status == Barred && answer.Decider == "", "refused after one crash")
	}

	switch answer.Status {
	case Barred:
		w.seen["barred"]++

		at, ok := w.blamed[key]
		if w.single && ok && w.now.Sub(at) < ExpiryTime {
			require.True(t, answer.Earlier, "untrue not-run")
		}

		if !answer.Earlier {
			w.seen["not run"]++
		}

		return
	case Alone:
		w.seen["alone"]++

		settled := 0

		for _, c := range w.crashes {
			if age := w.now.Sub(c.at); !c.silent && age >= SettleTime && age < ExpiryTime {
				settled++
			}
		}

		require.LessOrEqual(t, settled, 1, "run alone after 2 crashes")
		require.False(t, slices.ContainsFunc(w.runs, func(r run) bool { return r.alone }), "run alone twice at once")
	case Free:
		w.seen["free"]++
	}

	w.started++
	w.runs = append(w.runs, run{server: entry, key: key, alone: answer.Status == Alone})
}

// end lets a run crash its server, or, if it runs alone, complete or end as not run.
func (w *world) end(t *rapid.T) {
	if len(w.runs) == 0 {
		return
	}

	i := rapid.IntRange(0, len(w.runs)-1).Draw(t, "run")
	r := w.runs[i]
	w.runs = append(w.runs[:i:i], w.runs[i+1:]...)

	switch outcome := rapid.IntRange(0, 5).Draw(t, "outcome"); {
	case r.alone && outcome == 0:
		w.apply(r.server, Cleared{killer})
		w.seen["cleared"]++
		w.crashes = nil
	case r.alone && outcome == 1:
		w.apply(r.server, Returned{killer})
		w.seen["returned"]++
	default:
		if len(w.crashes) > 0 && w.now.Sub(w.crashes[len(w.crashes)-1].at) > ExpiryTime {
			w.seen["later crash"]++
		}

		r.at = w.now
		w.crashes = append(w.crashes, r)
		w.blamed[r.key] = w.now
		w.apply(r.server, Crashed{[]Suspect{{Key: r.key, Fingerprint: killer}, {Fingerprint: 99}}})
	}
}

// check counts crashes in each expiry period.
func (w *world) check(t *rapid.T) {
	for i, first := range w.crashes {
		if first.silent {
			continue
		}

		count := 0

		for _, c := range w.crashes[i:] {
			if c.at.Sub(first.at) < ExpiryTime {
				count++
			}
		}

		if count == barring {
			w.seen["2 crashes"]++
		}

		if w.single {
			require.LessOrEqual(t, count, barring, "more than 2 crashed servers")
		}
	}
}
