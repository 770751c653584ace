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

// stallGrace is the time from the start of a request from which its incomplete body may be aborted for a new connection.
const stallGrace = time.Second

// admit reports whether one more connection may be served. If there are too many, it ends the one that has been without a
// request for longest or, if all have one, the one whose body is incomplete for longest.
func (s *Server) admit() bool {
	limit := s.limits().Connections

	s.mutex.Lock()
	defer s.mutex.Unlock()

	if limit <= 0 || len(s.conns) < limit {
		return true
	}

	s.counts.add(ClosedExcess)

	longest := s.longest(func(c *conn) bool { return c.open == 0 })
	if longest == nil {
		now := time.Now()
		longest = s.longest(func(c *conn) bool { return c.receiving && now.Sub(c.active) > stallGrace })
	}

	if longest == nil {
		return false
	}

	longest.expire()

	// Expired connections are still open for a moment.
	return len(s.conns) < limit+limit/excessDivisor+1
}

// longest returns the connection without a change for longest among those that match and are not about to end, or nil. The
// caller holds the mutex.
func (s *Server) longest(matches func(c *conn) bool) *conn {
	var (
		longest *conn
		since   time.Time
	)

	for c := range s.conns {
		c.mutex.Lock()
		active, candidate := c.active, !c.expired && matches(c)
		c.mutex.Unlock()

		if candidate && (longest == nil || active.Before(since)) {
			longest, since = c, active
		}
	}

	return longest
}

// expire ends a connection without a request or with an incomplete body. A peer that has sent a request gets a response or
// the end of the stream first.
func (c *conn) expire() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.expired = true

	switch {
	case c.last == nil:
		_ = c.net.Close()

		return
	case c.open > 0 && c.receiving:
		c.last.aborted.Store(true)
	case c.open > 0:
		// A request has arrived meanwhile.
		return
	}

	_ = c.net.SetReadDeadline(past)
}
