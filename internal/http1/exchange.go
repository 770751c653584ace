package http1

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/memory"
)

// writeTimeout is the longest time that a peer may take to accept the bytes of one response.
const writeTimeout = 20 * time.Second

// ErrClosed is returned by the methods of Exchange if the connection has ended.
var ErrClosed = errors.New("connection has ended")

// Response is a response to send.
type Response struct {
	Status int
	Header http.Header
	Body   Body
	// Close closes the connection after the response.
	Close bool
}

func noBody() Body { return Body{Reader: http.NoBody} }

// Exchange is a request on a connection and its response.
type Exchange struct {
	// Request is the request. Its Body must not be used; Exchange.Body returns the body.
	Request *http.Request

	conn *conn
	ctx  context.Context
	// previous is closed when the previous response was written; nil for the first request of the connection.
	previous <-chan struct{}
	// done is closed when the response was written or the exchange was aborted.
	done     chan struct{}
	finished sync.Once

	body         []byte
	bodyErr      error
	bodyRead     chan struct{}
	continueSent atomic.Bool

	// holding is the memory of the head and the body. users counts those that still use it: the handler and the reader of
	// the body.
	holding *memory.Holding
	users   atomic.Int32
	// needless is set if the body needs no acceptance: there is none, it has arrived with the head, or the peer sends it
	// only after 100 Continue.
	needless bool
	// accepting guards the decision whether the body is read: accepted is closed, or unread is set. accepted is nil
	// if the body needs no acceptance.
	accepting   sync.Once
	accepted    chan struct{}
	unread      bool
	bodyLimit   int64
	bodyTimeout time.Duration
	// aborted is set if the body was aborted to make room for others.
	aborted atomic.Bool
}

func newExchange(c *conn, r *http.Request) *Exchange {
	x := &Exchange{
		Request: r, conn: c, done: make(chan struct{}), bodyRead: make(chan struct{}), bodyLimit: -1,
	}
	x.needless = !hasBody(r) || r.ContentLength > 0 && r.ContentLength <= int64(c.reader.Buffered()) ||
		c.server.skipsBody && expectsContinue(r)
	if !x.needless {
		x.accepted = make(chan struct{})
	}

	x.holding = c.server.memory.Open(x.abortBody)
	x.users.Store(2)

	return x
}

// RemoteAddr returns the address of the peer.
func (x *Exchange) RemoteAddr() string { return x.conn.net.RemoteAddr().String() }

func (x *Exchange) deliverBody(body []byte, err error) {
	x.body, x.bodyErr = body, err
	close(x.bodyRead)
	x.releaseHolding()
}

// Body waits for the complete body of the request. It first sends 100 Continue to a peer that expects it. Errors are
// ErrBodyTooLarge, ErrBodySlow, ErrBodyAborted, memory.ErrFull, ErrClosed, and errors of reading the connection.
func (x *Exchange) Body() ([]byte, error) {
	x.AcceptBody(-1, 0)

	if err := x.SendContinueIfExpected(); err != nil {
		return nil, err
	}

	select {
	case <-x.bodyRead:
		return x.body, x.bodyErr
	case <-x.ctx.Done():
		return nil, errors.Wrap(ErrClosed, "read body")
	}
}

// SendContinueIfExpected sends 100 Continue if the peer expects it, at most once.
func (x *Exchange) SendContinueIfExpected() error {
	if !expectsContinue(x.Request) {
		return nil
	}

	return x.SendContinue()
}

// SendContinue sends 100 Continue whether the peer expects it or not, at most once.
func (x *Exchange) SendContinue() error {
	if x.continueSent.Swap(true) {
		return nil
	}

	return x.sendInterim(http.StatusContinue)
}

func (x *Exchange) sentContinue() bool { return x.continueSent.Load() }

// SendProcessing sends 102 Processing, which states that the final response is still to come.
func (x *Exchange) SendProcessing() error { return x.sendInterim(http.StatusProcessing) }

