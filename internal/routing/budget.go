package routing

import (
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/load"
)

// budgetSlots is the number of parts of a budget's window. The window slides by one part.
const budgetSlots = 10

const (
	// ownShare is the part of a service's budget for requests that are sent to it once more, and inducedShare the part
	// for the calls that repeated requests of other services make. The rest is for what daemons do not count: a daemon
	// that restarts begins anew, and some repeats reach a server after they were given up.
	ownShare     = 0.5
	inducedShare = 0.25
)

// callsWeight is the weight of one report in the number of calls that requests of a service make.
const callsWeight = 0.05

// learnCalls takes how many calls the requests of one server have made.
func (svc *service) learnCalls(reported []load.Calls) {
	for _, calls := range reported {
		at := slices.IndexFunc(svc.calls, func(known load.Calls) bool { return known.Service == calls.Service })
		if at < 0 {
			svc.calls = append(svc.calls, calls)

			continue
		}

		svc.calls[at].Rate += callsWeight * (calls.Rate - svc.calls[at].Rate)
	}
}

// Repeats limits how often requests are sent once more.
type Repeats struct {
	// Share is the number of repeats allowed per request of the window.
	Share float64
	// Slack is the number of repeats that the whole fleet is allowed in each window besides.
	Slack float64
	// Window is the time over which both are counted.
	Window time.Duration
}

// budget counts the requests and repeats of one service in a sliding window.
type budget struct {
	requests, repeats [budgetSlots]float64
	slot              int64
}

func (b *budget) advance(now time.Time, window time.Duration) {
	slot := now.UnixNano() / (window.Nanoseconds() / budgetSlots)
	if b.slot == 0 || slot-b.slot >= budgetSlots {
		*b = budget{slot: slot}

		return
	}

	for b.slot < slot {
		b.slot++
		b.requests[b.slot%budgetSlots] = 0
		b.repeats[b.slot%budgetSlots] = 0
	}
}

func (b *budget) addRequests(now time.Time, limits Repeats, count float64) {
	b.advance(now, limits.Window)
	b.requests[b.slot%budgetSlots] += count
}

func (b *budget) addRepeats(now time.Time, limits Repeats, count float64) {
	b.advance(now, limits.Window)
	b.repeats[b.slot%budgetSlots] += count
}

// counted returns the requests and repeats of the window.
func (b *budget) counted(now time.Time, limits Repeats) (requests, repeats float64) {
	b.advance(now, limits.Window)

	for i := range budgetSlots {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}

	return requests, repeats
}

// left is the number of repeats that may still be sent if they have a share of the budget.
func (b *budget) left(now time.Time, limits Repeats, slack, share float64) float64 {
	requests, repeats := b.counted(now, limits)

	return share*(limits.Share*requests+slack) - repeats
}

// slack is this daemon's part of the slack. A daemon that has restarted does not know what it has used before.
func (s *State) slack(now time.Time) float64 {
	if now.Before(s.slackFrom) {
		return 0
	}

	return s.repeats.Slack / float64(max(1, s.daemons))
}

// countRequest adds a request to the budgets of its service and of those that it will call.
func (s *State) countRequest(now time.Time, svc *service) {
	svc.budget.addRequests(now, s.repeats, 1)

	for _, calls := range svc.calls {
		s.service(calls.Service).induced.addRequests(now, s.repeats, calls.Rate)
	}
}

// charge takes an attempt that may be a repeat from the budgets, when it is sent: those on their way would otherwise
// exceed what is left.
func (s *State) charge(now time.Time, a *attempt) {
	if a.charged {
		return
	}

	a.charged = true
	s.counts.Repeats++

	a.flight.service.budget.addRepeats(now, s.repeats, 1)
	s.countCalls(now, a.flight.service, 1)
}

// refund gives back what an attempt that has not run was charged. One that the server has refused did reach it.
func (s *State) refund(now time.Time, a *attempt) {
	if !a.charged {
		return
	}

	if !a.running {
		a.flight.service.budget.addRepeats(now, s.repeats, -1)
	}

	s.countCalls(now, a.flight.service, -1)
}

// countCalls adds the calls of repeated requests, which the services that are called see as repeats.
func (s *State) countCalls(now time.Time, svc *service, repeated float64) {
	for _, calls := range svc.calls {
		s.service(calls.Service).induced.addRepeats(now, s.repeats, repeated*calls.Rate)
	}
}

// repeatsLeft is the number of requests of a service that may still be sent once more, without too many calls to others.
func (s *State) repeatsLeft(now time.Time, svc *service) float64 {
	left := svc.budget.left(now, s.repeats, s.slack(now), ownShare)

	for _, calls := range svc.calls {
		induced := s.service(calls.Service).induced.left(now, s.repeats, s.slack(now), inducedShare)
		left = min(left, induced/calls.Rate)
	}

	return left
}

// affords reports whether a number of requests of a service may be sent once more.
func (s *State) affords(now time.Time, svc *service, count float64) bool {
	return s.repeatsLeft(now, svc) >= count
}
