package routing

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// hedgeBudget limits the hedged attempts of one service, or of a rule with limits of its own.
type hedgeBudget struct {
	limits manifest.Hedge
	// counts holds the requests and, as repeats, the attempts that were hedged after a delay.
	counts budget
	// runTimes holds the time, in seconds, for which servers ran all attempts and, as repeats, hedged ones. The whole
	// time of an attempt counts at its end.
	runTimes budget
	// running are the hedged attempts that have not ended.
	running []*attempt
}

// hedgeWindow is the sliding window in which hedged attempts and run times are counted. In a shorter one, an entry
// daemon with few requests would refuse some hedged attempts of an even load and send none in their place later.
var hedgeWindow = Repeats{Window: 30 * time.Second}

// hedgeKey identifies a hedgeBudget. The route is empty for the budget of a service.
type hedgeKey struct{ service, route string }

func (k hedgeKey) compare(other hedgeKey) int {
	return cmp.Or(cmp.Compare(k.service, other.service), cmp.Compare(k.route, other.route))
}

// setHedgeLimits sets the limits of services and of the rules that override them. Budgets whose limits are gone allow
// no further hedged attempt.
func (s *State) setHedgeLimits(services []manifest.Service, routes []manifest.Route) {
	known := make(map[hedgeKey]bool)
	set := func(key hedgeKey, limits manifest.Hedge) {
		known[key] = true

		if s.hedgeBudgets[key] == nil {
			s.hedgeBudgets[key] = &hedgeBudget{}
		}

		s.hedgeBudgets[key].limits = limits
	}

	byName := make(map[string]manifest.Hedge, len(services))

	for _, policy := range services {
		limits := s.withDefaultHedge(policy.Hedge)
		byName[policy.Name] = limits
		set(hedgeKey{service: policy.Name}, limits)

		for _, rule := range policy.Rules {
			if rule.Hedge != (manifest.HedgeOverride{}) {
				set(hedgeKey{policy.Name, manifest.RuleID(policy.Name, rule)}, limits.WithOverride(rule.Hedge))
			}
		}
	}

	for _, route := range routes {
		if route.Rule.Hedge == (manifest.HedgeOverride{}) || len(route.Parts) == 0 {
			continue
		}

		// All parts of a route share the name of the first one in Request.Route.
		id := manifest.RuleID(route.Parts[0].Service, route.Rule)
		for _, part := range route.Parts {
			set(hedgeKey{part.Service, id}, byName[part.Service].WithOverride(route.Rule.Hedge))
		}
	}

	for key, limited := range s.hedgeBudgets {
		if !known[key] {
			limited.limits = manifest.Hedge{}
			delete(s.hedgeBudgets, key)
		}
	}

	s.forgetResponseTimes(services, routes)
}

// withDefaultHedge returns the limits of a service, or those of the daemon's settings if the service states none.
func (s *State) withDefaultHedge(limits manifest.Hedge) manifest.Hedge {
	if limits.Delayed == 0 && limits.Work == 0 && s.defaultHedge.LimitsDelayed() {
		limits.Quantile, limits.Delayed, limits.Work = s.defaultHedge.Quantile, s.defaultHedge.Delayed, s.defaultHedge.Work
	}

	return limits
}

// forgetResponseTimes removes the response times of routes that no longer exist.
func (s *State) forgetResponseTimes(services []manifest.Service, routes []manifest.Route) {
	if len(s.responseTimes) == 0 {
		return
	}

	known := make(map[string]bool)

	for _, service := range services {
		for _, rule := range service.Rules {
			known[manifest.RuleID(service.Name, rule)] = true
		}
	}

	for _, route := range routes {
		if len(route.Parts) > 0 {
			known[manifest.RuleID(route.Parts[0].Service, route.Rule)] = true
		}
	}

	for route := range s.responseTimes {
		if !known[route] {
			delete(s.responseTimes, route)
		}
	}
}

// hedgeBudgetOf returns the budget for the hedged attempts of a request; nil if no limits are set.
func (s *State) hedgeBudgetOf(service, route string) *hedgeBudget {
	found := s.hedgeBudgets[hedgeKey{service, route}]
	if found == nil {
		found = s.hedgeBudgets[hedgeKey{service: service}]
	}

	if found == nil || !found.limits.LimitsDelayed() {
		return nil
	}

	return found
}

// allowsOne reports whether the share of requests allows one more attempt that is hedged after a delay.
func (b *hedgeBudget) allowsOne(now time.Time) bool { return b.left(now) >= 1 }

// left returns the number of attempts that may still be hedged after a delay.
func (b *hedgeBudget) left(now time.Time) float64 {
	requests, hedged := b.counts.totals(now, hedgeWindow)

	return b.limits.Delayed*requests - hedged
}

// workLeft returns the run time that further hedged attempts may use, in seconds. A hedged attempt that has not ended
// counts with its expected or its present run time, whichever is longer.
func (b *hedgeBudget) workLeft(now time.Time) float64 {
	total, hedged := b.runTimes.totals(now, hedgeWindow)

	for _, a := range b.running {
		hedged += max(a.expectedRun, a.runTime(now)).Seconds()
	}

	return b.limits.Work*total - hedged
}

// allowsWork reports whether a hedged attempt with an expected run time in seconds stays within the limit on work. A
// request without limits has no budget and no such limit.
func (b *hedgeBudget) allowsWork(now time.Time, runTime float64) bool {
	return b == nil || !b.limits.LimitsDelayed() || b.workLeft(now) >= runTime
}

// track counts a hedged attempt as running until recordRunTime.
func (b *hedgeBudget) track(a *attempt) {
	if b != nil {
		b.running = append(b.running, a)
	}
}

// runTime returns the time for which a server has run an attempt so far, as far as this daemon knows.
func (a *attempt) runTime(now time.Time) time.Duration {
	if !a.running {
		return 0
	}

	return now.Sub(a.runningSince)
}

// recordRunTime counts the run time of an attempt that has ended. If its start was not reported, a hedged attempt that
// may have run counts from when it was sent, and another attempt not at all, so that the limit on work errs downwards.
func (s *State) recordRunTime(now time.Time, a *attempt, mayHaveRun bool) {
	elapsed := a.runTime(now)
	if !a.running && a.hedged && mayHaveRun {
		elapsed = now.Sub(a.sent)
	}

	if a.hedged {
		s.counts.HedgeTime += elapsed
	}

	b := a.flight.hedges
	if b == nil {
		return
	}

	b.runTimes.addRequests(now, hedgeWindow, elapsed.Seconds())

	if a.hedged {
		b.runTimes.addRepeats(now, hedgeWindow, elapsed.Seconds())
		b.running = slices.DeleteFunc(b.running, func(other *attempt) bool { return other == a })
	}
}
