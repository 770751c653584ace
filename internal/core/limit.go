package core

import (
	"math"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

const (
	// runTimeWeight is the weight of one request in the moving average of run times.
	runTimeWeight = 0.1
	// minLimitWait is the wait for the limit of a server from which the server is reported as full. A shorter one is
	// over before most attempts arrive.
	minLimitWait = 20 * time.Millisecond
	// limitRecheckTime is the time without a response after which the server is reported with all of its slots. Only a
	// response says that a limit has ended, and a server with few usable slots gets no request while others have more.
	limitRecheckTime = time.Second
)

// recordRunTime adds the time that a request ran at the local backend server.
func (s *State) recordRunTime(elapsed time.Duration) {
	if s.runTime == 0 {
		s.runTime = elapsed

		return
	}

	s.runTime += time.Duration(runTimeWeight * float64(elapsed-s.runTime))
}

// limitReport returns a load report that takes the limits of the server into account, so that the other daemons choose
// servers by what they may take: no more slots than requests run at once within the limits, all of them busy while they
// allow no request. A server that only may be cold is reported as usual: a probe tells within milliseconds.
func (s *State) limitReport(now time.Time, report load.Report) load.Report {
	limit := s.health.Limit()
	if !limit.Set && !s.isCold(now) {
		return report
	}

	if limit.Set && now.Before(s.limitRecheckAt) {
		report.Slots = s.usableSlots(limit.PerSecond, report.Slots)
	}

	if s.isCold(now) {
		report.Slots = s.usableSlots(s.health.ColdPolicy().Rate, report.Slots)
	}

	if s.admission.LimitWait(now) >= minLimitWait {
		report.Running = max(report.Running, report.Slots)
	}

	return report
}

// usableSlots returns the number of slots that a number of requests per second can use.
func (s *State) usableSlots(perSecond float64, slots int) int {
	return max(1, int(min(math.Ceil(perSecond*s.runTime.Seconds()), float64(slots))))
}

// updateLimitTimer sets when the load has to be reported again because of the limits of the server: when they allow a
// request, when the server is to be asked whether its limit still holds, or when it is no longer cold.
func (s *State) updateLimitTimer(now time.Time) {
	s.limitTimer = time.Time{}

	if s.health.Limit().Set && now.Before(s.limitRecheckAt) {
		s.limitTimer = s.limitRecheckAt
	}

	if wait := s.admission.LimitWait(now); wait >= minLimitWait {
		s.limitTimer = times.Next(s.limitTimer, now.Add(wait))
	}

	if s.isCold(now) {
		s.limitTimer = times.Next(s.limitTimer, now.Add(s.health.ColdFor(now)))
	}
}

// postponeLimitRecheck records a response of the server, which states the limit or ends it.
func (s *State) postponeLimitRecheck(now time.Time) { s.limitRecheckAt = now.Add(limitRecheckTime) }

// ServerLimit returns the number of requests that the local backend server allows, and whether a response has stated it
// to this run of the daemon.
func (s *State) ServerLimit() (limit backend.Limit, known bool) {
	return s.health.Limit(), s.health.LimitKnown()
}

// ServerNotice returns what the local backend server has said of itself in its responses to this run of the daemon.
func (s *State) ServerNotice() backend.Notice { return s.health.Notice() }

// NoticeOf returns what the daemon remembers of the responses of another daemon's server, to send it with an attempt.
func (s *State) NoticeOf(id instance.ID) backend.Notice { return s.notices[id] }

// dropNotices forgets the notices of daemons that are no longer members.
func (s *State) dropNotices(members []instance.Member) {
	kept := make(map[instance.ID]backend.Notice, len(s.notices))

	for _, member := range members {
		if notice, known := s.notices[member.ID]; known {
			kept[member.ID] = notice
		}
	}

	s.notices = kept
}

// recordNotice remembers what a reply says of the server of a member.
func (s *State) recordNotice(id instance.ID, notice backend.Notice) {
	updated := s.notices[id].Update(notice)
	if updated.IsEmpty() {
		delete(s.notices, id)

		return
	}

	s.notices[id] = updated
}
