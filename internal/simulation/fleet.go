// Package simulation runs a fleet of daemons in virtual time. Each daemon runs the real reducer; the network, the
// backend servers, the store and the callers are models. The seed determines everything, so a run can be repeated
// exactly. The package uses no sockets, no goroutines and no system clock.
//
// It does not model the CPU time of the daemons, the bandwidth of links, or the encoding of messages between daemons
// other than beats.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// simulationStart is the virtual time at which every run starts.
var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// settleTime is how long a run continues after the end of the load.
const settleTime = 3 * time.Second

// startSpread is the period in which the daemons and servers start, at random times.
const startSpread = 300 * time.Millisecond

// Fleet is the simulated fleet of one run.
type Fleet struct {
	pattern    Pattern
	manifest   manifest.Manifest
	clock      clock
	random     *rand.Rand
	network    network
	store      *platformStore
	callers    *callers
	guarantees *guarantees
	result     *Result

	daemons []*daemon
	byID    map[instance.ID]*daemon
	byPeer  map[netip.AddrPort]*daemon
	kinds   map[string]*Kind
}

// Run simulates a pattern once and returns what callers and servers observed.
func Run(p Pattern, seed uint64) *Result {
	f := newFleet(p, seed)
	f.simulate()

	return f.result
}

func newFleet(p Pattern, seed uint64) *Fleet {
	f := &Fleet{
		pattern: p, manifest: newManifest(p), clock: clock{now: simulationStart}, random: rand.New(rand.NewPCG(seed, 1)),
		byID: make(map[instance.ID]*daemon), byPeer: make(map[netip.AddrPort]*daemon), kinds: make(map[string]*Kind),
	}
	f.network = network{clock: &f.clock, random: rand.New(rand.NewPCG(seed, 2)), cutFaults: make(map[*daemon]int)}
	f.store = &platformStore{fleet: f, entries: make(map[instance.ID]membership.Entry), version: 1, epoch: store.FirstEpoch}
	f.callers = &callers{fleet: f, random: rand.New(rand.NewPCG(seed, 3)), rateFactor: 1}
	f.guarantees = newGuarantees(f)
	f.result = newResult(f)

	for i := range p.Kinds {
		f.kinds[p.Kinds[i].Name] = &p.Kinds[i]
	}

	for i := range p.Services {
		for number := range p.Services[i].Servers {
			f.addInstance(&p.Services[i], number, seed)
		}
	}

	return f
}

// addInstance adds an instance of a service. Number is its index in the service; consecutive instances are placed in
// different regions, then in different failure domains.
func (f *Fleet) addInstance(service *Service, number int, seed uint64) {
	region := number % f.pattern.Regions
	domain := number / f.pattern.Regions % f.pattern.Domains
	address := netip.AddrFrom4([4]byte{10, 0, byte(len(f.daemons) >> 8), byte(len(f.daemons))})
	d := &daemon{
		fleet: f, id: instance.ID(fmt.Sprintf("%s-%02d", service.Name, number+1)),
		place: instance.Place{Region: fmt.Sprintf("r%d", region+1), Domain: fmt.Sprintf("r%dd%d", region+1, domain+1)},
		peer:  netip.AddrPortFrom(address, peerPort),
	}
	d.server = &server{
		fleet: f, service: service, daemon: d, random: rand.New(rand.NewPCG(seed, firstServerStream+uint64(len(f.daemons)))),
	}
	f.daemons = append(f.daemons, d)
	f.byID[d.id], f.byPeer[d.peer] = d, d
}

const (
	// peerPort is the port at which every daemon receives beats.
	peerPort = 8081
	// firstServerStream is the stream number of the first server's random generator. Each server has one of its own.
	firstServerStream = 100
)

func (f *Fleet) simulate() {
	for _, d := range f.daemons {
		f.clock.scheduleAfter(time.Duration(f.random.Int64N(int64(startSpread))), d.start)
		f.clock.scheduleAfter(time.Duration(f.random.Int64N(int64(startSpread))), d.server.start)
		d.server.scheduleSlowPeriodChange()
	}

	loadStart := simulationStart.Add(f.pattern.WarmUp)

	f.clock.schedule(loadStart, func() {
		for i := range f.pattern.Kinds {
			f.callers.scheduleArrival(&f.pattern.Kinds[i])
		}
	})

	for _, fault := range f.pattern.Faults {
		f.clock.schedule(loadStart.Add(fault.At), func() { f.injectFault(fault) })
	}

	f.clock.runUntil(loadStart.Add(f.pattern.LoadDuration + settleTime))
	f.guarantees.checkRepeats()
	f.result.collect()
}

// loadElapsed returns the time since the start of the load; negative before it.
func (f *Fleet) loadElapsed() time.Duration {
	return f.clock.now.Sub(simulationStart.Add(f.pattern.WarmUp))
}

// loadSecond returns the number of whole seconds since the start of the load.
func (f *Fleet) loadSecond() int { return max(0, int(f.loadElapsed()/time.Second)) }

// underLoad reports whether callers start new requests.
func (f *Fleet) underLoad() bool {
	return f.loadElapsed() >= 0 && f.loadElapsed() < f.pattern.LoadDuration
}
