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
	// callerDelay is the one-way delay between a caller and a daemon.
	callerDelay = 3 * time.Millisecond
	// noManifestRetryAfter is the Retry-After that a daemon without a configuration gives to callers.
	noManifestRetryAfter = 300 * time.Millisecond
	// maxWaitShare is the largest share of the time until its deadline that a caller waits before it retries.
	maxWaitShare = 1.0 / 3
	// maxAttempts is the largest number of servers that may run an idempotent request.
	maxAttempts = 3
)

// callers sends requests as a Poisson process, and retries them.
type callers struct {
	fleet  *Fleet
	random *rand.Rand
	// rateFactor multiplies the request rate. abusiveShare is the share of requests that are retried without a pause and
	// with abusiveRetries additional retries.
	rateFactor     float64
	abusiveShare   float64
	abusiveRetries int
	// requestCount counts the requests of callers and of servers. A request's number is its fingerprint.
	requestCount int
}

// callerRequest is a request of a caller, with its retries.
type callerRequest struct {
	kind        *Kind
	daemon      *daemon
	fingerprint request.Fingerprint
	firstSent   time.Time
	// retriesLeft is how often the request may still be retried, retriesAtOnce whether that is done without a pause.
	retriesLeft   int
	retriesAtOnce bool
	done          bool
}

// scheduleArrival schedules the next request of a kind, and after it the following ones until the load ends.
func (c *callers) scheduleArrival(k *Kind) {
	if k.Rate <= 0 {
		return
	}

	interval := c.random.ExpFloat64() / (k.Rate * c.rateFactor)
	c.fleet.clock.scheduleAfter(seconds(interval), func() {
		if !c.fleet.underLoad() {
			return
		}

		c.startRequest(k)
		c.scheduleArrival(k)
	})
}

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

func (c *callers) startRequest(k *Kind) {
	d := c.pickDaemon()
	if d == nil {
		return
	}

	c.requestCount++
	r := &callerRequest{
		kind: k, daemon: d, fingerprint: request.Fingerprint(c.requestCount), firstSent: c.fleet.clock.now,
		retriesLeft: k.Retries,
	}

	if c.random.Float64() < c.abusiveShare {
		r.retriesAtOnce = true
		r.retriesLeft += c.abusiveRetries
	}

	c.fleet.result.recordSent(r)
	c.send(r)
}

// pickDaemon returns a random daemon that accepts requests, or any daemon if none does.
func (c *callers) pickDaemon() *daemon {
	var accepting []*daemon

	for _, d := range c.fleet.daemons {
		if d.process != nil && !d.draining {
			accepting = append(accepting, d)
		}
	}

	if len(accepting) == 0 {
		accepting = c.fleet.daemons
	}

	return accepting[c.random.IntN(len(accepting))]
}

// send sends a request to its daemon. A response that arrives after the deadline is dropped.
func (c *callers) send(r *callerRequest) {
	clock := &c.fleet.clock
	deadline := r.firstSent.Add(r.kind.Deadline)

	if !clock.now.Before(deadline) {
		c.finish(r, response{outcome: timedOut})

		return
	}

	if r.daemon.process == nil || r.daemon.draining {
		r.daemon = c.pickDaemon()
	}

	id := request.ID(fmt.Sprintf("%d.%d", r.fingerprint, r.retriesLeft))
	ended := false
	respond := func(answer response) {
		clock.scheduleAfter(callerDelay, func() {
			if !ended {
				ended = true

				c.handleResponse(r, id, answer)
			}
		})
	}

	c.fleet.guarantees.recordSent(id, r.kind)

	clock.scheduleAfter(callerDelay, func() {
		p := r.daemon.process
		if p == nil {
			respond(response{refused: true, verdict: verdict.NotRun})

			return
		}

		p.dispatch(func() { p.receiveRequest(id, r.kind, r.fingerprint, deadline, respond) })
	})
	clock.schedule(deadline, func() {
		if !ended {
			ended = true

			c.disconnect(r, id)
			c.finish(r, response{outcome: timedOut})
		}
	})
}

