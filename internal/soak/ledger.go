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
	mutex  sync.Mutex
	active int
	last   time.Time
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
		d.last = time.Now()
	}
}

// calmSince reports whether nothing was wrong since a time.
func (d *disturbance) calmSince(at time.Time) bool {
	d.mutex.Lock()
	defer d.mutex.Unlock()

	return d.active == 0 && d.last.Before(at)
}

// sending is one request as its caller sees it.
type sending struct {
	id, node, path, host string
	idempotent           bool
	begun, ended         time.Time
	// status is zero if the connection ended without a whole response.
	status int
	failed string
}

// ledger collects what callers saw and which promises were broken. It is safe for concurrent use.
type ledger struct {
	mutex    sync.Mutex
	sendings map[string]sending
	statuses map[string]int
	faults   []string
	// crossed are requests whose connection ended at once. They are lost if they ran.
	crossed map[string]string
}

func newLedger() *ledger {
	return &ledger{sendings: make(map[string]sending), statuses: make(map[string]int), crossed: make(map[string]string)}
}

// broken records a broken promise.
func (l *ledger) broken(rule, format string, args ...any) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.faults = append(l.faults, rule+": "+fmt.Sprintf(format, args...))
}

// maybeLost records a request that is lost if it ran.
func (l *ledger) maybeLost(id, text string) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.crossed[id] = text
}

// add records the end of a request.
func (l *ledger) add(s sending) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	l.sendings[s.id] = s
	l.statuses[outcomeOf(s)]++
}

func outcomeOf(s sending) string {
	if s.status == 0 {
		return s.failed
	}

	return fmt.Sprint(s.status)
}

// served is the share of the requests begun since a time that got a success.
func (l *ledger) served(since time.Time) (share float64, count int) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	good := 0

	for _, s := range l.sendings {
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
func promisesNotRun(status int) bool {
	return slices.Contains([]int{
		http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusRequestTimeout, http.StatusMisdirectedRequest,
	}, status)
}

// checkRuns compares what callers were told with what ran at the backend servers. Nothing runs any more.
func (s *Soak) checkRuns() {
	for _, n := range s.nodes {
		for _, run := range append(slices.Clone(n.earlier), n.server) {
			for id, ran := range run.ExecutionsByAttempt() {
				s.runs[id] = append(s.runs[id], executed{server: run.Name(), count: ran.Count, origin: ran.Origin, body: ran.Body})
			}
		}
	}

	for id, runs := range s.runs {
		s.checkRun(id, runs)
	}
}

// executed is what one server ran of a request.
type executed struct {
	server, origin, body string
	count                int
}

func (s *Soak) checkRun(id string, runs []executed) {
	sent, known := s.ledger.sendings[id]
	if !known {
		s.ledger.broken("UNASKED", "%s ran request %s, which nobody sent", runs[0].server, id)

		return
	}

	total := 0
	for _, ran := range runs {
		total += ran.count

		if origin := s.byName[sent.node].service; ran.origin != origin {
			s.ledger.broken("UNASKED", "%s ran request %s with the origin %q, want %q", ran.server, id, ran.origin, origin)
		}

		if want := bodyOf(sent.path, id); ran.body != want {
			s.ledger.broken("UNASKED", "%s ran request %s with the body %q, want %q", ran.server, id, ran.body, want)
		}
	}

	if text, crossed := s.ledger.crossed[id]; crossed {
		s.ledger.broken("LOST", "%s, and ran at %s", text, runs[0].server)
	}

	if !sent.idempotent && total > 1 {
		s.ledger.broken("TWICE", "request %s, which must not be repeated, ran %d times: %v", id, total, runs)
	}

	if !sent.idempotent && promisesNotRun(sent.status) {
		s.ledger.broken("REFUSED", "request %s got %d from %s and ran at %s", id, sent.status, sent.node, runs[0].server)
	}
}
