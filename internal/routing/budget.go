package routing

import (
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/load"
)

// budgetBuckets is the number of buckets in the sliding window of a budget. The window advances by one bucket at a
// time.
const budgetBuckets = 10

const (
	// directShare is the share of a service's repeat budget for repeats of its own requests. inducedShare is the share
	// for induced repeats: calls to the service that are made by repeated requests of other services. The rest
	// covers repeats that no daemon counts: a restarted daemon has lost its counts, and some repeats reach a server
	// after their request was given up.
	directShare  = 0.5
	inducedShare = 0.25
)

// directShare returns the share of the repeat budget for repeats of the service's own requests. It includes the share for
// induced repeats if no other service is known to call this one.
func (svc *service) directShare(now time.Time, limits Repeats) float64 {
	if calls, _ := svc.inducedBudget.totals(now, limits); calls > 0 {
		return directShare
	}

	return directShare + inducedShare
}

// callRateWeight is the weight of one report in the moving average of the calls that a request of a service makes.
const callRateWeight = 0.05

// updateCallRates adds the calls per request that one server reports to the averages of its service.
func (svc *service) updateCallRates(reported []load.Calls) {
	for _, calls := range reported {
		index := slices.IndexFunc(svc.callRates, func(known load.Calls) bool { return known.Service == calls.Service })
		if index < 0 {
			svc.callRates = append(svc.callRates, calls)

			continue
		}

		svc.callRates[index].Rate += callRateWeight * (calls.Rate - svc.callRates[index].Rate)
	}
}

// Repeats limits repeats. A repeat is an attempt for a request that has already reached a server: a retry or a hedged
// attempt.
type Repeats struct {
	// Share is the number of repeats allowed per request in the window, for example 0.1.
	Share float64
	// Slack is the number of additional repeats that all daemons together are allowed per window.
	Slack float64
	// Window is the length of the sliding window in which requests and repeats are counted.
	Window time.Duration
}

// budget counts the requests and repeats of one service in a sliding window.
type budget struct {
	requests, repeats [budgetBuckets]float64
	// bucket is the number of the current bucket, counted from the Unix epoch; zero before the first use.
	bucket int64
}

// advance moves the window to the current time and clears the buckets that have left it.
func (b *budget) advance(now time.Time, window time.Duration) {
	current := now.UnixNano() / (window.Nanoseconds() / budgetBuckets)
	if b.bucket == 0 || current-b.bucket >= budgetBuckets {
		*b = budget{bucket: current}

		return
	}

	for b.bucket < current {
		b.bucket++
		b.requests[b.bucket%budgetBuckets] = 0
		b.repeats[b.bucket%budgetBuckets] = 0
	}
}

func (b *budget) addRequests(now time.Time, limits Repeats, count float64) {
	b.advance(now, limits.Window)
	b.requests[b.bucket%budgetBuckets] += count
}

func (b *budget) addRepeats(now time.Time, limits Repeats, count float64) {
	b.advance(now, limits.Window)
	b.repeats[b.bucket%budgetBuckets] += count
}

// totals returns the number of requests and repeats in the window.
func (b *budget) totals(now time.Time, limits Repeats) (requests, repeats float64) {
	b.advance(now, limits.Window)

	for i := range budgetBuckets {
		requests += b.requests[i]
		repeats += b.repeats[i]
	}

	return requests, repeats
}

// remaining returns the number of repeats that may still be sent within a share of the budget. It is negative if that
// share is overspent.
func (b *budget) remaining(now time.Time, limits Repeats, slack, share float64) float64 {
	requests, repeats := b.totals(now, limits)

	return share*(limits.Share*requests+slack) - repeats
}

// slackShare returns this daemon's share of the slack. It is zero for one window after a restart, because the daemon
// does not know what it used before.
func (s *State) slackShare(now time.Time) float64 {
	if now.Before(s.slackFrom) {
		return 0
	}

	return s.repeats.Slack / float64(max(1, s.daemons))
}

// countRequest adds a request to the budget of its service and to those of the services that it is expected to call.
func (s *State) countRequest(now time.Time, svc *service) {
	svc.repeatBudget.addRequests(now, s.repeats, 1)

	for _, calls := range svc.callRates {
		s.service(calls.Service).inducedBudget.addRequests(now, s.repeats, calls.Rate)
	}
}

// charge counts an attempt as a repeat in the budgets, once. Attempts that may turn out to be repeats are charged when
// they are sent; otherwise those in progress could exceed the budget.
func (s *State) charge(now time.Time, a *attempt) {
	if a.charged {
		return
	}

	a.charged = true
	s.counts.Repeats++

	a.flight.service.repeatBudget.addRepeats(now, s.repeats, 1)
	s.addInducedRepeats(now, a.flight.service, 1)
}

// refund takes back the charge of an attempt that has not run. If the server itself refused the attempt, refund takes
// back only the charge for its calls, because the attempt did reach the server.
func (s *State) refund(now time.Time, a *attempt) {
	if !a.charged {
		return
	}

	if !a.running {
		a.flight.service.repeatBudget.addRepeats(now, s.repeats, -1)
	}

	s.addInducedRepeats(now, a.flight.service, -1)
}

// addInducedRepeats adds the calls that repeats of a service's requests make to the budgets of the called services. A
// negative number takes them back.
func (s *State) addInducedRepeats(now time.Time, svc *service, repeats float64) {
	for _, calls := range svc.callRates {
		s.service(calls.Service).inducedBudget.addRepeats(now, s.repeats, repeats*calls.Rate)
	}
}

// repeatsLeft returns the number of repeats that the budgets of a service and of the services that it calls still
// allow.
func (s *State) repeatsLeft(now time.Time, svc *service) float64 {
	remaining := svc.repeatBudget.remaining(now, s.repeats, s.slackShare(now), svc.directShare(now, s.repeats))

	for _, calls := range svc.callRates {
		induced := s.service(calls.Service).inducedBudget.remaining(now, s.repeats, s.slackShare(now), inducedShare)
		remaining = min(remaining, induced/calls.Rate)
	}

	return remaining
}

// hasRepeatsLeft reports whether the budgets allow a number of repeats for a service.
func (s *State) hasRepeatsLeft(now time.Time, svc *service, count float64) bool {
	return s.repeatsLeft(now, svc) >= count
}
