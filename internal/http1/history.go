package http1

import "hash/maphash"

// maxCarried is the largest number of requests with an identifier for which a connection is used. The connection
// remembers all of them.
const maxCarried = 1024

// historySeed makes the hashes of identifiers unpredictable to those who choose the identifiers.
var historySeed = maphash.MakeSeed()

// history is the set of the identifiers of the requests that a connection has carried. It keeps their hashes, so that an
// identifier may count as carried that was not: another connection is then used.
type history map[uint64]struct{}

func (h history) has(id string) bool {
	_, carried := h[maphash.String(historySeed, id)]

	return carried
}

func (h history) isFull() bool { return len(h) >= maxCarried }

// Carry records that the connection carries a request with an identifier. After maxCarried of them, the connection is
// closed when it is released.
func (c *ClientConn) Carry(id string) {
	if c.carried == nil {
		c.carried = make(history)
	}

	c.carried[maphash.String(historySeed, id)] = struct{}{}
}

// HasCarried reports whether the connection has carried a request with an identifier, in the whole time since it was
// opened.
func (c *ClientConn) HasCarried(id string) bool { return c.carried.has(id) }
