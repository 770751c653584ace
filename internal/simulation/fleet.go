// Package simulation runs a fleet of daemons in virtual time: the real reducer of each daemon, with a network, backend
// servers, the store and callers that are models. One seed decides everything, so a run can be repeated exactly. No
// sockets, no goroutines and no clock are used.
//
// What is not modelled: processor time of the daemons, bytes and widths of links, and how messages are encoded.
package simulation

import (
	"fmt"
	"math/rand/v2"
	"net/netip"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// origin is the time at which every run begins.
var simulationStart = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// settleTime is how long a run goes on after the load has ended.
const settleTime = 3 * time.Second

// startSpread is the time within which all daemons start.
const startSpread = 300 * time.Millisecond

// Fleet is one run of a pattern.
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

// Run plays a pattern once.
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
	f.store = &platformStore{fleet: f, entries: make(map[instance.ID]membership.Entry), version: 1}
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

// place adds an instance. Those of a service take turns over the failure domains.
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
	peerPort = 8081
	// firstServerStream numbers the random streams of the servers.
	firstServerStream = 100
)

func (f *Fleet) simulate() {
	for _, d := range f.daemons {
		f.clock.scheduleAfter(time.Duration(f.random.Int64N(int64(startSpread))), d.start)
		f.clock.scheduleAfter(time.Duration(f.random.Int64N(int64(startSpread))), d.server.start)
		d.server.scheduleSlowPeriodChange()
	}

	begin := simulationStart.Add(f.pattern.WarmUp)

	f.clock.schedule(begin, func() {
		for i := range f.pattern.Kinds {
			f.callers.scheduleArrival(&f.pattern.Kinds[i])
		}
	})

	for _, fault := range f.pattern.Faults {
		f.clock.schedule(begin.Add(fault.At), func() { f.injectFault(fault) })
	}

	f.clock.runUntil(begin.Add(f.pattern.LoadDuration + settleTime))
	f.guarantees.checkRepeats()
	f.result.collect()
}

// elapsed is the time since the load began.
func (f *Fleet) loadElapsed() time.Duration {
	return f.clock.now.Sub(simulationStart.Add(f.pattern.WarmUp))
}

// second is the number of whole seconds of it.
func (f *Fleet) loadSecond() int { return max(0, int(f.loadElapsed()/time.Second)) }

// loaded reports whether callers send requests.
func (f *Fleet) underLoad() bool {
	return f.loadElapsed() >= 0 && f.loadElapsed() < f.pattern.LoadDuration
}
