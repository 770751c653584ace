package http1

import (
	"bufio"
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

const (
	// lingerTimeout is the time for which a connection is read after its last response. If it was closed at once, bytes
	// that the peer still sends would cause a reset, and the peer could lose the response.
	lingerTimeout = 500 * time.Millisecond
	// lingerBytes is the largest number of bytes that are read in that time.
	lingerBytes = 256 << 10
)

// ErrBodyTooLarge is returned by Exchange.Body for a body beyond the limit.
var ErrBodyTooLarge = errors.New("body of the request is too large")

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
}

func newConn(s *Server, accepted net.Conn) *conn {
	input := &limitedReader{reader: accepted}

	return &conn{
		server: s, net: accepted, input: input,
		reader:     bufio.NewReaderSize(input, bufferSize),
		writer:     bufio.NewWriterSize(accepted, bufferSize),
		inProgress: make(chan struct{}, max(1, s.limits().Pipeline)),
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
		err = checkHead(r)
	}

	if err != nil {
		c.refuseHead(err)

		return false
	}

	c.input.clearLimit()

	select {
	case c.inProgress <- struct{}{}:
	case <-c.ctx.Done():
		return false
	}

	x := newExchange(c, r)
	if !c.addExchange(x) {
		<-c.inProgress

		return false
	}

	if !c.server.tasks.Go("exchange", func(context.Context) { c.handle(x) }) {
		x.finish()

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

// readBody reads the body of an exchange. It returns false if no further request can be read.
func (c *conn) readBody(x *Exchange, r *http.Request, limits Limits) bool {
	if expectsContinue(r) && c.server.skipsBody {
		// The peer sends nothing before it has received an interim or final response. What it sends then is the body if
		// the response was 100 Continue, and the next request otherwise.
		if _, err := c.reader.Peek(1); err != nil {
			x.deliverBody(nil, errors.Wrap(err, "read body"))

			return false
		}

		if !x.sentContinue() {
			x.deliverBody(nil, errNotContinued)

			return true
		}
	}

	if limits.BodyTimeout > 0 && r.ContentLength != 0 {
		c.setReadTimeout(limits.BodyTimeout)
	}

	body, err := readAll(r, limits.Body)
	if err != nil && (c.input.err == nil || isTimeout(c.input.err)) {
		// The peer is still connected and gets a response. It must be the last one, because the rest of the body cannot
		// be distinguished from the next request.
		c.setClosing()
	}

	x.deliverBody(body, err)

	return err == nil
}

// setClosing makes the response of the newest exchange the last one of the connection.
func (c *conn) setClosing() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.closing = true
}

var errNotContinued = errors.New("request was answered before its body")

// maxPreallocation is the largest buffer in bytes that is allocated for a body before its bytes have arrived.
const maxPreallocation = 64 << 10

// readAll reads a body of at most limit bytes. It does not rely on the length that the peer states.
func readAll(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}

	if r.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}

	body := bytes.NewBuffer(make([]byte, 0, bytes.MinRead+max(0, min(r.ContentLength, maxPreallocation))))

	_, err := body.ReadFrom(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(body.Len()) > limit {
		err = ErrBodyTooLarge
	}

	return body.Bytes(), errors.Wrap(err, "read body")
}

// errBadField is returned for a header field that other parsers may interpret differently.
var errBadField = errors.New("invalid header field")

// checkHead returns an error for heads that http.ReadRequest accepts but net/http's server refuses.
func checkHead(r *http.Request) error {
	if !httpguts.ValidHostHeader(r.Host) || r.ProtoAtLeast(1, 1) && r.Host == "" {
		return errors.Wrap(errBadField, "Host")
	}

	for name, values := range r.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return errors.Wrapf(errBadField, "name %q", name)
		}

		for _, value := range values {
			if !httpguts.ValidHeaderFieldValue(value) {
				return errors.Wrapf(errBadField, "value of %q", name)
			}
		}
	}

	return nil
}

func expectsContinue(r *http.Request) bool {
	return strings.EqualFold(r.Header.Get("Expect"), "100-continue")
}

// refuseHead sends an error response to a head that cannot be parsed, if the peer is still connected.
func (c *conn) refuseHead(err error) {
	status := http.StatusBadRequest

	// The parser may report an incomplete head as a malformed one.
	if c.input.err != nil {
		err = c.input.err
	}

	var netErr net.Error

	switch {
	case errors.Is(err, ErrHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.As(err, &netErr):
		return
	}

	c.mutex.Lock()
	previous := c.last
	c.closing = true
	c.mutex.Unlock()

	if previous != nil {
		select {
		case <-previous.done:
		case <-c.ctx.Done():
			return
		}
	}

	_ = c.writeResponse(http.MethodGet, Response{Status: status, Header: http.Header{}, Body: noBody()}, true)
}
