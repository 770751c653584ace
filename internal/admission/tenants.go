package admission

import (
	"maps"
	"slices"
)

// tenants holds the tenants that have waiting or running attempts. Without tenants in the fleet, all attempts belong to
// the one with an empty name.
type tenants struct {
	byName map[string]*tenant
	// starts is the number of attempts that have started.
	starts uint64
	// served covers the attempts of all tenants.
	served served
	// contested is the number of starts, of one rank and priority with several tenants, since the last one that went to
	// the tenant that is served least.
	contested int
}

const (
	// leastServedInterval is the number of such starts of which one goes to the tenant that is served least. With turns
	// alone, a tenant that sends ten times as much as each other is served a tenth as often.
	leastServedInterval = 3
	// servedMemory is the number of attempts from which those of a tenant, and of all tenants, count half.
	servedMemory    = 64
	allServedMemory = 1024
	// newTenantWeight is the number of attempts for which a tenant that had none counts as served like all.
	newTenantWeight = 4
)

// served counts attempts that have arrived and those of them that have started. Old ones count less.
type served struct{ arrived, started float64 }

func (s *served) addArrival(memory float64) {
	if s.arrived++; s.arrived >= memory {
		s.arrived /= 2
		s.started /= 2
	}
}

// share returns the share of the attempts that have started; 1 if none has arrived.
func (s *served) share() float64 {
	if s.arrived == 0 {
		return 1
	}

	return s.started / s.arrived
}

// tenant counts the attempts of one tenant at the server.
type tenant struct {
	running, waiting int
	// lastStart is the number of the start of its last attempt. A tenant that had no attempts counts as started when one
	// arrives: if it went first, tenants with one attempt at a time would keep out one that always waits.
	lastStart uint64
	served    served
	// counted is set and used within single methods of queue.
	counted int
}

// goesBefore reports whether a tenant gets a slot before another one: the one with fewer running attempts, then the one
// whose last start is longer ago.
func (t *tenant) goesBefore(other *tenant) bool {
	if t.running != other.running {
		return t.running < other.running
	}

	return t.lastStart < other.lastStart
}

// arrive counts an attempt that has arrived, which may be refused.
func (ts *tenants) arrive(name string) {
	ts.served.addArrival(allServedMemory)

	if t := ts.byName[name]; t != nil {
		t.served.addArrival(servedMemory)
	}
}

// add counts a waiting attempt.
func (ts *tenants) add(name string) *tenant {
	t := ts.byName[name]
	if t == nil {
		if ts.byName == nil {
			ts.byName = make(map[string]*tenant)
		}

		t = &tenant{
			lastStart: ts.starts,
			served:    served{arrived: newTenantWeight, started: newTenantWeight * ts.served.share()},
		}
		ts.byName[name] = t
	}

	t.waiting++

	return t
}

// get returns a tenant; one without attempts if it is not known.
func (ts *tenants) get(name string) *tenant {
	if t := ts.byName[name]; t != nil {
		return t
	}

	return &tenant{lastStart: ts.starts}
}

// remove no longer counts a waiting attempt.
func (ts *tenants) remove(name string) {
	ts.byName[name].waiting--
	ts.forgetIdle(name)
}

// start counts a running attempt, which no longer waits.
func (ts *tenants) start(name string) {
	t := ts.add(name)
	t.waiting--
	t.running++
	ts.starts++
	t.lastStart = ts.starts
	t.served.started++
	ts.served.started++
}

// order returns the function that says which of two tenants gets the next slot, one of several that wait.
func (ts *tenants) order() func(t, other *tenant) bool {
	if ts.contested++; ts.contested < leastServedInterval {
		return (*tenant).goesBefore
	}

	ts.contested = 0

	return func(t, other *tenant) bool { return t.served.share() < other.served.share() }
}

// end no longer counts a running attempt.
func (ts *tenants) end(name string) {
	ts.byName[name].running--
	ts.forgetIdle(name)
}

// forgetIdle drops a tenant without attempts, so that the number of tenants is bounded by that of attempts.
func (ts *tenants) forgetIdle(name string) {
	if t := ts.byName[name]; t.running == 0 && t.waiting == 0 {
		delete(ts.byName, name)
	}
}

func (ts *tenants) resetCounts() {
	for _, t := range ts.byName {
		t.counted = 0
	}
}

// TenantLoad is the number of attempts of one tenant at the server.
type TenantLoad struct {
	Name             string
	Running, Waiting int
}

// Tenants returns the attempts of each tenant, ordered by name. It is empty if the fleet has no tenants.
func (s *State) Tenants() []TenantLoad {
	var loads []TenantLoad

	for _, name := range slices.Sorted(maps.Keys(s.queue.tenants.byName)) {
		if t := s.queue.tenants.byName[name]; name != "" {
			loads = append(loads, TenantLoad{Name: name, Running: t.running, Waiting: t.waiting})
		}
	}

	return loads
}
