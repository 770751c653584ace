package simulation

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

const (
	// fullShare is the share of the slots beyond which some servers work slower.
	fullShare = 0.8
	// coldFactor is how much longer work takes at a server that has just started.
	coldFactor = 2
	// announceInterval is the time between two announcements of a server.
	announceInterval = 1500 * time.Millisecond
)

// ending is how a request ended at a server.
type ending uint8

const (
	answered ending = iota
	// failed requests ran and got a response that says that they could not be done.
	failed
	// timedOut requests were given up by the server at their deadline.
	timedOut
	// shed requests did not run.
	shed
	// lost requests ran, and the connection was closed instead of a response.
	lost
	// crashed requests were at the server when it ended.
	crashed
)

// work is a request at a server.
type work struct {
	id       request.ID
	kind     *Kind
	deadline time.Time
	// left is the work that is still to be done, at usual speed, as of the time advanced.
	left     time.Duration
	pace     float64
	advanced time.Time
	timer    *event
	expiry   *event
	// calls is the number of calls that have not ended.
	calls int
	began bool
	// hangUp closes the connections of its calls.
	hangUp []func()
	ended  func(ending)
}

// server is a backend server.
type server struct {
	fleet   *Fleet
	service *Service
	daemon  *daemon
	random  *rand.Rand

	up      bool
	id      backend.ID
	starts  int
	born    time.Time
	cold    time.Time
	count   int64
	leaving bool
	// spell is set while the server works slower, slow is the factor by which faults slow it down.
	spell bool
	slow  float64
	// shedding, failing and losing are the shares of requests that it refuses, fails, or loses the response of.
	shedding, failing, losing float64

	running, waiting []*work
}

func (s *server) start() {
	s.starts++
	s.up, s.leaving = true, false
	s.id = backend.ID(fmt.Sprintf("%s.%d", s.daemon.id, s.starts))
	s.born = s.fleet.clock.now
	s.count = 0

	if s.fleet.loaded() {
		s.cold = s.born.Add(s.service.ColdTime)
	}

	s.announce(s.starts)
}

// announce tells the daemon of the server from time to time.
func (s *server) announce(start int) {
	if !s.up || s.starts != start {
		return
	}

	s.daemon.announced(s.announcement())
	s.fleet.clock.after(announceInterval, func() { s.announce(start) })
}

func (s *server) announcement() backend.Announcement {
	s.count++

	return backend.Announcement{
		ID: s.id, Born: s.born, Sequence: s.count, Service: s.service.Name, Slots: s.service.Slots, Draining: s.leaving,
		ColdFor: max(0, s.cold.Sub(s.fleet.clock.now)),
	}
}

// crash ends the server. What is at it ends without a response.
func (s *server) crash() {
	if !s.up {
		return
	}

	s.up = false
	hit := append(slices.Clone(s.running), s.waiting...)
	s.running, s.waiting = nil, nil

	for _, w := range hit {
		s.stop(w)
		w.ended(crashed)
	}
}

// changeSpells lets spells begin and end. Both last for random times.
func (s *server) changeSpells() {
	share := s.service.SlowShare
	if share <= 0 {
		return
	}

	mean := s.service.MeanSlowPeriod
	if !s.spell {
		mean = time.Duration(float64(mean) * (1 - share) / share)
	}

	s.fleet.clock.after(time.Duration(s.random.ExpFloat64()*float64(mean)), func() {
		s.spell = !s.spell
		s.paceChanged()
		s.changeSpells()
	})
}

// slowness is how long work takes at present, relative to the usual time.
func (s *server) slowness() float64 {
	slow := max(1, s.slow)
	if s.spell {
		slow *= s.service.SlowFactor
	}

	if s.fleet.clock.now.Before(s.cold) {
		slow *= coldFactor
	}

	return slow
}

// paceNow is the pace of a request that begins now.
func (s *server) paceNow() float64 {
	pace := s.slowness()
	if float64(len(s.running)) > fullShare*float64(s.service.Slots) {
		pace *= max(1, s.service.NearFullFactor)
	}

	return pace
}

