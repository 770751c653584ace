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
	noManifestRetry = 300 * time.Millisecond
	// waitShare is the part of the time left that callers wait at most before they send again.
	waitShare = 1.0 / 3
	// maxAttempts is the number of servers that may run an idempotent request.
	maxAttempts = 3
)

// callers send requests at random times.
type callers struct {
	fleet  *Fleet
	random *rand.Rand
	// burst multiplies the rate; abusive is the share of callers that repeat at once, abuse more times.
	burst   float64
	abusive float64
	abuse   int
	sent    int
}

// sending is a request of a caller, with all times that it is sent.
type sending struct {
	kind        *Kind
	at          *daemon
	fingerprint request.Fingerprint
	first       time.Time
	// left is how often it may be sent again, eager if that is done at once.
	left  int
	eager bool
	done  bool
}

// begin lets the requests of a kind arrive.
func (c *callers) begin(k *Kind) {
	if k.Rate <= 0 {
		return
	}

	pause := c.random.ExpFloat64() / (k.Rate * c.burst)
	c.fleet.clock.after(seconds(pause), func() {
		if !c.fleet.loaded() {
			return
		}

		c.arrive(k)
		c.begin(k)
	})
}

func seconds(number float64) time.Duration { return time.Duration(number * float64(time.Second)) }

func (c *callers) arrive(k *Kind) {
	at := c.place()
	if at == nil {
		return
	}

	c.sent++
	s := &sending{
		kind: k, at: at, fingerprint: request.Fingerprint(c.sent), first: c.fleet.clock.now, left: k.Retries,
	}

	if c.random.Float64() < c.abusive {
		s.eager = true
		s.left += c.abuse
	}

	c.fleet.result.owed(s)
	c.send(s)
}

// place returns an instance whose daemon takes requests, or any if none does.
func (c *callers) place() *daemon {
	var open []*daemon

	for _, d := range c.fleet.daemons {
		if d.run != nil && !d.leaving {
			open = append(open, d)
		}
	}

	if len(open) == 0 {
		open = c.fleet.daemons
	}

	return open[c.random.IntN(len(open))]
}

// send sends a request. What comes back after its deadline is dropped.
func (c *callers) send(s *sending) {
	clock := &c.fleet.clock
	deadline := s.first.Add(s.kind.Deadline)

	if !clock.now.Before(deadline) {
		c.give(s, response{ending: timedOut})

		return
	}

	if s.at.run == nil || s.at.leaving {
		s.at = c.place()
	}

	id := request.ID(fmt.Sprintf("%d.%d", s.fingerprint, s.left))
	heard := false
	respond := func(answer response) {
		clock.after(callerDelay, func() {
			if !heard {
				heard = true

				c.hear(s, id, answer)
			}
		})
	}

	c.fleet.promises.sent(id, s.kind)

	clock.after(callerDelay, func() {
		r := s.at.run
		if r == nil {
			respond(response{refused: true, verdict: verdict.NotRun})

			return
		}

		r.receive(func() { r.enter(id, s.kind, s.fingerprint, deadline, respond) })
	})
	clock.at(deadline, func() {
		if !heard {
			heard = true

			c.leave(s, id)
			c.give(s, response{ending: timedOut})
		}
	})
}

// leave closes the connection of a caller.
func (c *callers) leave(s *sending, id request.ID) {
	if r := s.at.run; r != nil {
		c.fleet.clock.after(callerDelay, func() { r.receive(func() { r.cancel(id) }) })
	}
}

// hear takes what a caller gets, and sends the request again where it may.
func (c *callers) hear(s *sending, id request.ID, answer response) {
	c.fleet.promises.heard(id, answer)

	repeatable := s.kind.Idempotent || answer.refused && answer.verdict == verdict.NotRun
	if !answer.refused && answer.ending == answered || !repeatable || s.left == 0 {
		c.give(s, answer)

		return
	}

	s.left--

	pause := time.Duration(0)

	if answer.refused && !s.eager {
		left := s.first.Add(s.kind.Deadline).Sub(c.fleet.clock.now)
		pause = min(answer.retryAfter, time.Duration(waitShare*float64(left)))
	}

	c.fleet.clock.after(pause, func() { c.send(s) })
}

// give ends a request with what its caller got last.
func (c *callers) give(s *sending, answer response) {
	if !s.done {
		s.done = true

		c.fleet.result.ended(s, answer)
	}
}

// enter takes a request of a caller or of the local server.
func (r *run) enter(id request.ID, k *Kind, fingerprint request.Fingerprint, deadline time.Time, respond func(response)) {
	if r.version == 0 {
		respond(response{refused: true, verdict: verdict.NotRun, retryAfter: noManifestRetry})

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

	r.entries[id] = &entry{request: described, kind: k, respond: respond}
	r.apply(core.RequestArrived{Request: described, Local: true, Stated: deadline})
}

// cancel drops a request whose caller has left.
func (r *run) cancel(id request.ID) {
	en := r.entries[id]
	if en == nil || en.respond == nil {
		return
	}

	en.respond = nil
	r.apply(core.RequestCancelled{ID: id})
	r.release(en)
}

// call makes a call of the server for a request that it runs.
func (d *daemon) call(parent *work, k *Kind, ended func(ok bool)) {
	d.fleet.callers.sent++

	fingerprint := request.Fingerprint(d.fleet.callers.sent)
	id := request.ID(fmt.Sprintf("%s/%d", parent.id, fingerprint))
	d.fleet.promises.sent(id, k)

	deadline := d.fleet.clock.now.Add(k.Deadline)
	if parent.deadline.Before(deadline) {
		deadline = parent.deadline
	}

	heard := false
	respond := func(answer response) {
		d.fleet.clock.after(instanceDelay, func() {
			if heard {
				return
			}

			heard = true

			d.fleet.promises.heard(id, answer)
			ended(!answer.refused && answer.ending == answered)
		})
	}

	d.fleet.clock.after(instanceDelay, func() {
		r := d.run
		if r == nil {
			respond(response{ending: lost})

			return
		}

		r.receive(func() { r.enter(id, k, fingerprint, deadline, respond) })
		parent.hangUp = append(parent.hangUp, func() {
			heard = true

			r.receive(func() { r.cancel(id) })
		})
	})
	d.fleet.clock.at(deadline, func() { respond(response{ending: timedOut}) })
}
