// Package routing decides at the entry daemon to which backend server a request goes, when it is sent once
// more, and when it is given up. It does no I/O and reads no clock.
//
// Servers are compared by the time that a request is expected to take there: the usual work of its route,
// how slow the server works at present, and the requests ahead of it. The daemons beside the servers report
// both; a report is wrong a few milliseconds later, so an attempt says under which conditions it is to be
// refused, and a refusal leads to the next choice.
package routing

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// Defaults apply until settings and manifest are known.
const (
	defaultAttempts = 2
	defaultShare    = 0.1
	defaultSlack    = 10
	defaultWindow   = 10 * time.Second
)

// Option configures New.
type Option func(*State)

// WithSelf says which member the daemon itself is.
func WithSelf(self instance.Member) Option { return func(s *State) { s.self = self } }

// WithSeed seeds random choices.
func WithSeed(seed uint64) Option {
	return func(s *State) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithRepeats limits how often requests are sent once more. Without a window, the default one applies.
func WithRepeats(repeats Repeats) Option {
	return func(s *State) {
		s.repeats = repeats
		s.repeats.Window = cmp.Or(repeats.Window, defaultWindow)
	}
}

// State is what an entry daemon knows of servers and of requests in progress. It is not safe for concurrent
// use.
type State struct {
	self      instance.Member
	random    *rand.Rand
	repeats   Repeats
	services  map[string]*service
	servers   map[instance.ID]*server
	flights   map[request.ID]*flight
	estimates map[string]*estimate
	// daemons is the number of daemons known, among which the slack of a budget is divided.
	daemons  int
	policies []manifest.Service
	// acceptance is that of all servers, for what slows this daemon itself down.
	acceptance acceptance
	// compared is the memory of candidates.
	compared []candidate
	counts   Counts
	// slackFrom is when the slack of the budgets may be used.
	slackFrom time.Time
}

// service is a group of servers that answer the same requests.
type service struct {
	name     string
	servers  []*server
	attempts int
	budget   budget
	// calls are those that a request of the service usually makes, and induced is the budget for the calls that repeated
	// requests of other services make to this one.
	calls   []load.Calls
	induced budget
	// hedges counts hedged attempts, of which there may be hedgeShare per request.
	hedges     budget
	hedgeShare float64
	spill      link
	work       estimate
}

// New returns a state without servers.
func New(options ...Option) *State {
	s := &State{
		random:   rand.New(rand.NewPCG(0, 0)),
		repeats:  Repeats{Share: defaultShare, Slack: defaultSlack, Window: defaultWindow},
		services: make(map[string]*service), servers: make(map[instance.ID]*server),
		flights: make(map[request.ID]*flight), estimates: make(map[string]*estimate),
	}
	for _, option := range options {
		option(s)
	}

	return s
}

// Apply handles one event.
func (s *State) Apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Arrived:
		return s.arrived(now, e)
	case Accepted:
		s.accepted(now, e)
	case Ended:
		return s.ended(now, e)
	case Cancelled:
		return s.cancelled(e)
	case Reported:
		return s.reported(now, e)
	case MembersChanged:
		s.membersChanged(now, e.Members)
	case PolicyChanged:
		s.policyChanged(now, e.Services)
	case Closing:
		return s.closing(now)
	case Restarted:
		s.slackFrom = now.Add(s.repeats.Window)
	case Tick:
		return s.tick(now)
	}

	return nil
}

func (s *State) service(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{name: name, attempts: defaultAttempts}
		s.services[name] = svc
	}

	return svc
}

func (s *State) estimateOf(route string) *estimate {
	known := s.estimates[route]
	if known == nil {
		known = &estimate{}
		s.estimates[route] = known
	}

	return known
}

func (s *State) policyChanged(now time.Time, services []manifest.Service) {
	for _, policy := range services {
		svc := s.service(policy.Name)
		svc.hedgeShare = policy.Hedge.Share

		if policy.Retry.Attempts > 0 {
			svc.attempts = policy.Retry.Attempts
		}

		svc.spill.limit(now, policy.Budget, s.daemons)
	}

	s.policies = services
}

func (s *State) membersChanged(now time.Time, members []instance.Member) {
	if s.daemons != len(members) {
		s.daemons = len(members)
		s.policyChanged(now, s.policies)
	}

	known := make(map[instance.ID]bool, len(members))

	for _, member := range members {
		known[member.ID] = true
		s.memberChanged(member)
	}

	for id, srv := range s.servers {
		if !known[id] {
			s.remove(srv)
		}
	}
}

func (s *State) memberChanged(member instance.Member) {
	srv := s.servers[member.ID]
	if srv != nil && srv.member.Service == member.Service {
		if srv.member.Incarnation != member.Incarnation {
			srv.restarted()
		}

		srv.member = member

		return
	}

	if srv != nil {
		s.remove(srv)
	}

	svc := s.service(member.Service)
	srv = &server{member: member, service: svc, distance: s.distanceTo(member)}
	s.servers[member.ID] = srv
	svc.servers = append(svc.servers, srv)
	// A fixed order makes equal events give equal effects.
	slices.SortFunc(svc.servers, func(a, b *server) int { return cmp.Compare(a.member.ID, b.member.ID) })
}

func (s *State) remove(srv *server) {
	delete(s.servers, srv.member.ID)
	srv.service.servers = slices.DeleteFunc(srv.service.servers, func(other *server) bool { return other == srv })
}

func (s *State) distanceTo(member instance.Member) distance {
	switch {
	case member.ID == s.self.ID:
		return sameInstance
	case member.Place == s.self.Place:
		return sameDomain
	case member.Place.Region == s.self.Place.Region:
		return sameRegion
	default:
		return otherRegion
	}
}

// reported stores a report and moves what it makes better off elsewhere.
func (s *State) reported(now time.Time, e Reported) []Effect {
	srv := s.servers[e.Report.Server]
	if srv == nil || !srv.take(now, e.Report) {
		return nil
	}

	srv.service.learnCalls(e.Report.Calls)

	return s.hedge(now, srv)
}