// paceChanged changes the pace of what runs, if it follows that of the server.
func (s *server) paceChanged() {
	if !s.service.AffectsRunning {
		return
	}

	for _, w := range s.running {
		if w.timer == nil {
			continue
		}

		passed := s.fleet.clock.now.Sub(w.advanced)
		w.left -= time.Duration(float64(passed) / w.pace)
		s.proceed(w)
	}
}

// load is what the server says of itself.
func (s *server) load() dialect.Load {
	return dialect.Load{
		Running: len(s.running), Waiting: len(s.waiting), Slots: s.service.Slots, Slowness: s.slowness(),
	}
}

// submit takes a request, or refuses it.
func (s *server) submit(w *work) {
	switch {
	case s.random.Float64() < s.shedding:
		w.ended(shed)
	case len(s.running) < s.service.Slots:
		s.begin(w)
	case len(s.waiting) < s.service.Queue:
		s.waiting = append(s.waiting, w)
	default:
		w.ended(shed)
	}
}

func (s *server) begin(w *work) {
	clock := &s.fleet.clock
	if !clock.now.Before(w.deadline) {
		w.ended(shed)

		return
	}

	w.began = true
	s.running = append(s.running, w)
	s.fleet.promises.began(s, w)

	w.left = w.kind.drawWork(s.random)
	w.expiry = clock.at(w.deadline, func() { s.finish(w, timedOut) })
	s.proceed(w)
}

// proceed goes on with the work at the pace of now.
func (s *server) proceed(w *work) {
	clock := &s.fleet.clock
	clock.stop(w.timer)

	w.pace, w.advanced = s.paceNow(), clock.now
	w.timer = clock.after(time.Duration(float64(max(0, w.left))*w.pace), func() {
		w.timer = nil
		s.worked(w)
	})
}

// worked follows the work itself: calls are made, then the request has ended.
func (s *server) worked(w *work) {
	if w.kind.CallKind == "" || s.random.Float64() >= w.kind.CallShare {
		s.conclude(w)

		return
	}

	w.calls = w.kind.CallCount
	for range w.kind.CallCount {
		s.daemon.call(w, s.fleet.kinds[w.kind.CallKind], func(ok bool) {
			switch w.calls--; {
			case !ok:
				s.finish(w, failed)
			case w.calls == 0:
				s.conclude(w)
			}
		})
	}
}

func (s *server) conclude(w *work) {
	switch draw := s.random.Float64(); {
	case draw < s.failing:
		s.finish(w, failed)
	case draw < s.failing+s.losing:
		s.finish(w, lost)
	default:
		s.finish(w, answered)
	}
}

// finish ends a request that runs; later ends are ignored.
func (s *server) finish(w *work, how ending) {
	if !slices.Contains(s.running, w) {
		return
	}

	s.cancel(w)
	w.ended(how)
}

// cancel drops a request whose connection has ended.
func (s *server) cancel(w *work) {
	s.stop(w)

	same := func(other *work) bool { return other == w }
	s.running = slices.DeleteFunc(s.running, same)
	s.waiting = slices.DeleteFunc(s.waiting, same)

	for s.up && len(s.running) < s.service.Slots && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.begin(next)
	}
}

func (s *server) stop(w *work) {
	s.fleet.clock.stop(w.timer)
	s.fleet.clock.stop(w.expiry)

	for _, hangUp := range w.hangUp {
		hangUp()
	}
}

const (
	// leastWork and mostWork bound the work of a request, relative to the mean.
	leastWork = 0.3
	mostWork  = 4
)

// drawWork returns the work of one request.
func (k *Kind) drawWork(random *rand.Rand) time.Duration {
	factor := math.Min(mostWork, math.Max(leastWork, 1+k.Spread*random.NormFloat64()))

	return time.Duration(factor * float64(k.Work))
}
