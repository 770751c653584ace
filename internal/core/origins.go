package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

const (
	// deadlineSlack is by how much the deadline of a call may seem to be later than that of its parent. Each request
	// states its deadline as the time left when it was sent, so the time on the network shifts it.
	deadlineSlack = 20 * time.Millisecond
	// lateCallTime is how long after the end of a parent a call that it made may still arrive.
	lateCallTime = 300 * time.Millisecond
	// earlierRunTime is how long the server may keep running requests that an earlier run of the daemon has sent.
	// This run does not know them.
	earlierRunTime = 5 * time.Second
)

// origins distinguishes requests of callers from calls that the local backend server makes. Both may come from the
// same address, and then neither states which it is. A call ends no later than its parent, the request that makes it.
// A request with a later deadline than all requests at the server therefore comes from a caller, and so do all others
// that use its route.
type origins struct {
	// callerRoutes is the set of routes that callers are known to use.
	callerRoutes map[string]bool
	// endedParents are the requests that have left the server within the last lateCallTime.
	endedParents []parent
	// earlierRunEnds is when the server is expected to have ended all requests that an earlier run of the daemon has
	// sent; zero if there was no such run.
	earlierRunEnds time.Time
}

// parent is a request that may have made calls. It is dropped at the time expires.
type parent struct {
	deadline, expires time.Time
}

// addEnded records a request that has left the server.
func (o *origins) addEnded(now time.Time, r request.Request) {
	o.dropExpired(now)

	o.endedParents = append(o.endedParents, parent{deadline: r.Deadline, expires: now.Add(lateCallTime)})
}

// dropExpired removes requests whose calls have all arrived.
func (o *origins) dropExpired(now time.Time) {
	kept := o.endedParents[:0]

	for _, p := range o.endedParents {
		if now.Before(p.expires) {
			kept = append(kept, p)
		}
	}

	o.endedParents = kept
}

// isCall decides whether a request from the instance itself is a call of the backend server, by the deadline that its
// sender stated. A call presents no API key, and only calls do so where callers need one. If the request is certain to come
// from a caller, isCall records that callers use its route.
func (s *State) isCall(now time.Time, e RequestArrived) bool {
	if e.Request.Tenant != "" {
		return false
	}

	s.origins.dropExpired(now)

	if s.mayHaveParent(e.Stated) || now.Before(s.origins.earlierRunEnds) {
		return e.CallOnly || !s.origins.callerRoutes[e.Request.Route]
	}

	s.origins.callerRoutes[e.Request.Route] = true

	return false
}

// mayHaveParent reports whether a request that runs at the server, or has just left it, has this deadline or a later
// one, with a tolerance of deadlineSlack. Such a request may be the parent of a call with this deadline.
func (s *State) mayHaveParent(deadline time.Time) bool {
	earliest := deadline.Add(-deadlineSlack)

	for _, attempt := range s.attemptOrder {
		if local := s.localAttempts[attempt]; local.started && !local.request.Deadline.Before(earliest) {
			return true
		}
	}

	for _, p := range s.origins.endedParents {
		if !p.deadline.Before(earliest) {
			return true
		}
	}

	return false
}
