package http1

import "time"

const (
	// fieldCost is the memory in bytes that a header field takes besides its text.
	fieldCost = 64
	// usualFields is the number of header fields up to which a head is not counted in the account of memory.
	usualFields = 64
)

// holdHead reserves memory for a head of unusually many fields.
func (x *Exchange) holdHead() error {
	if fields := countFields(x.Request.Header); fields > usualFields {
		return x.holding.Grow(int64(fields) * fieldCost) //nolint:wrapcheck // The error says all.
	}

	return nil
}

// AcceptBody lets the body of the request be read, up to a limit in bytes and for at most the given time; a negative limit
// and a time of zero mean those of the server. Only the first call counts. Without it, Body accepts the body. If the
// request is answered without either, its body is not read, and the connection is closed.
func (x *Exchange) AcceptBody(limit int64, timeout time.Duration) {
	if x.needless {
		return
	}

	x.accepting.Do(func() {
		x.bodyLimit, x.bodyTimeout = limit, timeout
		close(x.accepted)
	})
}

// awaitAcceptance waits until the body may be read, and returns false if the request was answered before.
func (x *Exchange) awaitAcceptance() bool {
	if x.needless {
		return true
	}

	select {
	case <-x.accepted:
		return true
	case <-x.done:
	}

	select {
	case <-x.accepted:
		return true
	default:
		return false
	}
}

// isUnread reports whether the body of the request was not accepted. It will then not be read.
func (x *Exchange) isUnread() bool {
	if x.needless {
		return false
	}

	// From now on, the body cannot be accepted any more.
	x.accepting.Do(func() { x.unread = true })

	return x.unread
}

// abortBody ends the reading of the body to make room for others.
func (x *Exchange) abortBody() {
	x.aborted.Store(true)
	x.conn.server.counts.add(ClosedStalled)
	// The account is locked now, so that the lock of the connection must not be waited for.
	_ = x.conn.net.SetReadDeadline(past)
}

// releaseHolding closes the holding once both the exchange has ended and its body is no longer being read.
func (x *Exchange) releaseHolding() {
	if x.users.Add(-1) == 0 {
		x.holding.Close()
	}
}
