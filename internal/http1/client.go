package http1

import (
	"bufio"
	"context"
	"net"
	"net/http"
	"net/netip"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/tcp"
)

// Request is a request to send. The method, target and header are sent unchanged.
type Request struct {
	Method string
	// Target is the request target: path and query.
	Target string
	Host   string
	Header http.Header
	Body   []byte
	// OmitZeroLength omits Content-Length if the body is empty.
	OmitZeroLength bool
}

// Pool keeps connections to one address for reuse.
type Pool struct {
	address netip.AddrPort
	dialer  net.Dialer
	maxIdle int
	// idleTimeout is the time for which an unused connection is kept.
	idleTimeout time.Duration
	// maxHead is the largest size of the head of a response and the interim responses before it, in bytes.
	maxHead int
	dials   atomic.Int64

	mutex  sync.Mutex
	idle   []*ClientConn
	closed bool
}

// PoolOption configures a Pool.
type PoolOption func(*Pool)

// WithDialTimeout bounds the time to open a connection.
func WithDialTimeout(timeout time.Duration) PoolOption {
	return func(p *Pool) { p.dialer.Timeout = timeout }
}

// WithIdle sets the largest number of unused connections, and the time for which they are kept.
func WithIdle(count int, timeout time.Duration) PoolOption {
	return func(p *Pool) { p.maxIdle, p.idleTimeout = count, timeout }
}

// WithMaxHead sets the largest head of a response, in bytes. The interim responses before it are counted as well.
func WithMaxHead(bytes int) PoolOption {
	return func(p *Pool) { p.maxHead = bytes }
}

const (
	defaultDialTimeout = time.Second
	defaultMaxIdle     = 64 // connections
	defaultIdleTimeout = time.Minute
	// DefaultMaxHead is the default limit on the head of a message, in bytes.
	DefaultMaxHead = 64 << 10
)

// NewPool returns a pool without connections.
func NewPool(address netip.AddrPort, options ...PoolOption) *Pool {
	p := &Pool{
		address: address, maxIdle: defaultMaxIdle, idleTimeout: defaultIdleTimeout, maxHead: DefaultMaxHead,
		dialer: net.Dialer{Timeout: defaultDialTimeout, KeepAliveConfig: KeepAliveConfig()},
	}
	for _, option := range options {
		option(p)
	}

	return p
}

// Address returns the address to which the pool connects.
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
	p.closeOldest(len(p.idle))
}

// CloseIdle closes the unused connections, for example because the peer seems to have restarted.
func (p *Pool) CloseIdle() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.closeOldest(len(p.idle))
}

// closeOldest closes the count connections that have been unused longest. The caller holds the mutex.
func (p *Pool) closeOldest(count int) {
	for _, c := range p.idle[:count] {
		_ = c.net.Close()
	}

	p.idle = append(p.idle[:0], p.idle[count:]...)
}

// Filter reports whether an unused connection may carry a request.
type Filter func(c *ClientConn) bool

// Get returns the most recently used connection, if the peer has not closed it and it has been unused for at most
// maxAge; otherwise it opens a connection. With a maxAge of zero, Get always opens a connection.
func (p *Pool) Get(ctx context.Context, maxAge time.Duration) (*ClientConn, error) {
	return p.GetFiltered(ctx, maxAge, func(*ClientConn) bool { return true })
}

// GetFiltered is like Get, but takes only unused connections that the filter accepts.
func (p *Pool) GetFiltered(ctx context.Context, maxAge time.Duration, accept Filter) (*ClientConn, error) {
	for {
		c := p.takeIdle(min(maxAge, p.idleTimeout), accept)
		if c == nil {
			return p.dial(ctx)
		}

		if hasNoInput(c.net.NetConn()) {
			c.reused, c.received, c.interim = true, false, 0

			return c, nil
		}

		_ = c.net.Close()
	}
}

func (p *Pool) takeIdle(maxAge time.Duration, accept Filter) *ClientConn {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	expired := 0
	for expired < len(p.idle) && time.Since(p.idle[expired].released) > p.idleTimeout {
		expired++
	}

	p.closeOldest(expired)

	for n := len(p.idle) - 1; n >= 0 && time.Since(p.idle[n].released) <= maxAge; n-- {
		c := p.idle[n]
		if accept(c) {
			p.idle = slices.Delete(p.idle, n, n+1)

			return c
		}
	}

	return nil
}

func (p *Pool) dial(ctx context.Context) (*ClientConn, error) {
	opened, err := p.dialer.DialContext(ctx, "tcp", p.address.String())
	if err != nil {
		return nil, errors.Wrap(err, "connect")
	}

	p.dials.Add(1)
	limitUnacked(opened)

	connection := tcp.NewConn(opened)
	c := &ClientConn{pool: p, net: connection, writer: bufio.NewWriterSize(connection, bufferSize)}
	c.input = &limitedReader{reader: receiveTracker{c}}
	c.reader = bufio.NewReaderSize(c.input, bufferSize)

	return c, nil
}

// receiveTracker reads from a connection and records that bytes have arrived.
type receiveTracker struct{ conn *ClientConn }

// Read implements io.Reader.
func (r receiveTracker) Read(data []byte) (int, error) {
	n, err := r.conn.net.Read(data)
	r.conn.received = r.conn.received || n > 0

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
	net    *tcp.Conn
	input  *limitedReader
	reader *bufio.Reader
	writer *bufio.Writer
	reused bool
	// received is set once a byte has arrived since the connection was taken from the pool.
	received bool
	// interim is the number of interim responses since the last final one.
	interim int
	// carried is the history of the requests that have an identifier.
	carried history
	// released is the time at which the connection was last returned to the pool.
	released time.Time
}

// Reused reports whether the connection has served a request before.
func (c *ClientConn) Reused() bool { return c.reused }

// Release returns the connection to the pool, or closes it if its history is full. The last response must have been read
// to its end.
func (c *ClientConn) Release() {
	// Buffered bytes are some that no request asked for.
	if c.reader.Buffered() > 0 || c.carried.isFull() {
		_ = c.net.Close()

		return
	}

	c.pool.put(c)
}

// Close closes the connection, which cancels a request in progress.
func (c *ClientConn) Close() { _ = c.net.Close() }

// CloseOn arranges that the connection is closed when ctx ends. The returned function cancels this and reports whether
// the connection is still open.
func (c *ClientConn) CloseOn(ctx context.Context) func() bool {
	return context.AfterFunc(ctx, c.Close)
}

// WriteHead sends the head of a request. A body of the given length in bytes must follow by WriteBody.
func (c *ClientConn) WriteHead(r Request, length int64) error {
	if err := c.bufferHead(r, length); err != nil {
		return err
	}

	return errors.Wrap(c.writer.Flush(), "write request")
}

// Write sends a request with its body. After an error, part of the request may have been sent.
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

// WriteParts sends a request whose body is the given parts, one after the other; Request.Body is not sent.
func (c *ClientConn) WriteParts(r Request, parts ...[]byte) error {
	length := int64(0)
	for _, part := range parts {
		length += int64(len(part))
	}

	if err := c.bufferHead(r, length); err != nil {
		return err
	}

	return c.WriteBody(parts...)
}

// WriteBody sends the body of a request whose head WriteHead has sent, in parts.
func (c *ClientConn) WriteBody(parts ...[]byte) error {
	for _, part := range parts {
		_, _ = c.writer.Write(part)
	}

	return errors.Wrap(c.writer.Flush(), "write request")
}

// Received reports whether a byte of a response has arrived since the connection was taken from the pool.
func (c *ClientConn) Received() bool { return c.received }
