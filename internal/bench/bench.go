// Package bench compares routing policies on one recorded schedule of service times and the same
// arrivals, in virtual time.
//
// It drives the reducers of the packages routing and admission directly. It models delays between
// places but no bandwidth, loss or processing cost: it is an experiment on policies, not a network
// simulator.
package bench

import (
	"context"
	"fmt"
	"io"
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	// deadline of every request.
	deadline = 500 * time.Millisecond
	// queueDefault is the length of each server's queue in multiples of its slots.
	queueDefault = 2
	// queuePlain is the length of a queue that hardly ever refuses.
	queuePlain = 64
	// spillRate is a sixth of the link between the regions, in bytes per second.
	spillRate = 600_000
	// window is the time over which the capacity is averaged that the arrival rate follows.
	window = 250 * time.Millisecond
	// idempotentShare of the requests are lookups.
	idempotentShare = 0.8
	oracleName      = "oracle (true in flight)"
	roundRobinName  = "round robin"
)

// Options of Run. The zero value of a field selects its default.
type Options struct {
	// Seed of arrivals and policies.
	Seed uint64
	// Runs is the number of simulations with consecutive seeds that are added up.
	Runs int
	// Sizes selects services by the first word of their names; empty means all.
	Sizes []string
	// Length of the simulated time, at most the schedule's 20 s.
	Length time.Duration
	// Loads in shares of the capacity.
	Loads []float64
	// Parallel is the number of simulations that run at once.
	Parallel int
	// Mechanisms adds a table in which one mechanism at a time is turned off.
	Mechanisms bool
}

func (o Options) withDefaults() Options {
	if o.Seed == 0 {
		o.Seed = 1
	}

	if o.Runs <= 0 {
		o.Runs = 1
	}

	if o.Length <= warmUp || o.Length > recordedLength {
		o.Length = recordedLength
	}

	if len(o.Loads) == 0 {
		o.Loads = []float64{0.6, 0.8, 0.95, 1, 1.2}
	}

	if o.Parallel <= 0 {
		o.Parallel = 4
	}

	return o
}

// size is one user's service.
type size struct {
	name    string
	service string
	slots   int
	places  []instance.Place
	// entries is the number of entry daemons. The first ones are beside the servers, the others beside
	// servers of other services in the same places.
	entries int
	domains time.Duration
	regions time.Duration
}

func sizes() []size {
	place := func(region, domain string) instance.Place { return instance.Place{Region: region, Domain: domain} }
	milwaukee, rapids := place("west-lakes", "Milwaukee"), place("west-lakes", "Grand Rapids")
	cleveland, toronto := place("east-lakes", "Cleveland"), place("east-lakes", "Toronto")
	kalamaria, sindos := place("makedonia", "Kalamaria"), place("makedonia", "Sindos")
	volos, larisa := place("thessalia", "Volos-port"), place("thessalia", "Larisa-mill")

	return []size{
		{
			"Association, 7 servers x 6 slots", "stockdesk", 6,
			[]instance.Place{milwaukee, rapids, cleveland, toronto, milwaukee, rapids, cleveland},
			7,
			time.Millisecond, 20 * time.Millisecond,
		},
		{
			"Cooperative, 6 servers x 9 slots", "barber-counter", 9,
			[]instance.Place{kalamaria, sindos, volos, larisa, kalamaria, volos},
			6,
			500 * time.Microsecond, 20 * time.Millisecond,
		},
		{
			"Target, one service of 7 servers x 6 slots behind 84 entries", "stockdesk", 6,
			[]instance.Place{milwaukee, rapids, cleveland, toronto, milwaukee, rapids, cleveland},
			84,
			time.Millisecond, 20 * time.Millisecond,
		},
	}
}

func (s size) manifest(budget manifest.Budget) manifest.Service {
	return manifest.Service{
		Name: s.service, Budget: budget,
		Retry: manifest.Retry{Share: 0.2, Attempts: attempts},
		Hedge: manifest.Hedge{Share: 0.05, Quantile: 0.95},
	}
}

// arrival is a request that reaches an entry daemon.
type arrival struct {
	at      time.Duration
	entry   int
	demand  time.Duration
	request request.Request
}

