package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
)

const (
	// deadlineSlack is by how much the deadline of a call may seem to lie after that of the request that makes it, as
	// each is stated as the time left when it was sent.
	deadlineSlack = 20 * time.Millisecond
	// parentLinger is how long a request that has ended at the server may still have a call on its way.
	lateCallTime = 300 * time.Millisecond
	// orphanTime is how long the server may go on with requests that an earlier run of the daemon has passed on, and that
	// this one does not know.
	earlierRunTime = 5 * time.Second
)

// origins tells requests of callers from calls of the local backend server where both come from the same address and
// neither says which it is. A call ends no later than the request that makes it, so a request that may last longer
// than all that the server runs is one of a caller, and so is its route.
type origins struct {
	// callers holds the routes that callers have been seen to use.
	callerRoutes map[string]bool
	// ended are requests that have just left the server.
	endedParents []parent
	// settled is when what an earlier run of the daemon has passed on has ended; zero if there was none.
	earlierRunEnds time.Time
}

// parent is a request that may make calls.
type parent struct {
	deadline, expires time.Time
}

// left notes that a request has left the server.
func (o *origins) addEnded(now time.Time, r request.Request) {
	o.endedParents = append(o.endedParents, parent{deadline: r.Deadline, expires: now.Add(lateCallTime)})
}

// forget drops what can have no call on its way any more.
func (o *origins) dropExpired(now time.Time) {
	kept := o.endedParents[:0]

	for _, p := range o.endedParents {
		if now.Before(p.expires) {
			kept = append(kept, p)
		}
	}

	o.endedParents = kept
}

// isCall reports whether a request that was sent from the instance itself, with the deadline that its sender stated,
// is taken for a call of the backend server.
func (s *State) isCall(now time.Time, r request.Request, deadline time.Time) bool {
	s.origins.dropExpired(now)

	if s.mayHaveParent(deadline) || now.Before(s.origins.earlierRunEnds) {
		return !s.origins.callerRoutes[r.Route]
	}

	s.origins.callerRoutes[r.Route] = true

	return false
}

// mayHaveParent reports whether a request that lasts until the deadline is, or was just now, at the server.
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
