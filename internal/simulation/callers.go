package simulation

import (
	"fmt"
	"math/rand/v2"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	callerDelay = 3 * time.Millisecond
	// noManifestRetry is what a daemon without a configuration tells its callers.
	noManifestRetryAfter = 300 * time.Millisecond
	// waitShare is the part of the time left that callers wait at most before they send again.
	maxWaitShare = 1.0 / 3
	// maxAttempts is the number of servers that may run an idempotent request.
	maxAttempts = 3
)

// callers send requests at random times.
type callers struct {
	fleet  *Fleet
	random *rand.Rand
	// burst multiplies the rate; abusive is the share of callers that repeat at once, abuse more times.
	rateFactor     float64
	abusiveShare   float64
	abusiveRetries int
	requestCount   int
}

// sending is a request of a caller, with all times that it is sent.
type callerRequest struct {
	kind        *Kind
	daemon      *daemon
	fingerprint request.Fingerprint
	firstSent   time.Time
	// left is how often it may be sent again, eager if that is done at once.
	retriesLeft   int
	retriesAtOnce bool
	done          bool
}

// begin lets the requests of a kind arrive.
func (c *callers) scheduleArrival(k *Kind) {
	if k.Rate <= 0 {
		return
	}

	pause := c.random.ExpFloat64() / (k.Rate * c.rateFactor)
	c.fleet.clock.scheduleAfter(seconds(pause), func() {
		if !c.fleet.underLoad() {
			return
		}

		c.startRequest(k)
		c.scheduleArrival(k)
	})
}

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

func (c *callers) startRequest(k *Kind) {
	at := c.pickDaemon()
	if at == nil {
		return
	}

	c.requestCount++
	s := &callerRequest{
		kind: k, daemon: at, fingerprint: request.Fingerprint(c.requestCount), firstSent: c.fleet.clock.now, retriesLeft: k.Retries,
	}

	if c.random.Float64() < c.abusiveShare {
		s.retriesAtOnce = true
		s.retriesLeft += c.abusiveRetries
	}

	c.fleet.result.recordSent(s)
	c.send(s)
}

// place returns an instance whose daemon takes requests, or any if none does.
func (c *callers) pickDaemon() *daemon {
	var open []*daemon

	for _, d := range c.fleet.daemons {
		if d.process != nil && !d.draining {
			open = append(open, d)
		}
	}

	if len(open) == 0 {
		open = c.fleet.daemons
	}

	return open[c.random.IntN(len(open))]
}

// send sends a request. What comes back after its deadline is dropped.
func (c *callers) send(s *callerRequest) {
	clock := &c.fleet.clock
	deadline := s.firstSent.Add(s.kind.Deadline)

	if !clock.now.Before(deadline) {
		c.finish(s, response{outcome: timedOut})

		return
	}

	if s.daemon.process == nil || s.daemon.draining {
		s.daemon = c.pickDaemon()
	}

	id := request.ID(fmt.Sprintf("%d.%d", s.fingerprint, s.retriesLeft))
	heard := false
	respond := func(answer response) {
		clock.scheduleAfter(callerDelay, func() {
			if !heard {
				heard = true

				c.handleResponse(s, id, answer)
			}
		})
	}

	c.fleet.guarantees.recordSent(id, s.kind)

	clock.scheduleAfter(callerDelay, func() {
		r := s.daemon.process
		if r == nil {
			respond(response{refused: true, verdict: verdict.NotRun})

			return
		}

		r.dispatch(func() { r.receiveRequest(id, s.kind, s.fingerprint, deadline, respond) })
	})
	clock.schedule(deadline, func() {
		if !heard {
			heard = true

			c.disconnect(s, id)
			c.finish(s, response{outcome: timedOut})
		}
	})
}

// leave closes the connection of a caller.
func (c *callers) disconnect(s *callerRequest, id request.ID) {
	if r := s.daemon.process; r != nil {
		c.fleet.clock.scheduleAfter(callerDelay, func() { r.dispatch(func() { r.cancelRequest(id) }) })
	}
}

