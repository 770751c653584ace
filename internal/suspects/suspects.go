// Package suspects keeps requests that crash backend servers from being run again and again.
//
// Everything in flight when a server dies is suspect. A suspect runs again only alone on a server. If
// it completes, the suspicion is withdrawn; if the server dies again, the request is the cause and is
// barred until the suspicion expires. A crash that had several requests in flight never bars one of
// them, because most of them are innocent. Suspicion is bound to the fingerprint and not to the
// idempotency key, since a caller may send the same request with a new key each time.
//
// A crash of the whole instance, daemon included, leaves no report.
package suspects

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

// Expiry is the time after which a suspicion is forgotten.
const Expiry = 10 * time.Minute

// maxReports bounds the memory for reports; the ones that expire first are dropped.
const maxReports = 4096

// Standing says how a request may run.
type Status uint8

const (
	// Free requests run like any other.
	Free Status = iota
	// Alone requests run only while nothing else is in flight at the server.
	Alone
	// Barred requests are refused.
	Barred
)

// String returns a lower-case name.
func (s Status) String() string {
	switch s {
	case Alone:
		return "alone"
	case Barred:
		return "barred"
	default:
		return "free"
	}
}

// subject identifies a suspect.
type suspectKey struct {
	service     string
	fingerprint request.Fingerprint
}

// State is what a daemon knows of suspects. It is not safe for concurrent use.
type State struct {
	reports     map[suspectKey][]Report
	reportCount int
	recent      []recentReport
}

// New returns a state without suspects.
func New() *State { return &State{reports: make(map[suspectKey][]Report)} }

// Apply handles one event.
func (s *State) Apply(now time.Time, event Event) []Effect {
	switch e := event.(type) {
	case Crashed:
		return s.handleCrashed(now, e)
	case Implicated:
		s.merge(now, newReport(now, e.Source, e.Request, e.Request.Alone))
	case ReportsHeard:
		for _, report := range e.Reports {
			s.merge(now, report)
		}
	case Completed:
		return s.handleCompleted(now, e.Request)
	case Tick:
		s.expire(now)
	}

	return nil
}

// Check says how a request may run.
func (s *State) Check(now time.Time, r request.Request) Status {
	status := Free

	for _, report := range s.reports[suspectKeyOf(r)] {
		if report.Cleared || !now.Before(report.Expires) {
			continue
		}

		if report.Alone {
			return Barred
		}

		status = Alone
	}

	return status
}

// Reports returns all reports that have not expired, in a fixed order.
func (s *State) Reports(now time.Time) []Report {
	var all []Report

	for _, reports := range s.reports {
		for _, report := range reports {
			if now.Before(report.Expires) {
				all = append(all, report)
			}
		}
	}

	slices.SortFunc(all, func(a, b Report) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Fingerprint, b.Fingerprint),
			cmp.Compare(a.Source, b.Source))
	})

	return all
}

// recentPeriod is how long a report is passed on to neighbours, which takes several exchanges so that
// a lost one does no harm.
const recentPeriod = 10 * time.Second

// maxRecent bounds the reports in one exchange.
const maxRecentReports = 32

// Recent returns the reports that were learned a short time ago, for neighbours that may not have heard
// them.
func (s *State) RecentReports(now time.Time) []Report {
	s.recent = slices.DeleteFunc(s.recent, func(r recentReport) bool { return now.Sub(r.at) > recentPeriod })

	latest := s.recent[max(0, len(s.recent)-maxRecentReports):]
	recent := make([]Report, 0, len(latest))

	for _, r := range latest {
		recent = append(recent, r.report)
	}

	return recent
}

// heard is a report and when it was learned or changed.
type recentReport struct {
	report Report
	at     time.Time
}

func suspectKeyOf(r request.Request) suspectKey {
	return suspectKey{service: r.Service, fingerprint: r.Fingerprint}
}

func newReport(now time.Time, source string, r request.Request, alone bool) Report {
	return Report{
		Service: r.Service, Fingerprint: r.Fingerprint, Source: source,
		Alone: alone, Expires: now.Add(Expiry),
	}
}

func (s *State) handleCrashed(now time.Time, e Crashed) []Effect {
	if len(e.Requests) == 0 {
		return nil
	}

	alone := len(e.Requests) == 1 && e.Requests[0].Alone
	reports := make([]Report, 0, len(e.Requests))

	for _, r := range e.Requests {
		report := newReport(now, e.Source, r, alone)
		if s.merge(now, report) {
			reports = append(reports, report)
		}
	}

	return []Effect{Announce{Service: e.Requests[0].Service, Reports: reports}}
}

// completed withdraws what stood against the request before it ran.
func (s *State) handleCompleted(now time.Time, r request.Request) []Effect {
	var withdrawn []Report

	if !r.Alone {
		return nil
	}

	reports := s.reports[suspectKeyOf(r)]
	for i, report := range reports {
		if !report.Cleared && !report.Alone {
			reports[i] = report.WithCleared()
			withdrawn = append(withdrawn, reports[i])
			s.recent = append(s.recent, recentReport{report: reports[i], at: now})
		}
	}

	if len(withdrawn) == 0 {
		return nil
	}

	return []Effect{Announce{Service: r.Service, Reports: withdrawn}}
}

// keep stores a report and says whether it changed anything. A withdrawal wins over the report of the
// same crash, in either order of arrival; so does the finding that the request was alone.
func (s *State) merge(now time.Time, report Report) bool {
	if !now.Before(report.Expires) || report.Expires.After(now.Add(2*Expiry)) {
		return false
	}

	key := suspectKey{service: report.Service, fingerprint: report.Fingerprint}

	for i, known := range s.reports[key] {
		if known.Source != report.Source {
			continue
		}

		merged := known
		merged.Cleared = known.Cleared || report.Cleared
		merged.Alone = known.Alone || report.Alone
		s.reports[key][i] = merged

		if merged != known {
			s.recent = append(s.recent, recentReport{report: merged, at: now})
		}

		return merged != known
	}

	if s.reportCount >= maxReports {
		s.dropFirstExpiring()
	}

	s.reports[key] = append(s.reports[key], report)
	s.recent = append(s.recent, recentReport{report: report, at: now})
	s.reportCount++

	return true
}

func (s *State) expire(now time.Time) {
	for key, reports := range s.reports {
		remaining := slices.DeleteFunc(reports, func(r Report) bool { return !now.Before(r.Expires) })
		s.setReports(key, len(reports), remaining)
	}
}

func (s *State) setReports(key suspectKey, previousCount int, remaining []Report) {
	s.reportCount -= previousCount - len(remaining)
	if len(remaining) == 0 {
		delete(s.reports, key)

		return
	}

	s.reports[key] = remaining
}

func (s *State) dropFirstExpiring() {
	var firstKey suspectKey

	firstExpiry := time.Time{}

	for key, reports := range s.reports {
		expires := reports[0].Expires
		if firstExpiry.IsZero() || expires.Before(firstExpiry) ||
			(expires.Equal(firstExpiry) && key.fingerprint < firstKey.fingerprint) {
			firstKey, firstExpiry = key, expires
		}
	}

	reports := s.reports[firstKey]
	s.setReports(firstKey, len(reports), reports[1:])
}

// Dump is the state in plain values.
type Dump struct{ Reports []Report }

// Dump returns the state for the state dump.
func (s *State) Dump(now time.Time) Dump { return Dump{Reports: s.Reports(now)} }
