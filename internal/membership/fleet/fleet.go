package fleet

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
)

const (
	// seedCount is the number of daemons that the others start from.
	seedCount = 3
	// domains is the number of failure domains of the target, in two regions.
	domains = 7
	// reportsPerDaemon leaves room for repeated reports of a watched status.
	reportsPerDaemon = 4
	// pollInterval is the period at which tables are compared.
	pollInterval = 50 * time.Millisecond
)

// ErrTimeout is returned if the fleet does not reach a state in time.
var ErrTimeout = errors.New("timed out")

// Fleet is a set of daemons in this process.
type Fleet struct {
	Daemons []*Daemon
	seeds   []netip.AddrPort
	random  *rand.Rand
	watched atomic.Pointer[watch]
	// launched counts all starts; it is the incarnation of the latest.
	launched int
}

// New returns an empty fleet.
func New(seed uint64) *Fleet {
	return &Fleet{random: rand.New(rand.NewPCG(seed, 0))}
}

// places are the regions and failure domains of the target.
func places() []instance.Place {
	all := make([]instance.Place, 0, domains)
	for domain := range domains {
		all = append(all, instance.Place{
			Region: fmt.Sprintf("region-%d", domain%2), Domain: fmt.Sprintf("domain-%d", domain),
		})
	}

	return all
}

// Launch starts a daemon with a number, which determines its ID and place.
func (f *Fleet) Launch(ctx context.Context, number int) (*Daemon, error) {
	f.launched++

	self := instance.Member{
		ID:          instance.ID(fmt.Sprintf("instance-%04d", number)),
		Incarnation: instance.Incarnation(f.launched),
		Service:     fmt.Sprintf("service-%03d", number/5),
		Place:       places()[number%len(places())],
		Slots:       6,
		Started:     time.Now(),
	}

	d, err := start(ctx, self, f.random.Uint64(), f.seeds, &f.watched)
	if err != nil {
		return nil, err
	}

	if len(f.seeds) < seedCount {
		f.seeds = append(f.seeds, d.address)
	}

	f.Daemons = append(f.Daemons, d)

	return d, nil
}

// Grow starts daemons until there is a number of them, with a delay after each one.
func (f *Fleet) Grow(ctx context.Context, size int, delay time.Duration) error {
	for len(f.Daemons) < size {
		if _, err := f.Launch(ctx, len(f.Daemons)); err != nil {
			return err
		}

		time.Sleep(delay)
	}

	return nil
}

// Settle waits until all tables are equal and hold all daemons, and returns how long that took.
func (f *Fleet) Settle(timeout time.Duration) (time.Duration, error) {
	begin := time.Now()

	for time.Since(begin) < timeout {
		if f.settled() {
			return time.Since(begin), nil
		}

		time.Sleep(pollInterval)
	}

	return timeout, errors.Wrapf(ErrTimeout, "tables differ after %s", timeout)
}

func (f *Fleet) settled() bool {
	digests := map[uint64]bool{}
	equal := true

	for _, d := range f.Daemons {
		d.query(func(s *membership.State) {
			dump := s.Dump()
			digests[dump.Digest] = true
			equal = equal && dump.Ready && len(s.All()) == len(f.Daemons)
		})

		if !equal || len(digests) > 1 {
			return false
		}
	}

	return true
}

// Spread sends an event to a daemon and returns how long each other daemon took to learn a status.
func (f *Fleet) Spread(
	d *Daemon, event membership.Event, status instance.Status, timeout time.Duration,
) ([]time.Duration, error) {
	w := &watch{member: d.ID, status: status, reports: make(chan report, reportsPerDaemon*len(f.Daemons))}
	f.watched.Store(w)

	defer f.watched.Store(nil)

	known := map[instance.ID]bool{d.ID: true}
	begin := time.Now()
	d.send(event)

	var delays []time.Duration

	timer := time.NewTimer(timeout)
	defer timer.Stop()

	for len(delays) < len(f.Daemons)-1 {
		select {
		case r := <-w.reports:
			if !known[r.observer] {
				known[r.observer] = true
				delays = append(delays, r.at.Sub(begin))
			}
		case <-timer.C:
			return delays, errors.Wrapf(ErrTimeout, "%d of %d daemons know after %s", len(delays), len(f.Daemons)-1, timeout)
		}
	}

	return delays, nil
}

// Replace ends a daemon in order and starts a new run of it.
func (f *Fleet) Replace(ctx context.Context, at int) error {
	d := f.Daemons[at]
	d.send(membership.LeaveStarted{})

	// The announcement is on its way before the sockets close.
	time.Sleep(pollInterval)

	if err := d.stop(); err != nil {
		return err
	}

	number, err := d.number()
	if err != nil {
		return err
	}

	fresh, err := f.Launch(ctx, number)
	if err != nil {
		return err
	}

	f.Daemons = f.Daemons[:len(f.Daemons)-1]
	f.Daemons[at] = fresh

	return nil
}

// number returns the number that a daemon was launched with.
func (d *Daemon) number() (int, error) {
	var number int

	_, err := fmt.Sscanf(string(d.ID), "instance-%d", &number)

	return number, errors.Wrapf(err, "reading the number of %s", d.ID)
}

// Stop ends all daemons.
func (f *Fleet) Stop() error { return stopAll(f.Daemons) }

func stopAll(daemons []*Daemon) error {
	for _, d := range daemons {
		d.cancel()
	}

	var err error
	for _, d := range daemons {
		err = errors.CombineErrors(err, d.stop())
	}

	return err
}
