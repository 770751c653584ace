// Package routing decides, at the entry daemon of a request, which backend server the request is sent to, when it is
// retried or hedged, and when it is given up. It does no I/O and reads no clock.
//
// Servers are compared mainly by the expected response time, which follows from the usual work of the request's route,
// the present slowness of the server and the number of requests ahead in its queue. The daemons beside the servers
// report slowness and queue. Such a report is outdated within milliseconds, so each attempt carries limits on the wait
// and the slowness above which the server's daemon refuses it. After a refusal, a server is chosen again.
//
// An attempt is one try to have a server run a request. A repeat is an attempt for a request that has already reached a
// server; budgets limit repeats per service. A request is late if no server is expected to respond in time: by the
// target, or by the deadline if there is no target. Nested calls are never late.
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

// These defaults apply until settings and manifest are known. Attempts are per request; share, slack and window are
// those of Repeats.
const (
	defaultAttempts     = 2
	defaultRepeatShare  = 0.1
	defaultRepeatSlack  = 10
	defaultRepeatWindow = 10 * time.Second
)

// Option configures New.
type Option func(*State)

// WithSelf sets the daemon's own member.
func WithSelf(self instance.Member) Option { return func(s *State) { s.self = self } }

// WithSeed sets the seed of random choices.
func WithSeed(seed uint64) Option {
	return func(s *State) { s.random = rand.New(rand.NewPCG(seed, 0)) }
}

// WithRepeats sets the limits on repeats. If the window is zero, the default of 10 seconds applies.
func WithRepeats(repeats Repeats) Option {
	return func(s *State) {
		s.repeats = repeats
		s.repeats.Window = cmp.Or(repeats.Window, defaultRepeatWindow)
	}
}

// State holds the servers that an entry daemon knows and its requests in progress. It is not safe for concurrent use.
type State struct {
	self     instance.Member
	random   *rand.Rand
	repeats  Repeats
	services map[string]*service
	// evacuated is the set of evacuated failure domains.
	evacuated map[string]bool
	servers   map[instance.ID]*server
	flights   map[request.ID]*flight
	estimates map[string]*estimate
	// daemons is the number of known daemons, which share the slack and the budget for other regions.
	daemons  int
	policies []manifest.Service
	routes   []manifest.Route
	// defaultHedge limits the hedged attempts of services for which the manifest states no limits.
	defaultHedge  manifest.Hedge
	hedgeBudgets  map[hedgeKey]*hedgeBudget
	hedgeTimers   hedgeTimers
	responseTimes map[string]*responseTimes
	// acceptLatency covers attempts at all servers. It rises if this daemon itself is slow.
	acceptLatency acceptLatency
	// candidateBuffer is reused by candidates.
	candidateBuffer []candidate
	counts          Counts
	// slackFrom is the time from which this daemon may use its share of the slack.
	slackFrom time.Time
}

// service is a group of servers that handle the same requests.
type service struct {
	name    string
	servers []*server
	// maxAttempts is the largest number of servers that may run a request whose route sets no limit.
	maxAttempts int
	// repeatBudget limits the repeats of the service's own requests.
	repeatBudget budget
	// callRates are the numbers of calls that one request of the service usually makes to other services.
	// inducedBudget limits the calls that repeated requests of other services make to this one.
	callRates     []load.Calls
	inducedBudget budget
	// hedgeBudget counts requests and hedged attempts; hedgeShare is the number of hedged attempts allowed per
	// request.
	hedgeBudget budget
	hedgeShare  float64
	spillBudget spillBudget
	work        estimate
}

// New returns a State without servers.
func New(options ...Option) *State {
	s := &State{
		random:   rand.New(rand.NewPCG(0, 0)),
		repeats:  Repeats{Share: defaultRepeatShare, Slack: defaultRepeatSlack, Window: defaultRepeatWindow},
		services: make(map[string]*service), servers: make(map[instance.ID]*server),
		flights: make(map[request.ID]*flight), estimates: make(map[string]*estimate),
		hedgeBudgets: make(map[hedgeKey]*hedgeBudget), responseTimes: make(map[string]*responseTimes),
		evacuated: make(map[string]bool),
	}
	for _, option := range options {
		option(s)
	}

	return s
}

