package http1

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// writeTimeout is the longest time that a peer may take to accept the bytes of one response.
const writeTimeout = 20 * time.Second

// ErrClosed is returned by Respond if the connection has ended.
var ErrClosed = errors.New("connection has ended")

// Response is what is sent to a peer.
type Response struct {
	Status int
	Header http.Header
	Body   Body
	// Close ends the connection after the response.
	Close bool
}

func noBody() Body { return Body{Reader: http.NoBody} }

// Exchange is one request of a connection and its answer.
type Exchange struct {
	// Request has no usable Body; see Body of Exchange.
	Request *http.Request

	conn *conn
	ctx  context.Context
	// previous is closed when the answer before this one was written; nil for the first request.
	previous <-chan struct{}
	done     chan struct{}
	finished sync.Once

	body     []byte
	bodyErr  error
	bodyRead chan struct{}
	accepted atomic.Bool
}

func newExchange(c *conn, r *http.Request) *Exchange {
	return &Exchange{Request: r, conn: c, done: make(chan struct{}), bodyRead: make(chan struct{})}
}

// Remote is the address of the peer.
func (x *Exchange) RemoteAddr() string { return x.conn.net.RemoteAddr().String() }

func (x *Exchange) deliverBody(body []byte, err error) {
	x.body, x.bodyErr = body, err
	close(x.bodyRead)
}

// Body waits for the whole body of the request. A peer that expects 100 Continue gets it first.
func (x *Exchange) Body() ([]byte, error) {
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

// Continue tells a peer that expects it to send the body.
func (x *Exchange) SendContinueIfExpected() error {
	if !expectsContinue(x.Request) {
		return nil
	}

	return x.SendContinue()
}

// Accept sends 100 Continue whether the peer expects it or not, at most once.
func (x *Exchange) SendContinue() error {
	if x.accepted.Swap(true) {
		return nil
	}

	return x.interim(http.StatusContinue)
}

func (x *Exchange) continued() bool { return x.accepted.Load() }

// Processing tells the peer that the request was read and has not been answered yet.
func (x *Exchange) SendProcessing() error { return x.interim(http.StatusProcessing) }

func (x *Exchange) interim(status int) error {
	if err := x.awaitTurn(); err != nil {
		return err
	}

	c := x.conn
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	writeStatus(c, status)
	_, _ = c.writer.WriteString("\r\n")

	return errors.Wrap(c.writer.Flush(), "write interim response")
}

// awaitTurn waits until the answers to earlier requests of the connection were written.
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

// Respond writes the final response. After an error, the connection ends and the peer sees that the
// response is not whole.
func (x *Exchange) Respond(response Response) error {
	if err := x.awaitTurn(); err != nil {
		x.finish()

		return err
	}

	// Without its body, the next request of the connection cannot be found.
	unread := expectsContinue(x.Request) && !x.continued() && !x.conn.server.skipsBody
	ends := response.Close || x.Request.Close || unread || x.conn.server.draining.Load()

	if ends {
		ends = x.endAfter(response.Close || x.Request.Close || unread)
	}

	ends = ends || x.ending()

	err := x.conn.write(x.Request.Method, response, ends)
	if err != nil || ends {
		x.conn.end(err != nil)
	}

	x.finish()

	return err
}

// endAfter makes this answer the last one of the connection. If it does not have to be the last, a later
// request that was read already is answered first.
func (x *Exchange) endAfter(must bool) bool {
	c := x.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.last != x && !must {
		return false
	}

	c.closing = true

	return true
}

// ending reports whether this is the last answer because nothing after it can be read.
func (x *Exchange) ending() bool {
	c := x.conn
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.closing && c.last == x
}

// Abort ends the connection without an answer, or with a part of one.
func (x *Exchange) Abort() {
	x.conn.end(true)
	x.finish()
}

// finish lets the next answer of the connection go out.
func (x *Exchange) finish() {
	x.finished.Do(func() {
		c := x.conn

		c.mutex.Lock()
		c.open--
		c.server.open.Add(-1)

		if c.open == 0 && !c.closing {
			c.setReadTimeout(c.server.limits().IdleTimeout)
		}

		if c.open == 0 && c.server.draining.Load() {
			_ = c.net.SetReadDeadline(time.Now())
		}

		c.mutex.Unlock()
		close(x.done)
		<-c.slots
	})
}

// end stops reading from a connection: at once if it is broken, else after the last answer.
func (c *conn) end(broken bool) {
	if broken {
		c.cancel()
		_ = c.net.Close()

		return
	}

	_ = c.net.SetReadDeadline(time.Now())
}

// write sends a response. Only the exchange whose turn it is calls it.
func (c *conn) write(method string, response Response, ends bool) error {
	_ = c.net.SetWriteDeadline(time.Now().Add(writeTimeout))
	writeStatus(c, response.Status)

	if ends {
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
