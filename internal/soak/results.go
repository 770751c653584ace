package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// disturbance says until when something was wrong with a part of the system that is not part of planned work.
type disturbance struct {
	mutex   sync.Mutex
	active  int
	lastEnd time.Time
}

// begin opens a disturbance; the returned function ends it.
func (d *disturbance) begin() func() {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.active++

	return func() {
		d.mutex.Lock()
		defer d.mutex.Unlock()

		d.active--
		d.lastEnd = time.Now()
	}
}

// calmSince reports whether nothing was wrong since a time.
func (d *disturbance) calmSince(at time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.active == 0 && d.lastEnd.Before(at)
}

// sending is one request as its caller sees it.
type sentRequest struct {
	id, node, path, host string
	idempotent           bool
	begun, ended         time.Time
	// status is zero if the connection ended without a whole response.
	status  int
	failure string
}

// ledger collects what callers saw and which promises were broken. It is safe for concurrent use.
type results struct {
	mutex      sync.Mutex
	requests   map[string]sentRequest
	statuses   map[string]int
	violations []string
	// crossed are requests whose connection ended at once. They are lost if they ran.
	unresolved map[string]string
}

func newResults() *results {
	return &results{requests: make(map[string]sentRequest), statuses: make(map[string]int), unresolved: make(map[string]string)}
}

// broken records a broken promise.
func (l *results) addViolation(rule, format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.violations = append(l.violations, rule+": "+fmt.Sprintf(format, args...))
}

// maybeLost records a request that is lost if it ran.
func (l *results) addUnresolved(id, text string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.unresolved[id] = text
}

// add records the end of a request.
func (l *results) add(s sentRequest) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.requests[s.id] = s
	l.statuses[outcomeOf(s)]++
}

func outcomeOf(s sentRequest) string {
	if s.status == 0 {
		return s.failure
	}

	return fmt.Sprint(s.status)
}

// served is the share of the requests begun since a time that got a success.
func (l *results) successShare(since time.Time) (share float64, count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	good := 0

	for _, s := range l.requests {
		if s.begun.Before(since) {
			continue
		}

		count++

		if isSuccess(s.status) {
			good++
		}
	}

	return float64(good) / float64(max(1, count)), count
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// promisesNotRun reports whether a status says that a request has not run and never will.
func meansNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// checkRuns compares what callers were told with what ran at the backend servers. Nothing runs any more.
func (s *Soak) checkExecutions() {
	for _, n := range s.nodes {
		for _, run := range append(slices.Clone(n.earlierRuns), n.server) {
			for id, ran := range run.ExecutionsByAttempt() {
				s.executions[id] = append(s.executions[id], execution{server: run.Name(), count: ran.Count, origin: ran.Origin, body: ran.Body})
			}
		}
	}

	for id, runs := range s.executions {
		s.checkExecution(id, runs)
	}
}

// executed is what one server ran of a request.
type execution struct {
	server, origin, body string
	count                int
}

func (s *Soak) checkExecution(id string, runs []execution) {
	sent, known := s.results.requests[id]
	if !known {
		s.results.addViolation("UNASKED", "%s ran request %s, which nobody sent", runs[0].server, id)

		return
	}

	total := 0
	for _, ran := range runs {
		total += ran.count

		if origin := s.byName[sent.node].service; ran.origin != origin {
			s.results.addViolation("UNASKED", "%s ran request %s with the origin %q, want %q", ran.server, id, ran.origin, origin)
		}

		if want := requestBody(sent.path, id); ran.body != want {
			s.results.addViolation("UNASKED", "%s ran request %s with the body %q, want %q", ran.server, id, ran.body, want)
		}
	}

	if text, crossed := s.results.unresolved[id]; crossed {
		s.results.addViolation("LOST", "%s, and ran at %s", text, runs[0].server)
	}

	if !sent.idempotent && total > 1 {
		s.results.addViolation("TWICE", "request %s, which must not be repeated, ran %d times: %v", id, total, runs)
	}

	if !sent.idempotent && meansNotRun(sent.status) {
		s.results.addViolation("REFUSED", "request %s got %d from %s and ran at %s", id, sent.status, sent.node, runs[0].server)
	}
}
