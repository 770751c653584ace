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

const (
	sameInstance distance = iota
	sameDomain
	sameRegion
	otherRegion
)

// Round trips between two daemons, before an answer of the server's daemon is due.
const (
	domainTrip = 500 * time.Microsecond
	regionTrip = 2 * time.Millisecond
	remoteTrip = 45 * time.Millisecond
)

func (d distance) trip() time.Duration {
	switch d {
	case sameInstance:
		return 0
	case sameDomain:
		return domainTrip
	case sameRegion:
		return regionTrip
	default:
		return remoteTrip
	}
}

// server is a backend server with the daemon beside it.
type server struct {
	member   instance.Member
	service  *service
	distance distance
	report   load.Report
	// heard is when the report arrived; zero if there is none.
	heard time.Time
	// unreported is the change of the number of attempts there that the report does not reflect.
	unreported int
	// live are this daemon's attempts there that have not ended.
	live []*attempt
	// avoidUntil keeps new attempts away after one that got no answer.
	avoidUntil time.Time
	acceptance acceptance
	// misses counts the attempts in a row that got no answer.
	misses int
}

const (
	// spell is the time after which a server that was slow is as likely as any other to be so again.
	spell = 500 * time.Millisecond
	// unknownSlowness stands for a server that has not said how slow it is.
	unknownSlowness = 1.3
	// coldFactor is how much longer work takes at a server that has just started.
	coldFactor = 2
	// staleAfter is the age at which a report no longer says how busy a server is, or that it is closed.
	staleAfter = 2 * time.Second
)

// slowness returns how long work takes at the server, relative to the usual time. What is old counts less.
func (srv *server) slowness(now time.Time) float64 {
	if srv.heard.IsZero() {
		return unknownSlowness
	}

	age := max(0, now.Sub(srv.heard))
	slow := srv.report.Slowness

	if slow <= 0 {
		slow = 1
	}

	slow = unknownSlowness + (slow-unknownSlowness)*math.Exp(-float64(age)/float64(spell))

	if srv.report.ColdFor > age {
		slow *= coldFactor
	}

	return slow
}

// ahead is the number of requests at the server that run, or wait and go before one of a rank.
func (srv *server) ahead(now time.Time, rank request.Rank) int {
	if srv.heard.IsZero() || now.Sub(srv.heard) > staleAfter {
		return len(srv.live)
	}

	return max(0, srv.report.Ahead(rank)+srv.unreported)
}

// lateShare is the share of its slots up to which a server takes requests that are late. The rest is kept for those that
// can still be answered in time, and for calls.
const lateShare = 0.5

// takesLate reports whether the server has room for a request that is late.
func (srv *server) takesLate(now time.Time) bool {
	return float64(srv.ahead(now, request.LowRank)) < lateShare*float64(srv.slots())
}

func (srv *server) slots() int {
	if srv.report.Slots > 0 {
		return srv.report.Slots
	}

	return max(1, srv.member.Slots)
}

// open reports whether the server takes new work as far as is known. A server that nobody watches says only in its
// replies that it is open again, so that an old report does not keep requests away.
func (srv *server) open(now time.Time) bool {
	closed := !srv.heard.IsZero() && !srv.report.Open && now.Sub(srv.heard) <= staleAfter

	return srv.member.Usable() && !closed && !now.Before(srv.avoidUntil)
}

// take stores a newer report.
func (srv *server) take(now time.Time, report load.Report) bool {
	if !srv.heard.IsZero() && !report.Newer(srv.report) {
		return false
	}

	// What ran until now ran as slowly as the earlier report says.
	for _, a := range srv.live {
		a.advance(now, srv)
	}

	srv.report, srv.heard = report, now
	srv.unreported = 0

	for _, a := range srv.live {
		if !a.accepted {
			srv.unreported++
		}
	}

	return true
}

const (
	// avoidMin and avoidMax bound how long a server that does not answer is avoided; the time doubles with
	// each miss.
	avoidMin = 250 * time.Millisecond
	avoidMax = 4 * time.Second
)

// missed keeps further attempts away for a while.
func (srv *server) missed(now time.Time) {
	period := avoidMin << min(srv.misses, 4)
	srv.misses++
	srv.avoidUntil = now.Add(min(period, avoidMax))
}

// restarted forgets what was known of an earlier run of the daemon.
func (srv *server) restarted() {
	srv.answered()
	srv.report, srv.heard = load.Report{}, time.Time{}
	srv.unreported = len(srv.live)
}

func (srv *server) answered() {
	srv.misses = 0
	srv.avoidUntil = time.Time{}
}
