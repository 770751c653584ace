package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// Request is what is sent on a connection. The method, target and header are sent as they are.
type Request struct {
	Method string
	// Target is the request target, path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// Bare leaves out the length of an empty body.
	OmitZeroLength bool
}

// Pool keeps connections to one address for reuse.
type Pool struct {
	address netip.AddrPort
	dialer  net.Dialer
	maxIdle int
	// idleTimeout is how long an unused connection is kept.
	idleTimeout time.Duration
	// maxHead is the largest head of a response with the interim responses before it, in bytes.
	maxHead int
	dials   atomic.Int64

	mutex  sync.Mutex
	idle   []*ClientConn
	closed bool
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithDialTimeout bounds the time for a new connection.
func WithDialTimeout(timeout time.Duration) PoolOption {
	return func(p *Pool) { p.dialer.Timeout = timeout }
}

// WithIdle sets how many unused connections are kept, and for how long.
func WithIdle(count int, timeout time.Duration) PoolOption {
	return func(p *Pool) { p.maxIdle, p.idleTimeout = count, timeout }
}

// WithMaxHead sets the largest head of a response, in bytes. The interim responses before it are counted, too.
func WithMaxHead(bytes int) PoolOption {
	return func(p *Pool) { p.maxHead = bytes }
}

const (
	defaultDialTimeout = time.Second
	defaultIdle        = 64
	defaultIdleTimeout = time.Minute
	// DefaultMaxHead is the largest head of a message, in bytes, where nothing else is stated.
	DefaultMaxHead = 64 << 10
)

// NewPool returns a pool without connections.
func NewPool(address netip.AddrPort, options ...PoolOption) *Pool {
	p := &Pool{
		address: address, maxIdle: defaultIdle, idleTimeout: defaultIdleTimeout, maxHead: DefaultMaxHead,
		dialer: net.Dialer{Timeout: defaultDialTimeout, KeepAliveConfig: KeepAliveConfig()},
	}
	for _, option := range options {
		option(p)
	}

	return p
}

// Address is where the connections lead.
func (p *Pool) Address() netip.AddrPort { return p.address }

// Dials returns the number of connections opened.
func (p *Pool) Dials() int64 { return p.dials.Load() }

// Idle returns the number of unused connections.
func (p *Pool) Idle() int {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return len(p.idle)
}

// Close closes the unused connections; those in use are closed when they are released.
func (p *Pool) Close() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.closed = true
	p.drop(len(p.idle))
}

// Forget closes the unused connections, for example after a sign that the peer has restarted.
func (p *Pool) CloseIdle() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.drop(len(p.idle))
}

// drop closes the count longest unused connections. The mutex is held.
func (p *Pool) drop(count int) {
	for _, c := range p.idle[:count] {
		_ = c.net.Close()
	}

	p.idle = append(p.idle[:0], p.idle[count:]...)
}

// Get returns the connection that was used last, if its peer has not ended it and it was unused for at most
// maxAge, or a new one. A maxAge of zero asks for a new connection.
func (p *Pool) Get(ctx context.Context, maxAge time.Duration) (*ClientConn, error) {
	for {
		c := p.take(min(maxAge, p.idleTimeout))
		if c == nil {
			return p.dial(ctx)
		}

		if quiet(c.net) {
			c.reused, c.answered = true, false

			return c, nil
		}

		_ = c.net.Close()
	}
}

func (p *Pool) take(maxAge time.Duration) *ClientConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	expired := 0
	for expired < len(p.idle) && time.Since(p.idle[expired].released) > p.idleTimeout {
		expired++
	}

	p.drop(expired)

	last := len(p.idle) - 1
	if last < 0 || time.Since(p.idle[last].released) > maxAge {
		return nil
	}

	c := p.idle[last]
	p.idle = p.idle[:last]

	return c
}

func (p *Pool) dial(ctx context.Context) (*ClientConn, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}

	p.dials.Add(1)
	limitUnacked(opened)

	c := &ClientConn{pool: p, net: opened, writer: bufio.NewWriterSize(opened, bufferSize)}
	c.source = &budgetReader{reader: countingReader{c}}
	c.reader = bufio.NewReaderSize(c.source, bufferSize)

	return c, nil
}

