// Package spread measures how fast a configuration version reaches every daemon, and what it costs,
// over loopback sockets in one process. Its nodes have the daemon's reducers for configuration and
// its peer protocol, and nothing else; loopback has neither the delay nor the width of a real link.
package spread

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
)

// randomNeighbours is the number of neighbours that a node has besides its two in the ring. Without
// them, news would travel through half of the nodes one by one.
const randomNeighbours = 2

// Options of a fleet.
type Options struct {
	// Log is the base URL of the log service.
	Log string
	// Nodes is the number of nodes; the first Relays of them are relays.
	Nodes, Relays int
	Seed          uint64
	Validate      func(manifest string) error
}

// Fleet is a set of running nodes.
type Fleet struct {
	options Options
	ctx     context.Context
	cancel  context.CancelFunc
	nodes   []*Node
	byID    map[instance.ID]*Node

	mu       sync.Mutex
	arrivals map[uint64][]time.Time
	versions map[instance.ID]uint64
	errs     error
	changed  chan struct{}
}

// Start runs a fleet until the context ends or Stop is called.
func Start(ctx context.Context, options Options) (*Fleet, error) {
	f := &Fleet{
		options: options, byID: map[instance.ID]*Node{}, arrivals: map[uint64][]time.Time{},
		versions: map[instance.ID]uint64{}, changed: make(chan struct{}),
	}
	f.ctx, f.cancel = context.WithCancel(ctx)

	random := rand.New(rand.NewPCG(options.Seed, 4))

	var listeners []net.Listener

	for i := range options.Nodes {
		listener, err := (&net.ListenConfig{}).Listen(f.ctx, "tcp", "127.0.0.1:0")
		if err != nil {
			f.cancel()

			return nil, errors.Wrap(err, "listening for peers")
		}

		listeners = append(listeners, listener)

		n, err := f.newNode(nodeID(i), random.Uint64(), listener)
		if err != nil {
			f.cancel()

			return nil, err
		}

		f.nodes = append(f.nodes, n)
		f.byID[n.ID] = n
	}

	for i, n := range f.nodes {
		n.neighbours = neighbours(random, i, options.Nodes)
	}

	for i, n := range f.nodes {
		n.start(listeners[i], i < options.Relays)
	}

	return f, nil
}

func nodeID(i int) instance.ID { return instance.ID(fmt.Sprintf("n%03d", i)) }

func neighbours(random *rand.Rand, i, size int) []instance.ID {
	chosen := map[int]bool{i: true}

	var ids []instance.ID

	choose := func(j int) {
		if !chosen[j] {
			chosen[j] = true
			ids = append(ids, nodeID(j))
		}
	}

	choose((i + 1) % size)
	choose((i + size - 1) % size)

	for range randomNeighbours {
		choose(random.IntN(size))
	}

	return ids
}

// Stop ends all nodes and returns what failed.
func (f *Fleet) Stop() error {
	f.cancel()

	for _, n := range f.nodes {
		n.stop()
	}

	f.mu.Lock()
	defer f.mu.Unlock()

	return f.errs
}

func (f *Fleet) address(id instance.ID) netip.AddrPort { return f.byID[id].address }

func (f *Fleet) report(err error) {
	f.mu.Lock()
	defer f.mu.Unlock()

	f.errs = errors.CombineErrors(f.errs, err)
}

// inForce notes an arrival. A version that is not higher than the one before is a fault.
func (f *Fleet) inForce(id instance.ID, e config.InForce) {
	f.mu.Lock()
	defer f.mu.Unlock()

	if before := f.versions[id]; e.Version <= before {
		f.errs = errors.CombineErrors(f.errs, errors.Newf("%s went from version %d to %d", id, before, e.Version))
	}

	f.versions[id] = e.Version
	f.arrivals[e.Version] = append(f.arrivals[e.Version], time.Now())
	close(f.changed)
	f.changed = make(chan struct{})
}

// Wait waits until all nodes have a version, or a higher one, in force.
func (f *Fleet) Wait(ctx context.Context, version uint64) error {
	for {
		f.mu.Lock()
		missing, changed := f.missing(version), f.changed
		f.mu.Unlock()

		if missing == 0 {
			return nil
		}

		select {
		case <-changed:
		case <-ctx.Done():
			return errors.Wrapf(ctx.Err(), "%d of %d nodes lack version %d", missing, len(f.nodes), version)
		}
	}
}

func (f *Fleet) missing(version uint64) int {
	missing := len(f.nodes)
	for _, have := range f.versions {
		if have >= version {
			missing--
		}
	}

	return missing
}

// Arrivals returns when each node put a version in force.
func (f *Fleet) Arrivals(version uint64) []time.Time {
	f.mu.Lock()
	defer f.mu.Unlock()

	return append([]time.Time(nil), f.arrivals[version]...)
}

// Bytes returns the bytes that the nodes have received and sent between each other, both counted at
// each node. They include HTTP/2 framing and headers but not TCP and IP headers.
func (f *Fleet) Bytes() int64 {
	var total int64
	for _, n := range f.nodes {
		total += n.client.Meter().Total() + n.server.Meter().Total()
	}

	return total
}

// Append has each node queue a record that no reader understands.
func (f *Fleet) Append() {
	for i, n := range f.nodes {
		n.send(f.ctx, logrelay.AppendRequested{
			Token: 1, Stream: record.ConfigStream, Data: fmt.Appendf(nil, "\xff%d", i),
		})
	}
}
