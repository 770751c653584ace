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
	// reportBytes is what the load report in a reply takes.
	reportBytes = 100
	// probeBytes is what a probe and its answer take.
	probeBytes = 500
)

// applyBudget gives this daemon its share of what its service may spend on measuring its servers. What is left
// after probes is divided between beats and the reports in replies.
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

	probes := min(budget.Probes, float64(budget.Bytes)/probeBytes) / members
	bytes := (float64(budget.Bytes) - probes*members*probeBytes) / members

	s.membership.Apply(now, membership.BudgetChanged{Bytes: bytes / 2})
	setRate(s.replyLimiter, now, rate.Limit(bytes/2))
	setRate(s.crossRegionReplyLimiter, now, min(rate.Limit(float64(budget.Cross)/members), rate.Limit(bytes/2)))

	return s.applyHealth(now, health.PaceChanged{Interval: probeInterval(probes)})
}

// measuring returns the budget of the daemon's service and the number of daemons that share it. Nothing is
// spent before a manifest is known.
func (s *State) measurementBudget() (manifest.Budget, float64) {
	service, members := s.options.Self.Service, 0

	for _, member := range s.membership.List() {
		if member.Service == service {
			members++
		}
	}

	for _, policy := range s.services {
		if policy.Name == service {
			return policy.Budget, float64(max(1, members))
		}
	}

	return manifest.Budget{}, 1
}

// paceOf is the time between probes at a rate per second; negative for none.
func probeInterval(probes float64) time.Duration {
	if probes <= 0 {
		return -1
	}

	return time.Duration(float64(time.Second) / probes)
}

func setRate(limiter *rate.Limiter, now time.Time, perSecond rate.Limit) {
	limiter.SetLimitAt(now, perSecond)
	limiter.SetBurstAt(now, max(reportBytes, int(min(perSecond, maxBurstBytes))))
}

// maxBurst bounds what is spent at once, in bytes.
const maxBurstBytes = 1 << 20

// ReplyReport is the present load of the backend server for a reply to a daemon, or an empty report if the
// budget for measuring is spent. It changes nothing that effects depend on.
func (s *State) ReplyReport(now time.Time, to instance.ID) load.Report {
	entry, known := s.membership.Member(to)
	if known && entry.Place.Region != s.options.Self.Place.Region && !s.crossRegionReplyLimiter.AllowN(now, reportBytes) {
		return load.Report{}
	}

	if !s.replyLimiter.AllowN(now, reportBytes) {
		return load.Report{}
	}

	report := s.loadReport(now)
	report.Calls = s.callRates.perRequest()

	return report
}
