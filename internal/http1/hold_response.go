package http1

import (
	"io"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/memory"
)

const (
	// maxHeld is the largest part of a response in bytes that counts in the account of memory: handlers buffer no more.
	maxHeld = 512 << 10
	// maxUnsent is the number of bytes of waiting responses that one connection may hold when the account is full.
	maxUnsent = 512 << 10
)

// holdResponse counts the bytes of a response in the account of memory until the returned function is called. If the
// account is full and the peer has not read earlier responses, it closes the connection and returns ErrClosed.
func (x *Exchange) holdResponse(response Response) (Response, func(), error) {
	size := response.Body.Length

	switch {
	case size == UnknownLength:
		size = chunkSize
	case size > maxHeld:
		size = maxHeld
	}

	if size <= memory.SmallSize {
		// The holding of the request ends with the exchange.
		x.holding.Charge(size)

		return response, func() {}, nil
	}

	held := x.conn.server.memory.Open(x.abortResponse)
	held.Charge(size)

	unsent := x.conn.addUnsent(size)
	release := func() {
		x.conn.addUnsent(-size)
		held.Close()
	}

	if unsent > maxUnsent && x.conn.server.memory.Full() {
		x.abortResponse()

		return response, release, errors.Wrap(ErrClosed, "earlier responses are not read")
	}

	response.Body.Reader = &progressReader{reader: response.Body.Reader, holding: held}

	return response, release, nil
}

// abortResponse closes a connection whose peer does not read, to make room for others.
func (x *Exchange) abortResponse() {
	x.conn.server.counts.add(ClosedUnread)
	x.conn.stopReading(true)
}

func (c *conn) addUnsent(bytes int64) int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.unsent += bytes

	return c.unsent
}

// progressReader reads the body of a response that is written to a connection, and records that it progresses.
type progressReader struct {
	reader  io.Reader
	holding *memory.Holding
}

// Read implements io.Reader.
func (r *progressReader) Read(data []byte) (int, error) {
	n, err := r.reader.Read(data)
	r.holding.Progress(n)

	return n, err
}
