package http1

import (
	"cmp"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

var (
	// ErrBodyTooLarge is returned by Exchange.Body for a body beyond the limit.
	ErrBodyTooLarge = errors.New("body of the request is too large")
	// ErrBodySlow is returned by Exchange.Body for a body that arrives below the minimum rate, or not in time.
	ErrBodySlow = errors.New("body of the request arrives too slowly")
	// ErrBodyAborted is returned by Exchange.Body for a body that was aborted to make room for others.
	ErrBodyAborted = errors.New("body of the request was aborted")

	errNotContinued = errors.New("request was answered before its body")
	errNotAccepted  = errors.New("body of the request is not read")
)

// rateGrace is the time from the end of the head from which a body has to arrive at the minimum rate. It leaves time for
// pauses of mobile connections.
const rateGrace = 10 * time.Second

// hasBody reports whether a request has a body.
func hasBody(r *http.Request) bool { return r.ContentLength != 0 }

// readBody reads the body of an exchange if its handler accepts it. It returns false if no further request can be read.
func (c *conn) readBody(x *Exchange, r *http.Request, limits Limits) bool {
	if !x.awaitAcceptance() {
		x.deliverBody(nil, errNotAccepted)

		return false
	}

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

	if !hasBody(r) {
		x.holding.Settle()
		x.deliverBody(nil, nil)

		return true
	}

	c.setReceiving(!x.needless)
	body, err := newBodyReader(x, r, limits).read()
	c.setReceiving(false)

	if err != nil && (c.input.err == nil || isTimeout(c.input.err)) {
		// The peer is still connected and gets a response. It must be the last one, because the rest of the body cannot
		// be distinguished from the next request.
		c.setClosing()
	}

	x.deliverBody(body, err)

	return err == nil
}

// setReceiving records whether a body is being read.
func (c *conn) setReceiving(receiving bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.receiving = receiving
}

// firstAllocation is the largest buffer in bytes that is allocated for a body before its bytes have arrived.
const firstAllocation = 8 << 10

// bodyReader reads the body of a request into memory. Its buffer grows with what has arrived, whatever length the peer
// states.
type bodyReader struct {
	exchange *Exchange
	request  *http.Request
	limit    int64
	// rate is the minimum rate in bytes per second; zero for none.
	rate    float64
	started time.Time
	timeout time.Duration
	// checkAt is the time from which the read deadline is set anew.
	checkAt time.Time
	buffer  []byte
}

func newBodyReader(x *Exchange, r *http.Request, limits Limits) *bodyReader {
	b := &bodyReader{
		exchange: x, request: r, limit: limits.Body, rate: float64(limits.Rate),
		started: time.Now(), timeout: cmp.Or(x.bodyTimeout, limits.BodyTimeout),
	}
	if x.bodyLimit >= 0 {
		b.limit = min(b.limit, x.bodyLimit)
	}

	return b
}

func (b *bodyReader) read() ([]byte, error) {
	if b.request.ContentLength > b.limit {
		return nil, ErrBodyTooLarge
	}

	if err := b.fill(); err != nil {
		b.buffer = nil

		return nil, b.classify(err)
	}

	if !b.exchange.holding.Settle() {
		return nil, ErrBodyAborted
	}

	return b.buffer, nil
}

// fill reads until the end of the body.
func (b *bodyReader) fill() error {
	for {
		if err := b.makeSpace(); err != nil {
			return err
		}

		b.setDeadline()

		n, err := b.request.Body.Read(b.buffer[len(b.buffer):cap(b.buffer)])
		b.buffer = b.buffer[:len(b.buffer)+n]

		if cap(b.buffer) > firstAllocation {
			b.exchange.holding.Progress(n)
		}

		switch {
		case int64(len(b.buffer)) > b.limit:
			return ErrBodyTooLarge
		case errors.Is(err, io.EOF), err == nil && int64(len(b.buffer)) == b.request.ContentLength:
			return nil
		case err != nil:
			return errors.Wrap(err, "read body")
		}
	}
}

// makeSpace grows the buffer if it is full. The holding has room for both buffers while one is copied.
func (b *bodyReader) makeSpace() error {
	size := cap(b.buffer)
	if len(b.buffer) < size {
		return nil
	}

	// One byte beyond the limit shows that a body of unknown length exceeds it.
	largest := b.limit + 1
	if b.request.ContentLength > 0 {
		largest = b.request.ContentLength
	}

	next := min(max(2*int64(size), firstAllocation), largest)
	if err := b.exchange.holding.Grow(next); err != nil {
		return err //nolint:wrapcheck // The error says all.
	}

	grown := make([]byte, len(b.buffer), next)
	copy(grown, b.buffer)
	b.buffer = grown
	b.exchange.holding.Shrink(int64(size))

	return nil
}

// deadlineInterval is the time between two changes of the read deadline of one body.
const deadlineInterval = time.Second

// setDeadline sets the time by which more of the body has to arrive.
func (b *bodyReader) setDeadline() {
	if b.timeout <= 0 && b.rate <= 0 {
		return
	}

	now := time.Now()
	if now.Before(b.checkAt) {
		return
	}

	b.checkAt = now.Add(deadlineInterval)
	b.exchange.conn.setBodyDeadline(b.exchange, b.deadline())
}

func (b *bodyReader) deadline() time.Time {
	var whole, paced time.Time

	if b.timeout > 0 {
		whole = b.started.Add(b.timeout)
	}

	if b.rate > 0 {
		earned := time.Duration(float64(len(b.buffer)) / b.rate * float64(time.Second))
		paced = b.started.Add(rateGrace + earned)
	}

	if whole.IsZero() || !paced.IsZero() && paced.Before(whole) {
		return paced
	}

	return whole
}

// classify returns the cause of an error.
func (b *bodyReader) classify(err error) error {
	switch {
	case b.exchange.aborted.Load():
		return ErrBodyAborted
	case isTimeout(err):
		b.exchange.conn.server.counts.add(ClosedSlow)

		return errors.WithSecondaryError(ErrBodySlow, err)
	default:
		return err
	}
}

// past is a read deadline that ends a read at once.
var past = time.Unix(1, 0)

// setBodyDeadline sets the read deadline, unless the connection is closing or the body is aborted.
func (c *conn) setBodyDeadline(x *Exchange, deadline time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if c.closing {
		return
	}

	_ = c.net.SetReadDeadline(deadline)

	// abortBody may have set its deadline meanwhile.
	if x.aborted.Load() {
		_ = c.net.SetReadDeadline(past)
	}
}
