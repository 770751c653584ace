// Package backend is the HTTP client of a daemon towards the backend server beside it.
package backend

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/httpdial"
	"github.com/tarragonmill/tarragonmill/internal/httpheader"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	dialTimeout = time.Second
	// idleTimeout is short because a server may close a connection that it considers idle, and a
	// request that meets the closing counts as one that may have run.
	idleTimeout = 3 * time.Second
	bufferSize  = 32 << 10
)

// Header fields of the contract with backend servers.
const (
	// CallHeader identifies the request at the backend server. The server sends it with each nested
	// call through its own daemon, which derives deadline and depth from it.
	CallHeader = httpheader.Prefix + "Call"
	// TimeoutHeader is the time left until the deadline, in milliseconds.
	TimeoutHeader = httpheader.Prefix + "Timeout"
	// VerdictHeader with the value "not-run" on a 503 response is the server's refusal: it did not
	// run the request.
	VerdictHeader = httpheader.Prefix + "Verdict"
)

// Exchange is one request for the backend server.
type Exchange struct {
	// Call is the token for nested calls.
	Call   string
	Method string
	Target string
	Host   string
	Header http.Header
	Body   []byte
}

// Client sends requests to one backend server. It is safe for concurrent use.
type Client struct {
	address   netip.AddrPort
	transport *httpdial.Transport
}

// New returns a client that opens up to connections connections.
func New(address netip.AddrPort, connections int) *Client {
	return &Client{address: address, transport: httpdial.New(connections, idleTimeout)}
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Dials returns the number of connections opened.
func (c *Client) Dials() int64 { return c.transport.Dials() }

// Do sends a request. The error carries a verdict: NotRun if no connection was made. The body of the
// response returns io.ErrUnexpectedEOF if the server closes it early.
func (c *Client) Do(ctx context.Context, exchange Exchange) (*http.Response, error) {
	var connected atomic.Bool

	ctx = httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})

	outgoing, err := c.newRequest(ctx, exchange)
	if err != nil {
		return nil, verdict.WithError(verdict.NotRun, err)
	}

	response, err := c.transport.RoundTrip(outgoing)
	if err != nil {
		judged := verdict.NotRun
		if connected.Load() {
			judged = verdict.MayHaveRun
		}

		return nil, verdict.WithError(judged, errors.Wrap(err, "call backend server"))
	}

	return response, nil
}

func (c *Client) newRequest(ctx context.Context, exchange Exchange) (*http.Request, error) {
	outgoing, err := http.NewRequestWithContext(ctx, exchange.Method, "http://"+c.address.String()+exchange.Target,
		onceReader{bytes.NewReader(exchange.Body)})
	if err != nil {
		return nil, errors.Wrap(err, "build backend request")
	}

	outgoing.ContentLength = int64(len(exchange.Body))
	outgoing.Host = exchange.Host
	httpheader.Copy(outgoing.Header, httpheader.Forwardable(exchange.Header))
	outgoing.Header.Set(CallHeader, exchange.Call)

	if deadline, ok := ctx.Deadline(); ok {
		outgoing.Header.Set(TimeoutHeader, strconv.FormatInt(time.Until(deadline).Milliseconds(), 10))
	}

	return outgoing, nil
}

// Refused reports whether a response is the server's documented refusal.
func Refused(response *http.Response) bool {
	return response.StatusCode == http.StatusServiceUnavailable &&
		response.Header.Get(VerdictHeader) == verdict.NotRun.String()
}

// Reachable reports whether the server accepts a new connection.
func (c *Client) Reachable(ctx context.Context) bool {
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()

	connection, err := (&net.Dialer{}).DialContext(ctx, "tcp", c.address.String())
	if err != nil {
		return false
	}

	_ = connection.Close()

	return true
}

// Health asks the server's health endpoint. Draining is what the server states; it is trusted only
// to stop new work, never to prefer the server.
func (c *Client) Health(ctx context.Context, path string) (up, draining bool) {
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+c.address.String()+path, nil)
	if err != nil {
		return false, false
	}

	response, err := c.transport.RoundTrip(outgoing)
	if err != nil {
		return false, false
	}

	defer func() { _ = response.Body.Close() }()

	_, _ = io.Copy(io.Discard, io.LimitReader(response.Body, bufferSize))

	return true, response.Header.Get(StateHeader) == StateDraining
}

// Header field and value of a health response by which the server says that it drains.
const (
	StateHeader   = httpheader.Prefix + "State"
	StateDraining = "draining"
)

// onceReader hides the reader's type from net/http, which would otherwise set GetBody and repeat a
// request by itself after the connection broke.
type onceReader struct{ io.Reader }