// disconnect closes the caller's connection to the daemon.
func (c *callers) disconnect(r *callerRequest, id request.ID) {
	if p := r.daemon.process; p != nil {
		c.fleet.clock.scheduleAfter(callerDelay, func() { p.dispatch(func() { p.cancelRequest(id) }) })
	}
}

// handleResponse handles a response that reaches the caller, and retries the request if it failed and may be repeated.
func (c *callers) handleResponse(r *callerRequest, id request.ID, answer response) {
	c.fleet.guarantees.recordResponse(id, answer)

	repeatable := r.kind.Idempotent || answer.refused && answer.verdict == verdict.NotRun
	if !answer.refused && answer.outcome == answered || !repeatable || r.retriesLeft == 0 {
		c.finish(r, answer)

		return
	}

	r.retriesLeft--

	pause := time.Duration(0)

	if answer.refused && !r.retriesAtOnce {
		left := r.firstSent.Add(r.kind.Deadline).Sub(c.fleet.clock.now)
		pause = min(answer.retryAfter, time.Duration(maxWaitShare*float64(left)))
	}

	c.fleet.clock.scheduleAfter(pause, func() { c.send(r) })
}

// finish records the last response as the result of a request.
func (c *callers) finish(r *callerRequest, answer response) {
	if !r.done {
		r.done = true

		c.fleet.result.recordEnd(r, answer)
	}
}

// receiveRequest handles a request from a caller or from the local server.
func (p *process) receiveRequest(
	id request.ID, k *Kind, fingerprint request.Fingerprint, deadline time.Time, respond func(response),
) {
	if p.version == 0 {
		respond(response{refused: true, verdict: verdict.NotRun, retryAfter: noManifestRetryAfter})

		return
	}

	now := p.daemon.fleet.clock.now
	req := request.Request{
		ID: id, Service: k.Service, Route: k.Service + "/" + k.Name, Fingerprint: fingerprint,
		Deadline: now.Add(k.Timeout), Target: now.Add(k.Target), Attempts: maxAttempts, Priority: k.Priority,
		Origin: p.daemon.server.service.Name,
	}

	if deadline.Before(req.Deadline) {
		req.Deadline = deadline
	}

	if k.Idempotent {
		req.Kind = manifest.Idempotent
	}

	p.requests[id] = &entryRequest{request: req, kind: k, respond: respond}
	p.apply(core.RequestArrived{Request: req, Local: true, Stated: deadline})
}

// cancelRequest cancels a request whose caller has disconnected.
func (p *process) cancelRequest(id request.ID) {
	req := p.requests[id]
	if req == nil || req.respond == nil {
		return
	}

	req.respond = nil
	p.apply(core.RequestCancelled{ID: id})
	p.deleteIfFinished(req)
}

// callFromServer sends a request that the local server makes while it runs parent. When the request ends, it calls
// onEnd with true for a success.
func (d *daemon) callFromServer(parent *work, k *Kind, onEnd func(ok bool)) {
	d.fleet.callers.requestCount++

	fingerprint := request.Fingerprint(d.fleet.callers.requestCount)
	id := request.ID(fmt.Sprintf("%s/%d", parent.id, fingerprint))
	d.fleet.guarantees.recordSent(id, k)

	deadline := d.fleet.clock.now.Add(k.Deadline)
	if parent.deadline.Before(deadline) {
		deadline = parent.deadline
	}

	ended := false
	respond := func(answer response) {
		d.fleet.clock.scheduleAfter(sameInstanceDelay, func() {
			if ended {
				return
			}

			ended = true

			d.fleet.guarantees.recordResponse(id, answer)
			onEnd(!answer.refused && answer.outcome == answered)
		})
	}

	d.fleet.clock.scheduleAfter(sameInstanceDelay, func() {
		p := d.process
		if p == nil {
			respond(response{outcome: responseLost})

			return
		}

		p.dispatch(func() { p.receiveRequest(id, k, fingerprint, deadline, respond) })
		parent.cancelCalls = append(parent.cancelCalls, func() {
			ended = true

			p.dispatch(func() { p.cancelRequest(id) })
		})
	})
	d.fleet.clock.schedule(deadline, func() { respond(response{outcome: timedOut}) })
}