// Apply handles one event and returns its effects, which the daemon performs in order.
func (s *State) Apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Arrived:
		return s.handleArrived(now, e)
	case Accepted:
		s.handleAccepted(now, e)
	case Ended:
		return s.handleEnded(now, e)
	case Cancelled:
		return s.handleCancelled(e)
	case Reported:
		return s.handleReported(now, e)
	case MembersChanged:
		s.handleMembersChanged(now, e.Members)
	case PolicyChanged:
		s.routes = e.Routes
		s.applyPolicy(now, e.Services)
		s.setHedgeLimits(s.policies, s.routes)
	case HedgeChanged:
		s.defaultHedge = e.Limits
		s.setHedgeLimits(s.policies, s.routes)
	case EvacuationsChanged:
		s.setEvacuated(e.Domains)
	case Closing:
		return s.handleClosing(now)
	case Restarted:
		s.slackFrom = now.Add(s.repeats.Window)
	case Tick:
		return s.handleTick(now)
	}

	return nil
}

// service returns the service with a name and adds it if it is unknown.
func (s *State) service(name string) *service {
	svc := s.services[name]
	if svc == nil {
		svc = &service{name: name, maxAttempts: defaultAttempts}
		s.services[name] = svc
	}

	return svc
}

// routeEstimate returns the estimate of a route and adds it if it is unknown.
func (s *State) routeEstimate(route string) *estimate {
	found := s.estimates[route]
	if found == nil {
		found = &estimate{}
		s.estimates[route] = found
	}

	return found
}

// applyPolicy sets the limits of the services.
func (s *State) applyPolicy(now time.Time, services []manifest.Service) {
	for _, policy := range services {
		svc := s.service(policy.Name)
		svc.hedgeShare = policy.Hedge.Share

		if policy.Retry.Attempts > 0 {
			svc.maxAttempts = policy.Retry.Attempts
		}

		svc.spillBudget.setLimit(now, policy.Budget, s.daemons)
	}

	s.policies = services
}

func (s *State) handleMembersChanged(now time.Time, members []instance.Member) {
	if s.daemons != len(members) {
		s.daemons = len(members)
		s.applyPolicy(now, s.policies)
	}

	known := make(map[instance.ID]bool, len(members))

	for _, member := range members {
		known[member.ID] = true
		s.updateMember(member)
	}

	for id, srv := range s.servers {
		if !known[id] {
			s.removeServer(srv)
		}
	}
}

// updateMember adds or updates the server of a member. A member that changes its service becomes a new server.
func (s *State) updateMember(member instance.Member) {
	srv := s.servers[member.ID]
	if srv != nil && srv.member.Service == member.Service {
		if srv.member.Incarnation != member.Incarnation {
			srv.resetAfterRestart()
		}

		srv.member = member

		return
	}

	if srv != nil {
		s.removeServer(srv)
	}

	svc := s.service(member.Service)
	srv = &server{member: member, service: svc, distance: s.distanceTo(member)}
	s.servers[member.ID] = srv
	svc.servers = append(svc.servers, srv)
	// The order is fixed so that equal events have equal effects.
	slices.SortFunc(svc.servers, func(a, b *server) int { return cmp.Compare(a.member.ID, b.member.ID) })
}

func (s *State) removeServer(srv *server) {
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

// handleReported stores a load report and hedges the requests for which the server has become too slow.
func (s *State) handleReported(now time.Time, e Reported) []Effect {
	srv := s.servers[e.Report.Server]
	if srv == nil || !srv.storeReport(now, e.Report) {
		return nil
	}

	srv.service.updateCallRates(e.Report.Calls)

	return s.hedgeSlowAttempts(now, srv)
}
