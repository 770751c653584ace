// Package suspects keeps requests that crash backend servers from running again and again.
//
// Every request that runs at a server when it crashes is suspect. A suspect runs again only alone on a server. If it
// completes, the suspicion is withdrawn. If the server crashes again, the request is the cause, and is barred until
// the suspicion expires. A crash with several running requests never bars any of them, because most of them are
// innocent. Suspicion is bound to the fingerprint of a request and not to its idempotency key, since a caller may
// send the same request with a new key each time.
//
// A crash of the whole instance, daemon included, leaves no report.
package suspects

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

// Expiry is the time after which a suspicion expires.
const Expiry = 10 * time.Minute

// maxReports bounds the memory for reports. When it is reached, the report that expires first is dropped.
const maxReports = 4096

// Status says how a request may run.
type Status uint8

const (
	// Free requests run like any other.
	Free Status = iota
	// Alone requests run only while nothing else runs at the server.
	Alone
	// Barred requests are refused.
	Barred
)

// String returns the status in lower case.
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

// suspectKey identifies a request by its contents: equal requests have the same key.
type suspectKey struct {
	service     string
	fingerprint request.Fingerprint
}

// State holds the reports that a daemon knows. It is not safe for concurrent use.
type State struct {
	reports map[suspectKey][]Report
	// reportCount is the number of all reports in the map.
	reportCount int
}

// New returns a state without reports.
func New() *State { return &State{reports: make(map[suspectKey][]Report)} }

// Apply handles an event and returns the effects that the daemon performs.
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
		return s.handleCompleted(e.Request)
	case Tick:
		s.expire(now)
	}

	return nil
}

// Check returns how a request may run.
func (s *State) Check(now time.Time, r request.Request) Status {
	status := Free

	for _, report := range s.reports[newSuspectKey(r)] {
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

// Reports returns all reports that have not expired, sorted by service, fingerprint and source.
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

func newSuspectKey(r request.Request) suspectKey {
	return suspectKey{service: r.Service, fingerprint: r.Fingerprint}
}

func newReport(now time.Time, source string, r request.Request, alone bool) Report {
	return Report{
		Service: r.Service, Fingerprint: r.Fingerprint, Source: source,
		Alone: alone, Expires: now.Add(Expiry),
	}
}

// handleCrashed adds a report for each request that ran when the local server crashed. The request is known to be the
// cause if it was the only one and ran alone because it was suspect.
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

// handleCompleted withdraws the suspicions against a request that has completed alone on a server.
func (s *State) handleCompleted(r request.Request) []Effect {
	var withdrawn []Report

	if !r.Alone {
		return nil
	}

	reports := s.reports[newSuspectKey(r)]
	for i, report := range reports {
		if !report.Cleared && !report.Alone {
			reports[i] = report.WithCleared()
			withdrawn = append(withdrawn, reports[i])
		}
	}

	if len(withdrawn) == 0 {
		return nil
	}

	return []Effect{Announce{Service: r.Service, Reports: withdrawn}}
}

// merge adds a report and reports whether that changed anything. Reports of the same crash may arrive in any order,
// so a withdrawal and the statement that the request ran alone are never undone. Reports that have expired, or that
// last much longer than Expiry, are ignored.
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

		return merged != known
	}

	if s.reportCount >= maxReports {
		s.dropFirstExpiring()
	}

	s.reports[key] = append(s.reports[key], report)
	s.reportCount++

	return true
}

// expire removes the reports that have expired.
func (s *State) expire(now time.Time) {
	for key, reports := range s.reports {
		remaining := slices.DeleteFunc(reports, func(r Report) bool { return !now.Before(r.Expires) })
		s.setReports(key, len(reports), remaining)
	}
}

// setReports replaces the reports for a key and updates the count. Without remaining reports the key is removed.
func (s *State) setReports(key suspectKey, previousCount int, remaining []Report) {
	s.reportCount -= previousCount - len(remaining)
	if len(remaining) == 0 {
		delete(s.reports, key)

		return
	}

	s.reports[key] = remaining
}

// dropFirstExpiring removes the report that expires first. It compares only the first report of each key.
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

// Dump holds the state for the state dump.
type Dump struct{ Reports []Report }

// Dump returns a copy of the state in plain values.
func (s *State) Dump(now time.Time) Dump { return Dump{Reports: s.Reports(now)} }
