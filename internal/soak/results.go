package soak

import (
	"fmt"
	"net/http"
	"slices"
	"sync"
	"time"
)

// disturbance records when faults were active. Planned work is no fault.
type disturbance struct {
	mutex sync.Mutex
	// active is the number of active faults, lastEnd when the last one ended.
	active  int
	lastEnd time.Time
}

// begin records the start of a fault. The returned function records its end.
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

// calmSince reports whether no fault was active since a time.
func (d *disturbance) calmSince(at time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.active == 0 && d.lastEnd.Before(at)
}

// sentRequest is a request and its result, as its caller observed them.
type sentRequest struct {
	id, node, path, host string
	// key is the API key that the caller presented.
	key          string
	idempotent   bool
	begun, ended time.Time
	// status is zero if the connection ended without a whole response.
	status int
	// failure says how the connection ended in that case.
	failure string
}

// results collects the observations of callers and the violations of guarantees. It is safe for concurrent use.
type results struct {
	mutex    sync.Mutex
	requests map[string]sentRequest
	// statuses counts the requests by status or failure.
	statuses   map[string]int
	violations []string
	// possiblyLost describes requests whose connection ended within disconnectSlack. They violate a guarantee only if
	// they ran.
	possiblyLost map[string]string
}

func newResults() *results {
	return &results{
		requests: make(map[string]sentRequest), statuses: make(map[string]int), possiblyLost: make(map[string]string),
	}
}

// addViolation records a violation of a guarantee.
func (r *results) addViolation(rule, format string, args ...any) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.violations = append(r.violations, rule+": "+fmt.Sprintf(format, args...))
}

// addPossiblyLost records a request whose loss is a violation only if it ran.
func (r *results) addPossiblyLost(id, text string) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.possiblyLost[id] = text
}

// add records the result of a request.
func (r *results) add(s sentRequest) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.requests[s.id] = s
	r.statuses[outcomeOf(s)]++
}

// outcomeOf returns the status or the failure of a request.
func outcomeOf(s sentRequest) string {
	if s.status == 0 {
		return s.failure
	}

	return fmt.Sprint(s.status)
}

// successShare returns the share of successes among the requests with a valid key that were sent since a time, and the
// number of these requests.
func (r *results) successShare(since time.Time) (share float64, count int) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	successes := 0

	for _, s := range r.requests {
		if s.begun.Before(since) || s.key != callerKey {
			continue
		}

		count++

		if isSuccess(s.status) {
			successes++
		}
	}

	return float64(successes) / float64(max(1, count)), count
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

// meansNotRun reports whether a status guarantees that a request has not run and never will.
func meansNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// checkExecutions compares the responses to callers with what the backend servers ran. It must be called after all
// processes have stopped.
func (s *Soak) checkExecutions() {
	for _, n := range s.nodes {
		for _, run := range append(slices.Clone(n.earlierRuns), n.server) {
			for id, ran := range run.ExecutionsByAttempt() {
				s.executions[id] = append(s.executions[id], execution{
					server: run.Name(), count: ran.Count, origin: ran.Origin, body: ran.Body,
					tenant: ran.Tenant, credential: ran.Credential,
				})
			}
		}
	}

	for id, runs := range s.executions {
		s.checkExecution(id, runs)
	}
}

// execution is how often and with which content one run of a server ran a request.
type execution struct {
	server, origin, body string
	tenant, credential   string
	count                int
}

// checkExecution checks the guarantees for one request that ran.
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
			s.results.addViolation("UNASKED", "%s ran request %s with the origin %q, want %q",
				ran.server, id, ran.origin, origin)
		}

		s.checkTenant(sent, ran)

		if want := requestBody(sent.path, id); ran.body != want {
			s.results.addViolation("UNASKED", "%s ran request %s with the body %q, want %q", ran.server, id, ran.body, want)
		}
	}

	if text, crossed := s.results.possiblyLost[id]; crossed {
		s.results.addViolation("LOST", "%s, and ran at %s", text, runs[0].server)
	}

	if !sent.idempotent && total > 1 {
		s.results.addViolation("TWICE", "request %s, which must not be repeated, ran %d times: %v", id, total, runs)
	}

	if !sent.idempotent && meansNotRun(sent.status) {
		s.results.addViolation("REFUSED", "request %s got %d from %s and ran at %s",
			id, sent.status, sent.node, runs[0].server)
	}
}
