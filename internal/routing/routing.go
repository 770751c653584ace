// Package routing decides at the entry daemon which backend server runs a request, and what happens
// after each attempt. It does no I/O and reads no clock.
//
// Each Attempt effect is followed by exactly one AttemptEnded, also after CancelAttempt and after the
// request was given up; each Probe effect by exactly one ProbeEnded. The daemon keeps the answer of an
// attempt until Deliver names it or the request ends.
package routing

import (
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
	off      uint
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
	unreachable set
	members     int
	retries     share
	hedges      share
	measuring   measuring
	// spill pays for requests and answers that cross the region link.
	spill bucket

	// failures is the mean over all servers; answers is the mean size of an answer in bytes.
	failures average
	answers  average
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
	for _, policy := range services {
		s.service(policy.Name).policy = policy
	}

	s.divideBudgets(now)
}

// divideBudgets gives this entry its share of each service's budgets. Any daemon can be an entry, so the
// budgets are divided by the number of daemons in the fleet.
func (s *State) divideBudgets(now time.Time) {
	fleet := 0
	for _, svc := range s.order {
		fleet += svc.members
	}

	part := 1 / float64(max(1, fleet))

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
		if !ok {
			srv = &server{service: svc, position: -1}
			s.servers[member.ID] = srv
		}

		srv.update(now, member, s.place)
		svc.place(srv)
	}

	for _, list := range [][]*server{svc.local.items, svc.remote.items, svc.unreachable.items} {
		for _, srv := range append([]*server(nil), list...) {
			if !listed[srv.member.ID] {
				srv.member.Status = instance.Left
				svc.place(srv)
				delete(s.servers, srv.member.ID)
			}
		}
	}

	s.divideBudgets(now)
}

func (s *State) tick(now time.Time) {
	for _, svc := range s.order {
		svc.reopen(now)
	}
}
