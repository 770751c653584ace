package routing

import (
	"math"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/request"
)

// distance is how far a server is from this daemon.
type distance uint8

// The domain is the failure domain. A server of the same instance is the one beside this daemon.
const (
	sameInstance distance = iota
	sameDomain
	sameRegion
	otherRegion
)

// Expected round-trip times between two daemons, by distance.
const (
	domainRoundTrip      = 500 * time.Microsecond
	regionRoundTrip      = 2 * time.Millisecond
	otherRegionRoundTrip = 45 * time.Millisecond
)

func (d distance) roundTrip() time.Duration {
	switch d {
	case sameInstance:
		return 0
	case sameDomain:
		return domainRoundTrip
	case sameRegion:
		return regionRoundTrip
	default:
		return otherRegionRoundTrip
	}
}

// server is a backend server together with the daemon beside it.
type server struct {
	member   instance.Member
	service  *service
	distance distance
	report   load.Report
	// reportedAt is when the report arrived; zero if there is none.
	reportedAt time.Time
	// confirmedAt is when the server last sent this report: it repeats a report while nothing important changes.
	confirmedAt time.Time
	// unreportedChange is by how much the number of requests at the server has changed since the report, through this
	// daemon's attempts.
	unreportedChange int
	// attempts are this daemon's attempts at the server that have not ended.
	attempts []*attempt
	// avoidUntil is the time until which the server gets no new attempts, after one without an answer.
	avoidUntil time.Time
	// evacuatedUntil is the time until which the server gets no new attempts, after its daemon has refused one because the
	// failure domain is evacuated. A report that the server is open ends it.
	evacuatedUntil time.Time
	// acceptLatency covers attempts at this server.
	acceptLatency acceptLatency
	// consecutiveMisses is the number of consecutive attempts without an answer.
	consecutiveMisses int
}

const (
	// slowPeriod is the time after which a server that was slow is about as likely to be slow as any other. The weight
	// of a reported slowness decays with this time constant, and slowness adds at most this to an expected run time.
	slowPeriod = 500 * time.Millisecond
	// unknownSlowness is the assumed slowness of a server without a recent report.
	unknownSlowness = 1.3
	// coldFactor is the factor by which work takes longer at a server that has just started.
	coldFactor = 2
	// staleAfter is the age above which a report no longer counts for the load of a server or for its being closed.
	staleAfter = 2 * time.Second
)

// slowness returns the expected slowness of the server: how long work takes there relative to the usual time. The
// older the report, the closer the result is to unknownSlowness.
func (srv *server) slowness(now time.Time) float64 {
	if srv.reportedAt.IsZero() {
		return unknownSlowness
	}

	age := max(0, now.Sub(srv.reportedAt))
	slowness := srv.report.Slowness

	if slowness <= 0 {
		slowness = 1
	}

	slowness = unknownSlowness + (slowness-unknownSlowness)*math.Exp(-float64(age)/float64(slowPeriod))

	if srv.report.ColdFor > age {
		slowness *= coldFactor
	}

	return slowness
}

// requestsAhead returns the number of requests that run at the server or wait there ahead of a new request of a rank.
func (srv *server) requestsAhead(now time.Time, rank request.Rank) int {
	if srv.reportedAt.IsZero() || now.Sub(srv.reportedAt) > staleAfter {
		return len(srv.attempts)
	}

	return max(0, srv.report.Ahead(rank)+srv.unreportedChange)
}

// lateSlotShare is the share of a server's slots that may be busy when it gets a late request. The rest is reserved
// for requests that can still be answered in time and for nested calls.
const lateSlotShare = 0.5

// lowestRank is the rank behind which no request waits.
const lowestRank = request.Ranks - 1

// hasRoomForLate reports whether the server has a spare slot for a late request.
func (srv *server) hasRoomForLate(now time.Time) bool {
	return float64(srv.requestsAhead(now, request.LowRank)) < lateSlotShare*float64(srv.slots())
}

func (srv *server) slots() int {
	if srv.report.Slots > 0 {
		return srv.report.Slots
	}

	return max(1, srv.member.Slots)
}

// isOpen reports whether the server takes new work, as far as known. A report that the server is closed counts only
// until it is stale: a server that no daemon watches reports only in its replies that it is open again, so requests
// have to be sent to it.
func (srv *server) isOpen(now time.Time) bool {
	closed := !srv.reportedAt.IsZero() && !srv.report.Open && now.Sub(srv.reportedAt) <= staleAfter

	return srv.member.Usable() && !closed && !now.Before(srv.avoidUntil) && !now.Before(srv.evacuatedUntil)
}

// storeReport stores a report if it is newer than the last one, and reports whether it did.
func (srv *server) storeReport(now time.Time, report load.Report) bool {
	if !srv.reportedAt.IsZero() && !report.Newer(srv.report) {
		if !srv.report.Newer(report) {
			srv.confirmedAt = now
		}

		return false
	}

	// Until now, the attempts ran at the slowness of the previous report.
	for _, a := range srv.attempts {
		a.updateWorkDone(now, srv)
	}

	srv.report, srv.reportedAt, srv.confirmedAt = report, now, now
	srv.unreportedChange = 0

	if report.Open {
		srv.evacuatedUntil = time.Time{}
	}

	for _, a := range srv.attempts {
		if !a.accepted {
			srv.unreportedChange++
		}
	}

	return true
}

const (
	// minAvoidPeriod and maxAvoidPeriod bound the time for which a server that does not answer gets no new attempts.
	// The time doubles with each consecutive miss.
	minAvoidPeriod = 250 * time.Millisecond
	maxAvoidPeriod = 4 * time.Second
)

// recordMiss counts an attempt without an answer and keeps new attempts away from the server for a while.
func (srv *server) recordMiss(now time.Time) {
	period := minAvoidPeriod << min(srv.consecutiveMisses, 4)
	srv.consecutiveMisses++
	srv.avoidUntil = now.Add(min(period, maxAvoidPeriod))
}

// resetAfterRestart drops what is known of the previous run of the server's daemon.
func (srv *server) resetAfterRestart() {
	srv.recordAnswer()
	srv.evacuatedUntil = time.Time{}
	srv.report, srv.reportedAt = load.Report{}, time.Time{}
	srv.unreportedChange = len(srv.attempts)
}

// recordAnswer resets the consecutive misses, so that the server gets new attempts again.
func (srv *server) recordAnswer() {
	srv.consecutiveMisses = 0
	srv.avoidUntil = time.Time{}
}
