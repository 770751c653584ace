package http1

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// lingerTimeout is the time for which a connection is read after its last response. If it was closed at once, bytes
	// that the peer still sends would cause a reset, and the peer could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes is the largest number of bytes that are read in that time.
	lingerBytes = 4 << 20
)

// conn is an accepted connection. One goroutine reads the requests; each request is handled by a goroutine of its own.
type conn struct {
	server *Server
	net    net.Conn
	input  *limitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	// inProgress is a semaphore that bounds the number of requests in progress.
	inProgress chan struct{}

	mutex sync.Mutex
	// last is the newest exchange. If the connection is closing, its response is the last one.
	last *Exchange
	// open is the number of exchanges without a response.
	open int
	// closing is set once no further request is passed to the handler.
	closing bool
	// unsent is the number of bytes of responses that wait for their turn or for the peer.
	unsent int64
	// receiving is set while a body is read that has not arrived with its head.
	receiving bool
	// expired is set if the connection is to end because there are too many.
	expired bool
	// active is the time at which the last request began or ended.
	active time.Time
}

func newConn(s *Server, accepted net.Conn) *conn {
	input := &limitedReader{reader: accepted}

	return &conn{
		server: s, net: accepted, input: input,
		reader:     bufio.NewReaderSize(input, bufferSize),
		writer:     bufio.NewWriterSize(accepted, bufferSize),
		inProgress: make(chan struct{}, max(1, s.limits().Pipeline)),
		active:     time.Now(),
	}
}

// run reads requests until the connection ends, and then waits for their exchanges.
func (c *conn) run(ctx context.Context) {
	c.ctx, c.cancel = context.WithCancel(ctx)
	defer c.cancel()

	defer c.server.remove(c)
	defer func() { _ = c.net.Close() }()

	for c.readRequest() {
	}

	c.mutex.Lock()
	unanswered := c.open > 0 && !c.closing
	c.mutex.Unlock()

	if unanswered {
		// The peer has closed the connection; its requests are cancelled.
		c.cancel()
	}

	c.awaitExchanges()
	c.linger()
}

// awaitExchanges waits until all exchanges have ended, with or without a response.
func (c *conn) awaitExchanges() {
	for range cap(c.inProgress) {
		c.inProgress <- struct{}{}
	}
}

// linger closes the connection in such a way that the peer can read the last response.
func (c *conn) linger() {
	c.mutex.Lock()
	closing := c.closing
	c.mutex.Unlock()

	tcp, ok := c.net.(*net.TCPConn)
	if !closing || !ok || tcp.CloseWrite() != nil {
		return
	}

	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.input.clearLimit()
	_, _ = io.CopyN(io.Discard, c.reader, lingerBytes)
}

// readRequest reads one request and starts its exchange. It returns false if no further request can be read.
func (c *conn) readRequest() bool {
	limits := c.server.limits().withDefaults()

	if !c.awaitRequest(limits) {
		return false
	}

	c.input.setLimit(limits.Header)
	c.setReadTimeout(limits.HeaderTimeout)

	r, err := http.ReadRequest(c.reader)
	if err == nil {
		err = checkHead(r, limits.Fields)
	}

	if err != nil {
		c.refuseHead(err)

		return false
	}

	c.input.clearLimit()

	x, ok := c.beginExchange(r)
	if !ok {
		return false
	}

	if !c.server.tasks.Go("exchange", func(context.Context) { c.handle(x) }) {
		x.finish()
		x.releaseHolding()

		return false
	}

	if !c.readBody(x, r, limits) {
		return false
	}

	if r.Close {
		c.awaitPeerClose()

		return false
	}

	return true
}

// beginExchange adds an exchange for a request once the connection may have one more in progress. It returns false if no
// further request can be handled.
func (c *conn) beginExchange(r *http.Request) (*Exchange, bool) {
	x := newExchange(c, r)
	if err := x.holdHead(); err != nil {
		c.refuseHead(err)

		return nil, false
	}

	select {
	case c.inProgress <- struct{}{}:
	case <-c.ctx.Done():
		x.holding.Close()

		return nil, false
	}

	if !c.addExchange(x) {
		<-c.inProgress
		x.holding.Close()

		return nil, false
	}

	return x, true
}

// awaitPeerClose waits until the last request of the connection is answered or the peer closes the connection.
func (c *conn) awaitPeerClose() {
	c.setReadTimeout(0)

	_, err := c.reader.Peek(1)

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if err == nil || isTimeout(err) {
		// Bytes that the peer sends after its last request are not read.
		c.closing = true
	}
}

func isTimeout(err error) bool {
	var timeout net.Error

	return errors.As(err, &timeout) && timeout.Timeout()
}

func (c *conn) setReadTimeout(timeout time.Duration) {
	var deadline time.Time
	if timeout > 0 {
		deadline = time.Now().Add(timeout)
	}

	_ = c.net.SetReadDeadline(deadline)
}

// awaitRequest waits for the first byte of a request, and reports whether it arrived. While a response is due, there is
// no idle timeout: the read then only serves to notice that the peer closes the connection.
func (c *conn) awaitRequest(limits Limits) bool {
	c.mutex.Lock()
	idle := c.open == 0

	switch {
	case c.closing || idle && c.server.draining.Load() && c.last != nil:
		c.closing = true
		c.mutex.Unlock()

		return false
	case idle:
		c.setReadTimeout(limits.IdleTimeout)
	default:
		c.setReadTimeout(0)
	}

	c.mutex.Unlock()

	_, err := c.reader.Peek(1)

	if isTimeout(err) {
		c.mutex.Lock()
		defer c.mutex.Unlock()

		if c.open == 0 {
			c.closing = true
		}

		return false
	}

	return err == nil
}

// newConnDrainTimeout is the time that a new connection has to send its first request after the server starts to drain.
const newConnDrainTimeout = 500 * time.Millisecond

// closeIfIdle makes an idle connection end gracefully, by a read deadline. A connection without a request so far may
// still send one.
func (c *conn) closeIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	switch {
	case c.open > 0:
	case c.last == nil:
		_ = c.net.SetReadDeadline(time.Now().Add(newConnDrainTimeout))
	default:
		_ = c.net.SetReadDeadline(time.Now())
	}
}

// addExchange makes x the newest exchange of the connection. It returns false if the connection is closing.
func (c *conn) addExchange(x *Exchange) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closing {
		return false
	}

	if c.last != nil {
		x.previous = c.last.done
	}

	c.last = x
	c.open++
	c.active, c.expired = time.Now(), false
	c.server.open.Add(1)
	// The idle timeout of the connection no longer applies.
	_ = c.net.SetReadDeadline(time.Time{})

	return true
}

func (c *conn) handle(x *Exchange) {
	ctx, cancel := context.WithCancel(c.ctx)
	defer cancel()

	x.ctx = ctx
	served := false

	defer func() {
		if !served {
			// The handler has panicked; its response is incomplete or missing.
			x.Abort()
		}
	}()

	c.server.handler.Serve(ctx, x)

	served = true

	x.finish()
}

// setClosing makes the response of the newest exchange the last one of the connection.
func (c *conn) setClosing() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.closing = true
}
