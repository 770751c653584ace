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
	// nearFullShare is the share of its slots above which a server works slower, by the NearFullFactor of its service.
	nearFullShare = 0.8
	// coldSlowness is the factor by which a server that has started during the load works slower at first.
	coldSlowness = 2
	// announceInterval is the time between two announcements of a server.
	announceInterval = 1500 * time.Millisecond
)

// outcome is how a request ended, at a server or for its caller.
type outcome uint8

const (
	answered outcome = iota
	// failed requests ran and got an error response.
	failed
	// timedOut requests had no response at their deadline.
	timedOut
	// shed requests were refused by the server and did not run.
	shed
	// responseLost requests may have run, but the connection closed before the response.
	responseLost
	// crashed requests ran or waited at the server when it crashed.
	crashed
)

// work is a request at a server.
type work struct {
	id       request.ID
	kind     *Kind
	deadline time.Time
	// remaining is the time that the rest of the work took at usual speed when it was last updated. Slowness is the
	// factor by which the server has worked slower since then.
	remaining     time.Duration
	slowness      float64
	updated       time.Time
	workTimer     *event
	deadlineTimer *event
	// openCalls is the number of calls to other services that have not ended.
	openCalls int
	started   bool
	// startedAt is when the server started the request; hedged is set if that was for a hedged attempt.
	startedAt time.Time
	hedged    bool
	// cancelCalls close the connections of the calls.
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
	draining          bool
	// inSlowPeriod is set during a slow period. faultSlowness is the factor by which a fault slows the server down;
	// zero for none.
	inSlowPeriod  bool
	faultSlowness float64
	// shedShare, failShare and loseShare are the shares of the requests that the server refuses, answers with an
	// error, and closes the connection of before the response.
	shedShare, failShare, loseShare float64

	running, waiting []*work
}

func (s *server) start() {
	s.starts++
	s.up, s.draining = true, false
	s.id = backend.ID(fmt.Sprintf("%s.%d", s.daemon.id, s.starts))
	s.startTime = s.fleet.clock.now
	s.announcementCount = 0

	if s.fleet.underLoad() {
		s.coldUntil = s.startTime.Add(s.service.ColdTime)
	}

	s.announce(s.starts)
}

// announce sends an announcement to the daemon and schedules the next one, until the run with the given number ends.
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
		ID: s.id, Born: s.startTime, Sequence: s.announcementCount, Service: s.service.Name, Slots: s.service.Slots,
		Draining: s.draining, ColdFor: max(0, s.coldUntil.Sub(s.fleet.clock.now)),
		ColdStated: true,
	}
}

// crash ends the server. Its requests end without a response.
func (s *server) crash() {
	if !s.up {
		return
	}

	s.up = false
	affected := append(slices.Clone(s.running), s.waiting...)
	s.running, s.waiting = nil, nil

	for _, w := range affected {
		s.stopTimersAndCalls(w)
		w.onEnd(crashed)
	}
}

// scheduleSlowPeriodChange schedules the start or end of a slow period, and after it the next change. The lengths of
// the slow periods and of the gaps between them are exponentially distributed.
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

// slowness returns the factor by which the server works slower than usual, as its load report states it.
func (s *server) slowness() float64 {
	slowness := max(1, s.faultSlowness)
	if s.inSlowPeriod {
		slowness *= s.service.SlowFactor
	}

	if s.fleet.clock.now.Before(s.coldUntil) {
		slowness *= coldSlowness
	}

	return slowness
}

// slownessUnderLoad returns the slowness for a request that starts now, which also depends on the slots in use.
func (s *server) slownessUnderLoad() float64 {
	slowness := s.slowness()
	if float64(len(s.running)) > nearFullShare*float64(s.service.Slots) {
		slowness *= max(1, s.service.NearFullFactor)
	}

	return slowness
}

// updateRunning applies a changed slowness to the running requests, if it affects them.
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

// load returns the load that the server reports to its daemon.
func (s *server) load() dialect.Load {
	return dialect.Load{
		Running: len(s.running), Waiting: len(s.waiting), Slots: s.service.Slots, Slowness: s.slowness(),
	}
}

// submit starts or queues a request, or refuses it.
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

	w.started, w.startedAt = true, clock.now
	s.running = append(s.running, w)
	s.fleet.guarantees.recordStart(s, w)

	w.remaining = w.kind.drawWork(s.random)
	w.deadlineTimer = clock.schedule(w.deadline, func() { s.finish(w, timedOut) })
	s.scheduleWorkEnd(w)
}

// scheduleWorkEnd schedules the end of the remaining work at the present slowness.
func (s *server) scheduleWorkEnd(w *work) {
	clock := &s.fleet.clock
	clock.cancel(w.workTimer)

	w.slowness, w.updated = s.slownessUnderLoad(), clock.now
	w.workTimer = clock.scheduleAfter(time.Duration(float64(max(0, w.remaining))*w.slowness), func() {
		w.workTimer = nil
		s.handleWorkEnd(w)
	})
}

// handleWorkEnd handles the end of the request's own work: it makes the calls of the request to other services, and
// ends the request after them.
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

// finishWithFaults ends a request with success, or as the faults of the server require.
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

// finish ends a running request. It ignores a request that does not run any more.
func (s *server) finish(w *work, result outcome) {
	if !slices.Contains(s.running, w) {
		return
	}

	s.remove(w)
	w.onEnd(result)
}

// remove removes a request, and starts waiting ones in the free slots.
func (s *server) remove(w *work) {
	s.stopTimersAndCalls(w)

	if w.started {
		s.fleet.result.addRunTime(s.fleet.clock.now.Sub(w.startedAt), w.hedged)
	}

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

	for _, cancel := range w.cancelCalls {
		cancel()
	}
}

const (
	// minWorkFactor and maxWorkFactor bound the work of a request, relative to the mean of its kind.
	minWorkFactor = 0.3
	maxWorkFactor = 4
)

// drawWork draws the work of one request, from a normal distribution around the mean.
func (k *Kind) drawWork(random *rand.Rand) time.Duration {
	factor := math.Min(maxWorkFactor, math.Max(minWorkFactor, 1+k.Spread*random.NormFloat64()))

	if k.TailShare > 0 && random.Float64() < k.TailShare {
		factor *= k.TailFactor
	}

	return time.Duration(factor * float64(k.Work))
}
