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
	// lingerTimeout is how long a closed connection is read further, so that the peer gets the last response
	// before a reset caused by bytes it still sends.
	lingerTimeout = 500 * time.Millisecond
	// drainBytes is how much of a body nobody wants is read to keep the connection.
	lingerBytes = 256 << 10
)

// ErrBodyTooLarge is returned by Exchange.Body for a body beyond the limit.
var ErrBodyTooLarge = errors.New("body of the request is too large")

// conn is one accepted connection. One goroutine reads it; each request has a goroutine of its own.
type conn struct {
	server *Server
	net    net.Conn
	source *budgetReader
	reader *bufio.Reader
	writer *bufio.Writer
	ctx    context.Context
	cancel context.CancelFunc
	// slots bounds the requests in progress.
	slots chan struct{}

	mutex sync.Mutex
	// last is the newest exchange, whose answer is the last one if the connection is closing.
	last *Exchange
	// open counts the exchanges without an answer.
	open int
	// closing is set once no further request is passed on.
	closing bool
}

func newConn(s *Server, accepted net.Conn) *conn {
	source := &budgetReader{reader: accepted}

	return &conn{
		server: s, net: accepted, source: source,
		reader: bufio.NewReaderSize(source, bufferSize),
		writer: bufio.NewWriterSize(accepted, bufferSize),
		slots:  make(chan struct{}, max(1, s.limits().Pipeline)),
	}
}

// run reads requests until the connection ends.
func (c *conn) run(ctx context.Context) {
	c.ctx, c.cancel = context.WithCancel(ctx)
	defer c.cancel()

	defer c.server.remove(c)
	defer func() { _ = c.net.Close() }()

	for c.readOne() {
	}

	c.mutex.Lock()
	unanswered := c.open > 0 && !c.closing
	c.mutex.Unlock()

	if unanswered {
		// The peer has left; what is in progress is cancelled.
		c.cancel()
	}

	c.wait()
	c.linger()
}

// wait returns when every exchange has been answered or given up.
func (c *conn) wait() {
	for range cap(c.slots) {
		c.slots <- struct{}{}
	}
}

// linger ends a connection so that the peer can read the last response.
func (c *conn) linger() {
	c.mutex.Lock()
	closing := c.closing
	c.mutex.Unlock()

	tcp, ok := c.net.(*net.TCPConn)
	if !closing || !ok || tcp.CloseWrite() != nil {
		return
	}

	_ = c.net.SetReadDeadline(time.Now().Add(lingerTimeout))
	c.source.unlimited()
	_, _ = io.CopyN(io.Discard, c.reader, lingerBytes)
}

// readOne reads one request and starts its exchange. It returns false when the connection has ended.
func (c *conn) readOne() bool {
	limits := c.server.limits().withDefaults()

	if !c.awaitRequest(limits) {
		return false
	}

	c.source.limit(limits.Header)
	c.setReadTimeout(limits.HeaderTimeout)

	r, err := http.ReadRequest(c.reader)
	if err == nil {
		err = checkHead(r)
	}

	if err != nil {
		c.refuseHead(err)

		return false
	}

	c.source.unlimited()

	select {
	case c.slots <- struct{}{}:
	case <-c.ctx.Done():
		return false
	}

	x := newExchange(c, r)
	if !c.begin(x) {
		<-c.slots

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
		c.awaitEnd()

		return false
	}

	return true
}

// awaitEnd waits until the last request of the connection is answered, or its peer has left.
func (c *conn) awaitEnd() {
	c.setReadTimeout(0)

	_, err := c.reader.Peek(1)

	c.mutex.Lock()
	defer c.mutex.Unlock()

	if err == nil || isTimeout(err) {
		// What the peer sends after its last request is not read.
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

// awaitRequest waits for the first byte of a request. While an answer is due, there is no idle timeout:
// the read only notices that the peer has left.
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

// firstTimeout is how long a new connection may take to send its request when the server drains.
const firstTimeout = 500 * time.Millisecond

// endIfIdle closes an idle connection in order. A new one may still send its request.
func (c *conn) endIfIdle() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	switch {
	case c.open > 0:
	case c.last == nil:
		_ = c.net.SetReadDeadline(time.Now().Add(firstTimeout))
	default:
		_ = c.net.SetReadDeadline(time.Now())
	}
}

// begin makes an exchange the newest of the connection, unless the connection takes no further request.
func (c *conn) begin(x *Exchange) bool {
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
			// The handler has panicked; whatever it has written is not a whole answer.
			x.Abort()
		}
	}()

	c.server.handler.Serve(ctx, x)

	served = true

	x.finish()
}

// readBody reads the body for the exchange. It returns false if no further request can follow.
func (c *conn) readBody(x *Exchange, r *http.Request, limits Limits) bool {
	if expectsContinue(r) && c.server.skipsBody {
		// The peer sends nothing before it has an answer; what arrives then shows which.
		if _, err := c.reader.Peek(1); err != nil {
			x.deliverBody(nil, errors.Wrap(err, "read body"))

			return false
		}

		if !x.continued() {
			x.deliverBody(nil, errNotContinued)

			return true
		}
	}

	if limits.BodyTimeout > 0 && r.ContentLength != 0 {
		c.setReadTimeout(limits.BodyTimeout)
	}

	body, err := readAll(r, limits.Body)
	if err != nil && (c.source.err == nil || isTimeout(c.source.err)) {
		// The peer is still there and gets an answer, after which its bytes cannot be told apart.
		c.takeNoMore()
	}

	x.deliverBody(body, err)

	return err == nil
}

// takeNoMore makes the next answer the last one.
func (c *conn) takeNoMore() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.closing = true
}

var errNotContinued = errors.New("request was answered before its body")

// firstRead is the largest part of a stated length for which memory is taken before the bytes have arrived.
const firstRead = 64 << 10

// readAll reads a body of at most limit bytes. The length that its peer states is not relied on.
func readAll(r *http.Request, limit int64) ([]byte, error) {
	if r.ContentLength == 0 {
		return nil, nil
	}

	if r.ContentLength > limit {
		return nil, ErrBodyTooLarge
	}

	body := bytes.NewBuffer(make([]byte, 0, bytes.MinRead+max(0, min(r.ContentLength, firstRead))))

	_, err := body.ReadFrom(io.LimitReader(r.Body, limit+1))
	if err == nil && int64(body.Len()) > limit {
		err = ErrBodyTooLarge
	}

	return body.Bytes(), errors.Wrap(err, "read body")
}

// errBadField is returned for a header field that another parser may read in another way.
var errBadField = errors.New("invalid header field")

// checkHead refuses what net/http's server refuses, too, but its parser does not.
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

// refuseHead answers a head that cannot be parsed. Nothing was passed on.
func (c *conn) refuseHead(err error) {
	status := http.StatusBadRequest

	// The parser may report an incomplete head as a malformed one.
	if c.source.err != nil {
		err = c.source.err
	}

	var broken net.Error

	switch {
	case errors.Is(err, ErrHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case isTimeout(err):
		status = http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.As(err, &broken):
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

	_ = c.write(http.MethodGet, Response{Status: status, Header: http.Header{}, Body: noBody()}, true)
}
