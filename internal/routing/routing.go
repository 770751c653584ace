// Package routing decides at the entry daemon which backend server runs a request, and what happens
// after each attempt. It does no I/O and reads no clock.
//
// Each Attempt effect is followed by exactly one AttemptEnded, also after CancelAttempt and after the
// request was given up; each Probe effect by exactly one ProbeEnded. The daemon keeps the answer of an
// attempt until Deliver names it or the request ends.
package routing

import (
	"math"
	"math/rand/v2"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// TickInterval is the period of Tick events.
const TickInterval = 50 * time.Millisecond

// Option configures New.
type Option func(*State)

// WithSeed seeds the random choices.
func WithSeed(seed uint64) Option {
	return func(s *State) { s.random = rand.New(rand.NewPCG(seed, seed^0x9e3779b97f4a7c15)) }
}

// WithPlace sets where the daemon runs; nearer servers are preferred.
func WithPlace(place instance.Place) Option {
	return func(s *State) { s.place = place }
}

// State is the routing state of one entry daemon. It is not safe for concurrent use.
type State struct {
	random *rand.Rand
	place  instance.Place
	// off has a bit for each mechanism that is turned off.
	off uint
	// started is the time of the first event about members or policies; divisor is the number of daemons
	// among which the budgets are divided at present.
	started  time.Time
	divisor  float64
	services map[string]*service
	// order lists the services in the order in which they became known.
	order   []*service
	servers map[instance.ID]*server
	flights map[request.ID]*flight
	counts  Counts
}

// New returns a state that knows no services and no members.
func New(options ...Option) *State {
	s := &State{
		services: make(map[string]*service),
		servers:  make(map[instance.ID]*server),
		flights:  make(map[request.ID]*flight),
	}
	WithSeed(1)(s)

	for _, option := range options {
		option(s)
	}

	return s
}

// Apply handles one event.
func (s *State) Apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Arrived:
		return s.arrived(now, e.Request)
	case AttemptEnded:
		return s.attemptEnded(now, e)
	case Cancelled:
		return s.cancelled(e.ID)
	case TimerFired:
		return s.timerFired(now, e.ID)
	case MembersChanged:
		s.membersChanged(now, e)
	case PolicyChanged:
		s.policyChanged(now, e.Services)
	case ProbeEnded:
		s.probeEnded(now, e)
	case Tick:
		s.tick(now)
	}

	return nil
}

// service is what the entry knows of one service.
type service struct {
	name   string
	policy manifest.Service
	// local are the servers of the daemon's region that can be chosen, remote the others.
	local  tier
	remote tier
	// unreachable are the servers that wait for their next trial.
	unreachable tier
	members     int
	retries     share
	hedges      share
	measuring   measuring
	// spill pays for requests and answers that cross the region link.
	spill bucket

	// answers is the mean size of an answer in bytes.
	answers average
	// spread is the distribution of latencies, from which the delay before hedging is taken.
	spread distribution
}

func (s *State) service(name string) *service {
	svc, ok := s.services[name]
	if !ok {
		svc = &service{name: name, retries: newShare(), hedges: newShare()}
		s.services[name] = svc
		s.order = append(s.order, svc)
	}

	return svc
}

func (s *State) policyChanged(now time.Time, services []manifest.Service) {
	for _, svc := range s.order {
		svc.policy = manifest.Service{Name: svc.name}
	}

	for _, policy := range services {
		s.service(policy.Name).policy = policy
	}

	s.divideBudgets(now)
}

const (
	// fleetFirst is the number of daemons that a new one assumes. It knows few others yet; if it took
	// their number for that of the fleet, a mass restart would spend a multiple of the budgets.
	fleetFirst = 1024
	// fleetHalving is the time in which the assumed number halves. A new daemon has the whole member
	// table after a few exchanges, which happen once a second.
	fleetHalving = time.Second
)

// fleet is the number of daemons among which the budgets are divided: any of them can be an entry.
func (s *State) fleet(now time.Time) float64 {
	known := 0
	for _, svc := range s.order {
		known += svc.members
	}

	if s.started.IsZero() {
		s.started = now
	}

	assumed := fleetFirst * math.Exp2(-float64(now.Sub(s.started))/float64(fleetHalving))

	return max(float64(known), assumed, 1)
}

// divideBudgets gives this entry its share of each service's budgets.
func (s *State) divideBudgets(now time.Time) {
	s.divisor = s.fleet(now)
	part := 1 / s.divisor

	for _, svc := range s.order {
		budget := svc.policy.Budget
		svc.measuring.probes.setRate(now, budget.Probes*part, 1)
		svc.measuring.bytes.setRate(now, float64(budget.Bytes)*part, ProbeBytes)
		svc.measuring.cross.setRate(now, float64(budget.Cross)*part, ProbeBytes)
		svc.spill.setRate(now, float64(budget.Spill)*part, spillUnit)
	}
}

// membersChanged applies a new member list. What was learned of a server stays if it is the same
// incarnation.
func (s *State) membersChanged(now time.Time, e MembersChanged) {
	svc := s.service(e.Service)
	listed := make(map[instance.ID]bool, len(e.Members))
	svc.members = 0

	for _, member := range e.Members {
		listed[member.ID] = true

		if member.Status != instance.Dead && member.Status != instance.Left {
			svc.members++
		}

		srv, ok := s.servers[member.ID]
		if ok && srv.service != svc {
			srv.leave()

			ok = false
		}

		if !ok {
			srv = &server{service: svc, position: -1}
			s.servers[member.ID] = srv
		}

		srv.setFailing(false)
		srv.update(now, member, s.place)
		svc.place(srv)
		srv.judge(now)
	}

	// The sets are changed in their own order, because the order of their servers decides which one is
	// drawn; the order of the map does not matter for what is only deleted.
	for _, list := range [][]*server{svc.local.items, svc.remote.items, svc.unreachable.items} {
		for _, srv := range append([]*server(nil), list...) {
			if !listed[srv.member.ID] {
				srv.leave()
			}
		}
	}

	for id, srv := range s.servers {
		if srv.service == svc && !listed[id] {
			delete(s.servers, id)
		}
	}

	s.divideBudgets(now)
}

func (s *State) tick(now time.Time) {
	if s.divisor != s.fleet(now) {
		s.divideBudgets(now)
	}

	for _, svc := range s.order {
		svc.reopen(now)
		svc.local.judge(now)
		svc.remote.judge(now)
	}
}
