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
	nearFullShare = 0.8
	// coldFactor is how much longer work takes at a server that has just started.
	coldSlowness = 2
	// announceInterval is the time between two announcements of a server.
	announceInterval = 1500 * time.Millisecond
)

// ending is how a request ended at a server.
type outcome uint8

const (
	answered outcome = iota
	// failed requests ran and got a response that says that they could not be done.
	failed
	// timedOut requests were given up by the server at their deadline.
	timedOut
	// shed requests did not run.
	shed
	// lost requests ran, and the connection was closed instead of a response.
	responseLost
	// crashed requests were at the server when it ended.
	crashed
)

// work is a request at a server.
type work struct {
	id       request.ID
	kind     *Kind
	deadline time.Time
	// left is the work that is still to be done, at usual speed, as of the time advanced.
	remaining     time.Duration
	slowness      float64
	updated       time.Time
	workTimer     *event
	deadlineTimer *event
	// calls is the number of calls that have not ended.
	openCalls int
	began     bool
	// hangUp closes the connections of its calls.
	cancelCalls []func()
	onEnd       func(outcome)
}

// server is a backend server.
type server struct {
	fleet   *Fleet
	service *Service
	daemon  *daemon
	random  *rand.Rand

	up                bool
	id                backend.ID
	starts            int
	startTime         time.Time
	coldUntil         time.Time
	announcementCount int64
	leaving           bool
	// spell is set while the server works slower, slow is the factor by which faults slow it down.
	inSlowPeriod  bool
	faultSlowness float64
	// shedding, failing and losing are the shares of requests that it refuses, fails, or loses the response of.
	shedShare, failShare, loseShare float64

	running, waiting []*work
}

func (s *server) start() {
	s.starts++
	s.up, s.leaving = true, false
	s.id = backend.ID(fmt.Sprintf("%s.%d", s.daemon.id, s.starts))
	s.startTime = s.fleet.clock.now
	s.announcementCount = 0

	if s.fleet.underLoad() {
		s.coldUntil = s.startTime.Add(s.service.ColdTime)
	}

	s.announce(s.starts)
}

// announce tells the daemon of the server from time to time.
func (s *server) announce(start int) {
	if !s.up || s.starts != start {
		return
	}

	s.daemon.deliverAnnouncement(s.announcement())
	s.fleet.clock.scheduleAfter(announceInterval, func() { s.announce(start) })
}

func (s *server) announcement() backend.Announcement {
	s.announcementCount++

	return backend.Announcement{
		ID: s.id, Born: s.startTime, Sequence: s.announcementCount, Service: s.service.Name, Slots: s.service.Slots, Draining: s.leaving,
		ColdFor: max(0, s.coldUntil.Sub(s.fleet.clock.now)),
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
		s.stopTimersAndCalls(w)
		w.onEnd(crashed)
	}
}

// changeSpells lets spells begin and end. Both last for random times.
func (s *server) scheduleSlowPeriodChange() {
	share := s.service.SlowShare
	if share <= 0 {
		return
	}

	mean := s.service.MeanSlowPeriod
	if !s.inSlowPeriod {
		mean = time.Duration(float64(mean) * (1 - share) / share)
	}

	s.fleet.clock.scheduleAfter(time.Duration(s.random.ExpFloat64()*float64(mean)), func() {
		s.inSlowPeriod = !s.inSlowPeriod
		s.updateRunning()
		s.scheduleSlowPeriodChange()
	})
}

// slowness is how long work takes at present, relative to the usual time.
func (s *server) slowness() float64 {
	slow := max(1, s.faultSlowness)
	if s.inSlowPeriod {
		slow *= s.service.SlowFactor
	}

	if s.fleet.clock.now.Before(s.coldUntil) {
		slow *= coldSlowness
	}

	return slow
}

// paceNow is the pace of a request that begins now.
func (s *server) slownessUnderLoad() float64 {
	pace := s.slowness()
	if float64(len(s.running)) > nearFullShare*float64(s.service.Slots) {
		pace *= max(1, s.service.NearFullFactor)
	}

	return pace
}