// arrivals draws the requests of a run. The rate follows the capacity in windows, so that the load is
// the stated share at any time.
func arrivals(o Options, sz size, sched *schedule, share float64) []arrival {
	random := rand.New(rand.NewPCG(o.Seed, 3))
	perSlot := 1 / sched.meanDemand().Seconds()

	var list []arrival

	for from := time.Duration(0); from < o.Length; from += window {
		rate := share * perSlot * float64(sz.slots) * sched.capacity(len(sz.places), from, from+window)

		for at := from; ; {
			at += time.Duration(random.ExpFloat64() / rate * float64(time.Second))
			if at >= from+window {
				break
			}

			a := arrival{at: at, entry: random.IntN(sz.entries), demand: sched.demands[random.IntN(len(sched.demands))]}
			a.request = request.Request{
				ID: request.ID(fmt.Sprintf("r%d", len(list))), Service: sz.service, Size: requestBytes,
			}

			if random.Float64() < idempotentShare {
				a.request.Kind = manifest.Idempotent
			}

			list = append(list, a)
		}
	}

	return list
}

// capacity is the sum of the servers' speeds, averaged over a span.
func (s *schedule) capacity(servers int, from, to time.Duration) float64 {
	sum, count := 0.0, 0

	for at := from; at < to; at += time.Millisecond {
		count++

		for server := range servers {
			sum += s.speed(server, at)
		}
	}

	return sum / float64(count)
}

// task is one simulation; the results of those that differ only in the seed are added up.
type task struct {
	size      size
	share     float64
	contender contender
	seed      uint64
	result    *stats
}

func simulate(ctx context.Context, o Options, sched *schedule, t *task) error {
	o.Seed = t.seed
	w := build(o, t.size, sched, t.contender)

	list := arrivals(o, t.size, sched, t.share)
	for _, a := range list {
		w.after(a.at, func() { w.arrive(w.entries[a.entry], a) })
	}

	// Time is cut into pieces so that a cancelled context ends the simulation.
	for at := time.Duration(0); at < o.Length+deadline; at += window {
		if err := ctx.Err(); err != nil {
			return errors.Wrap(err, "simulate")
		}

		w.run(at + window)
	}

	t.result = w.stats

	return nil
}

// Run measures all policies and writes Markdown tables. It returns an error if the schedule is invalid,
// the context ends, or the output cannot be written.
func Run(ctx context.Context, out io.Writer, o Options) error {
	o = o.withDefaults()

	sched, err := loadSchedule()
	if err != nil {
		return err
	}

	tasks := plan(o)

	if err := runAll(ctx, o, sched, tasks); err != nil {
		return err
	}

	return report(out, o, sum(tasks, o.Runs))
}

// sum adds up the results of runs, which are neighbours.
func sum(tasks []*task, runs int) []*task {
	var sums []*task

	for i, t := range tasks {
		if i%runs == 0 {
			sums = append(sums, t)
		} else {
			sums[len(sums)-1].result.add(t.result)
		}
	}

	return sums
}

// selected returns the sizes that the options name.
func (o Options) selected() []size {
	var list []size

	for _, sz := range sizes() {
		if len(o.Sizes) == 0 || slices.Contains(o.Sizes, strings.Split(sz.name, ",")[0]) {
			list = append(list, sz)
		}
	}

	return list
}

func plan(o Options) []*task {
	list := baselines()
	for _, b := range budgets() {
		list = append(list, ours(b.name, b.budget))
	}

	if o.Mechanisms {
		list = append(list, mechanisms()...)
	}

	chosen := o.selected()
	tasks := make([]*task, 0, len(chosen)*len(o.Loads)*len(list)*o.Runs)

	for _, sz := range chosen {
		for _, share := range o.Loads {
			for _, c := range list {
				for run := range o.Runs {
					tasks = append(tasks, &task{size: sz, share: share, contender: c, seed: o.Seed + uint64(run)})
				}
			}
		}
	}

	return tasks
}

func runAll(ctx context.Context, o Options, sched *schedule, tasks []*task) error {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()

	var (
		group sync.WaitGroup
		queue = make(chan *task)
		ended = make(chan error, o.Parallel)
	)

	for range o.Parallel {
		group.Go(func() {
			for t := range queue {
				if err := simulate(ctx, o, sched, t); err != nil {
					ended <- err
					cancel()

					return
				}
			}
		})
	}

	for _, t := range tasks {
		select {
		case queue <- t:
		case <-ctx.Done():
		}
	}

	close(queue)
	group.Wait()
	close(ended)

	return <-ended
}