// hear takes what a caller gets, and sends the request again where it may.
func (c *callers) handleResponse(s *callerRequest, id request.ID, answer response) {
	c.fleet.guarantees.recordResponse(id, answer)

	repeatable := s.kind.Idempotent || answer.refused && answer.verdict == verdict.NotRun
	if !answer.refused && answer.outcome == answered || !repeatable || s.retriesLeft == 0 {
		c.finish(s, answer)

		return
	}

	s.retriesLeft--

	pause := time.Duration(0)

	if answer.refused && !s.retriesAtOnce {
		left := s.firstSent.Add(s.kind.Deadline).Sub(c.fleet.clock.now)
		pause = min(answer.retryAfter, time.Duration(maxWaitShare*float64(left)))
	}

	c.fleet.clock.scheduleAfter(pause, func() { c.send(s) })
}

// give ends a request with what its caller got last.
func (c *callers) finish(s *callerRequest, answer response) {
	if !s.done {
		s.done = true

		c.fleet.result.recordEnd(s, answer)
	}
}

// enter takes a request of a caller or of the local server.
func (r *process) receiveRequest(id request.ID, k *Kind, fingerprint request.Fingerprint, deadline time.Time, respond func(response)) {
	if r.version == 0 {
		respond(response{refused: true, verdict: verdict.NotRun, retryAfter: noManifestRetryAfter})

		return
	}

	now := r.daemon.fleet.clock.now
	described := request.Request{
		ID: id, Service: k.Service, Route: k.Service + "/" + k.Name, Fingerprint: fingerprint,
		Deadline: now.Add(k.Timeout), Target: now.Add(k.Target), Attempts: maxAttempts, Priority: k.Priority,
		Origin: r.daemon.server.service.Name,
	}

	if deadline.Before(described.Deadline) {
		described.Deadline = deadline
	}

	if k.Idempotent {
		described.Kind = manifest.Idempotent
	}

	r.requests[id] = &entryRequest{request: described, kind: k, respond: respond}
	r.apply(core.RequestArrived{Request: described, Local: true, Stated: deadline})
}

// cancel drops a request whose caller has left.
func (r *process) cancelRequest(id request.ID) {
	en := r.requests[id]
	if en == nil || en.respond == nil {
		return
	}

	en.respond = nil
	r.apply(core.RequestCancelled{ID: id})
	r.deleteIfFinished(en)
}

// call makes a call of the server for a request that it runs.
func (d *daemon) callFromServer(parent *work, k *Kind, ended func(ok bool)) {
	d.fleet.callers.requestCount++

	fingerprint := request.Fingerprint(d.fleet.callers.requestCount)
	id := request.ID(fmt.Sprintf("%s/%d", parent.id, fingerprint))
	d.fleet.guarantees.recordSent(id, k)

	deadline := d.fleet.clock.now.Add(k.Deadline)
	if parent.deadline.Before(deadline) {
		deadline = parent.deadline
	}

	heard := false
	respond := func(answer response) {
		d.fleet.clock.scheduleAfter(sameInstanceDelay, func() {
			if heard {
				return
			}

			heard = true

			d.fleet.guarantees.recordResponse(id, answer)
			ended(!answer.refused && answer.outcome == answered)
		})
	}

	d.fleet.clock.scheduleAfter(sameInstanceDelay, func() {
		r := d.process
		if r == nil {
			respond(response{outcome: responseLost})

			return
		}

		r.dispatch(func() { r.receiveRequest(id, k, fingerprint, deadline, respond) })
		parent.cancelCalls = append(parent.cancelCalls, func() {
			heard = true

			r.dispatch(func() { r.cancelRequest(id) })
		})
	})
	d.fleet.clock.schedule(deadline, func() { respond(response{outcome: timedOut}) })
}