// paceChanged changes the pace of what runs, if it follows that of the server.
func (s *server) updateRunning() {
	if !s.service.AffectsRunning {
		return
	}

	for _, w := range s.running {
		if w.workTimer == nil {
			continue
		}

		passed := s.fleet.clock.now.Sub(w.updated)
		w.remaining -= time.Duration(float64(passed) / w.slowness)
		s.scheduleWorkEnd(w)
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
	case s.random.Float64() < s.shedShare:
		w.onEnd(shed)
	case len(s.running) < s.service.Slots:
		s.startWork(w)
	case len(s.waiting) < s.service.Queue:
		s.waiting = append(s.waiting, w)
	default:
		w.onEnd(shed)
	}
}

func (s *server) startWork(w *work) {
	clock := &s.fleet.clock
	if !clock.now.Before(w.deadline) {
		w.onEnd(shed)

		return
	}

	w.began = true
	s.running = append(s.running, w)
	s.fleet.guarantees.recordStart(s, w)

	w.remaining = w.kind.drawWork(s.random)
	w.deadlineTimer = clock.schedule(w.deadline, func() { s.finish(w, timedOut) })
	s.scheduleWorkEnd(w)
}

// proceed goes on with the work at the pace of now.
func (s *server) scheduleWorkEnd(w *work) {
	clock := &s.fleet.clock
	clock.cancel(w.workTimer)

	w.slowness, w.updated = s.slownessUnderLoad(), clock.now
	w.workTimer = clock.scheduleAfter(time.Duration(float64(max(0, w.remaining))*w.slowness), func() {
		w.workTimer = nil
		s.handleWorkEnd(w)
	})
}

// worked follows the work itself: calls are made, then the request has ended.
func (s *server) handleWorkEnd(w *work) {
	if w.kind.CallKind == "" || s.random.Float64() >= w.kind.CallShare {
		s.finishWithFaults(w)

		return
	}

	w.openCalls = w.kind.CallCount
	for range w.kind.CallCount {
		s.daemon.callFromServer(w, s.fleet.kinds[w.kind.CallKind], func(ok bool) {
			switch w.openCalls--; {
			case !ok:
				s.finish(w, failed)
			case w.openCalls == 0:
				s.finishWithFaults(w)
			}
		})
	}
}

func (s *server) finishWithFaults(w *work) {
	switch draw := s.random.Float64(); {
	case draw < s.failShare:
		s.finish(w, failed)
	case draw < s.failShare+s.loseShare:
		s.finish(w, responseLost)
	default:
		s.finish(w, answered)
	}
}

// finish ends a request that runs; later ends are ignored.
func (s *server) finish(w *work, how outcome) {
	if !slices.Contains(s.running, w) {
		return
	}

	s.remove(w)
	w.onEnd(how)
}

// cancel drops a request whose connection has ended.
func (s *server) remove(w *work) {
	s.stopTimersAndCalls(w)

	same := func(other *work) bool { return other == w }
	s.running = slices.DeleteFunc(s.running, same)
	s.waiting = slices.DeleteFunc(s.waiting, same)

	for s.up && len(s.running) < s.service.Slots && len(s.waiting) > 0 {
		next := s.waiting[0]
		s.waiting = s.waiting[1:]
		s.startWork(next)
	}
}

func (s *server) stopTimersAndCalls(w *work) {
	s.fleet.clock.cancel(w.workTimer)
	s.fleet.clock.cancel(w.deadlineTimer)

	for _, hangUp := range w.cancelCalls {
		hangUp()
	}
}

const (
	// leastWork and mostWork bound the work of a request, relative to the mean.
	minWorkFactor = 0.3
	maxWorkFactor = 4
)

// drawWork returns the work of one request.
func (k *Kind) drawWork(random *rand.Rand) time.Duration {
	factor := math.Min(maxWorkFactor, math.Max(minWorkFactor, 1+k.Spread*random.NormFloat64()))

	return time.Duration(factor * float64(k.Work))
}
