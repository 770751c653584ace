package core

import (
	"time"

	"golang.org/x/time/rate"

	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	// reportBytes is the size of the load report in a reply.
	reportBytes = 100
	// probeBytes is the size of a probe and its response.
	probeBytes = 500
)

// applyMeasurementBudget divides what the service may spend on measuring its servers equally among its daemons. Each
// daemon uses its share for probes first; beats and the load reports in replies get half of the rest each.
func (s *State) applyMeasurementBudget(now time.Time) []Effect {
	if !s.ready {
		// The number of daemons that share the budget is not known yet.
		return nil
	}

	budget, members := s.measurementBudget()
	if budget.Unlimited {
		s.membership.Apply(now, membership.BudgetChanged{Unlimited: true})
		setRate(s.replyLimiter, now, rate.Inf)
		setRate(s.crossRegionReplyLimiter, now, rate.Inf)

		return s.applyHealth(now, health.PaceChanged{})
	}

	probesPerSecond := min(budget.Probes, float64(budget.Bytes)/probeBytes) / members
	bytesPerSecond := (float64(budget.Bytes) - probesPerSecond*members*probeBytes) / members

	s.membership.Apply(now, membership.BudgetChanged{Bytes: bytesPerSecond / 2})
	setRate(s.replyLimiter, now, rate.Limit(bytesPerSecond/2))
	setRate(s.crossRegionReplyLimiter, now, min(rate.Limit(float64(budget.Cross)/members), rate.Limit(bytesPerSecond/2)))

	return s.applyHealth(now, health.PaceChanged{Interval: probeInterval(probesPerSecond)})
}

// measurementBudget returns the budget of the daemon's service and the number of daemons that share it. The budget is
// zero until a manifest is known.
func (s *State) measurementBudget() (manifest.Budget, float64) {
	service, members := s.options.Self.Service, 0

	for _, member := range s.membership.List() {
		if member.Service == service {
			members++
		}
	}

	for _, policy := range s.manifest.Services {
		if policy.Name == service {
			return policy.Budget, float64(max(1, members))
		}
	}

	return manifest.Budget{}, 1
}

// probeInterval returns the time between probes at a rate per second; it is negative for no probes.
func probeInterval(probesPerSecond float64) time.Duration {
	if probesPerSecond <= 0 {
		return -1
	}

	return time.Duration(float64(time.Second) / probesPerSecond)
}

// setRate sets the rate of a limiter in bytes per second. The burst is what a second allows, but at least one report
// and at most maxBurstBytes.
func setRate(limiter *rate.Limiter, now time.Time, perSecond rate.Limit) {
	limiter.SetLimitAt(now, perSecond)
	limiter.SetBurstAt(now, max(reportBytes, int(min(perSecond, maxBurstBytes))))
}

// maxBurstBytes bounds what may be spent at once, whatever the rate.
const maxBurstBytes = 1 << 20

// ReplyReport returns the present load of the backend server for a reply to a daemon. The report is empty if the
// budget for such reports is spent. The call is not an event, so it has no influence on later effects.
func (s *State) ReplyReport(now time.Time, to instance.ID) load.Report {
	entry, known := s.membership.Member(to)
	if known && entry.Place.Region != s.options.Self.Place.Region &&
		!s.crossRegionReplyLimiter.AllowN(now, reportBytes) {
		return load.Report{}
	}

	if !s.replyLimiter.AllowN(now, reportBytes) {
		return load.Report{}
	}

	report := s.loadReport(now)
	report.Calls = s.callRates.perRequest()

	return report
}
