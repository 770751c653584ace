package http1

import (
	"sync/atomic"
	"time"
)

// CloseReason is a reason for which a server closes a connection of a peer that misbehaves.
type CloseReason int

// Reasons to close connections.
const (
	// ClosedStalled: the body of a request progressed less than others, and the account of memory was full.
	ClosedStalled CloseReason = iota
	// ClosedSlow: the body of a request arrived below the minimum rate, or not in time.
	ClosedSlow
	// ClosedUnread: responses were not read, and the account of memory was full.
	ClosedUnread
	// ClosedExcess: there were too many connections.
	ClosedExcess
	closeReasons
)

// String returns the name of the reason.
func (r CloseReason) String() string { return [...]string{"stalled", "slow", "unread", "excess"}[r] }

// CloseReasons returns all reasons.
func CloseReasons() []CloseReason {
	return []CloseReason{ClosedStalled, ClosedSlow, ClosedUnread, ClosedExcess}
}

// closeCounts counts closed connections by reason.
type closeCounts [closeReasons]atomic.Int64

func (c *closeCounts) add(reason CloseReason) { c[reason].Add(1) }

// Closed returns the number of connections that were closed for a reason.
func (s *Server) Closed(reason CloseReason) int64 { return s.counts[reason].Load() }

// Connections returns the number of open connections.
func (s *Server) Connections() int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return len(s.conns)
}

// excessDivisor is the inverse of the share by which connections that are about to end may exceed the limit.
const excessDivisor = 8

// admit reports whether one more connection may be served. If there are too many, it closes the one that has been without a
// request for longest.
func (s *Server) admit() bool {
	limit := s.limits().Connections

	s.mutex.Lock()
	defer s.mutex.Unlock()

	if limit <= 0 || len(s.conns) < limit {
		return true
	}

	s.counts.add(ClosedExcess)

	var (
		idlest *conn
		oldest time.Time
	)

	for c := range s.conns {
		if since, idle := c.isIdleSince(); idle && (idlest == nil || since.Before(oldest)) {
			idlest, oldest = c, since
		}
	}

	if idlest == nil {
		return false
	}

	idlest.expire()

	// Expired connections are still open for a moment.
	return len(s.conns) < limit+limit/excessDivisor+1
}

// expire ends a connection without a request. A peer that has sent requests gets the end of the stream first.
func (c *conn) expire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.expired = true

	if c.last == nil {
		_ = c.net.Close()

		return
	}

	_ = c.net.SetReadDeadline(past)
}

// isIdleSince reports whether a connection has no request in progress and is not about to end, and since when.
func (c *conn) isIdleSince() (time.Time, bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.active, c.open == 0 && !c.expired
}