// countingReader notes that bytes have arrived.
type countingReader struct{ conn *ClientConn }

// Read implements io.Reader.
func (r countingReader) Read(data []byte) (int, error) {
	n, err := r.conn.net.Read(data)
	r.conn.answered = r.conn.answered || n > 0

	return n, err
}

func (p *Pool) put(c *ClientConn) {
	c.released = time.Now()
	_ = c.net.SetDeadline(time.Time{})

	p.mutex.Lock()
	defer p.mutex.Unlock()

	if p.closed || len(p.idle) >= p.maxIdle {
		_ = c.net.Close()

		return
	}

	p.idle = append(p.idle, c)
}

// ClientConn is a connection to a server, used for one request at a time.
type ClientConn struct {
	pool   *Pool
	net    net.Conn
	source *budgetReader
	reader *bufio.Reader
	writer *bufio.Writer
	reused bool
	// answered is set once a byte has arrived since the connection was taken from the pool.
	answered bool
	// released is when the connection was last given back.
	released time.Time
}

// Reused reports whether the connection has served a request before.
func (c *ClientConn) Reused() bool { return c.reused }

// Release gives the connection back for another request. It must have been read to the end of a response.
func (c *ClientConn) Release() {
	if c.reader.Buffered() > 0 {
		// Bytes that no request has asked for.
		_ = c.net.Close()

		return
	}

	c.pool.put(c)
}

// Close ends the connection; a request in progress is cancelled by that.
func (c *ClientConn) Close() { _ = c.net.Close() }

// CloseOn closes the connection when ctx ends, until the returned function is called. That function
// reports whether the connection is still open.
func (c *ClientConn) CloseOn(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, c.Close)
}

// WriteHead sends the head of a request whose body of the stated length follows.
func (c *ClientConn) WriteHead(r Request, length int64) error {
	if err := c.bufferHead(r, length); err != nil {
		return err
	}

	return errors.Wrap(c.writer.Flush(), "write request")
}

// Write sends a request with its body. After an error, a part of it may have been sent.
func (c *ClientConn) Write(r Request) error {
	if err := c.bufferHead(r, int64(len(r.Body))); err != nil {
		return err
	}

	return c.WriteBody(r.Body)
}

func (c *ClientConn) bufferHead(r Request, length int64) error {
	_, _ = c.writer.WriteString(r.Method + " " + r.Target + " HTTP/1.1\r\nHost: " + r.Host + "\r\n")

	return writeHeader(c.writer, r.Header, length, r.OmitZeroLength && length == 0)
}

// WriteBody sends the body after WriteHead.
func (c *ClientConn) WriteBody(body []byte) error {
	_, _ = c.writer.Write(body)

	return errors.Wrap(c.writer.Flush(), "write request")
}

// Read returns the next response of the connection, which may be an interim one. It returns ErrHeadTooLarge once the
// interim responses and the head of the final one exceed the limit of the pool.
func (c *ClientConn) Read(method string) (*http.Response, error) {
	if !c.source.limited {
		c.source.limit(c.pool.maxHead)
	}

	response, err := http.ReadResponse(c.reader, &http.Request{Method: method})

	switch {
	case err == nil && response.StatusCode >= http.StatusOK:
		c.source.unlimited()
	case err != nil && errors.Is(c.source.err, ErrHeadTooLarge):
		// The parser may report an incomplete head as a malformed one.
		err = ErrHeadTooLarge
	}

	return response, errors.Wrap(err, "read response")
}

// ReadFinal skips interim responses.
func (c *ClientConn) ReadFinal(method string) (*http.Response, error) {
	for {
		response, err := c.Read(method)
		if err != nil || response.StatusCode >= http.StatusOK {
			return response, err
		}
	}
}

// Answered reports whether a byte of an answer has arrived.
func (c *ClientConn) Received() bool { return c.answered }