func (x *Exchange) sendInterim(status int) error {
	if err := x.awaitTurn(); err != nil {
		return err
	}

	c := x.conn
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	writeStatus(c, status)
	_, _ = c.writer.WriteString("\r\n")

	return errors.Wrap(c.writer.Flush(), "write interim response")
}

// awaitTurn waits until the responses to earlier requests of the connection were written.
func (x *Exchange) awaitTurn() error {
	if x.previous == nil {
		return nil
	}

	select {
	case <-x.previous:
		return nil
	case <-x.ctx.Done():
		return errors.Wrap(ErrClosed, "await turn")
	}
}

// Respond writes the final response. After an error, the connection is closed; this shows the peer that the response is
// incomplete.
func (x *Exchange) Respond(response Response) error {
	response, release, err := x.holdResponse(response)
	defer release()

	if err == nil {
		err = x.awaitTurn()
	}

	if err != nil {
		x.finish()

		return err
	}

	// A body that was not read hides the start of the next request, so the connection cannot be used further.
	unread := x.isUnread() || expectsContinue(x.Request) && !x.sentContinue() && !x.conn.server.skipsBody
	last := response.Close || x.Request.Close || unread || x.conn.server.draining.Load()

	if last {
		last = x.closeAfter(response.Close || x.Request.Close || unread)
	}

	last = last || x.isLast()

	err = x.conn.writeResponse(x.Request.Method, response, last)
	if err != nil || last {
		x.conn.stopReading(err != nil)
	}

	x.finish()

	return err
}

// closeAfter makes the connection close after this response, and reports whether it does so. Unless required is set, it
// does nothing if a later request was already read, which then is answered as well.
func (x *Exchange) closeAfter(required bool) bool {
	c := x.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.last != x && !required {
		return false
	}

	c.closing = true

	return true
}

// isLast reports whether this response is the last one because no further request can be read.
func (x *Exchange) isLast() bool {
	c := x.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.closing && c.last == x
}

// Abort closes the connection without a response, or after a part of it.
func (x *Exchange) Abort() {
	x.conn.stopReading(true)
	x.finish()
}

// finish ends the exchange, so that the next response of the connection can be written.
func (x *Exchange) finish() {
	x.finished.Do(func() {
		c := x.conn

		c.mutex.Lock()
		c.open--
		c.active = time.Now()
		c.server.open.Add(-1)

		if c.open == 0 && !c.closing {
			c.setReadTimeout(c.server.limits().IdleTimeout)
		}

		if c.open == 0 && c.server.draining.Load() {
			_ = c.net.SetReadDeadline(time.Now())
		}

		c.mutex.Unlock()
		close(x.done)
		<-c.inProgress
		x.releaseHolding()
	})
}

// stopReading makes the read loop of the connection end. If the connection is broken, it is also closed and its
// requests are cancelled.
func (c *conn) stopReading(broken bool) {
	if broken {
		c.cancel()
		_ = c.net.Close()

		return
	}

	_ = c.net.SetReadDeadline(time.Now())
}

// writeResponse writes a response. Only the exchange whose turn it is may call it.
func (c *conn) writeResponse(method string, response Response, last bool) error {
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	writeStatus(c, response.Status)

	if last {
		_, _ = c.writer.WriteString("Connection: close\r\n")
	}

	bodiless := Bodiless(method, response.Status)
	length := response.Body.Length

	if bodiless && method == http.MethodHead && length != UnknownLength {
		_, _ = c.writer.WriteString("Content-Length: " + strconv.FormatInt(length, 10) + "\r\n")
	}

	if err := writeHeader(c.writer, response.Header, length, bodiless); err != nil {
		return err
	}

	if !bodiless {
		if err := writeBody(c.writer, response.Body); err != nil {
			return err
		}
	}

	return errors.Wrap(c.writer.Flush(), "write response")
}

func writeStatus(c *conn, status int) {
	text := http.StatusText(status)
	if text == "" {
		text = "Status"
	}

	_, _ = c.writer.WriteString("HTTP/1.1 ")
	_, _ = c.writer.Write(strconv.AppendInt(c.writer.AvailableBuffer(), int64(status), 10))
	_, _ = c.writer.WriteString(" " + text + "\r\n")
}
