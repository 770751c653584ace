package attempt

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/httpheader"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	dialTimeout = time.Second
	// idleTimeout is shorter than the time for which the receiving daemon keeps an unused connection.
	idleTimeout = 30 * time.Second
	// maxIdle is the largest number of unused connections to one daemon.
	maxIdle = 16
	// commitByte ends the body of a call. A request runs only after this byte has arrived.
	commitByte = '\n'
	// CommitSize is the size in bytes of what follows the caller's body in a call.
	CommitSize = 1
	// MaxHead is the largest head (start line and header fields) of a message between daemons, in bytes. It has room
	// for the header of a caller's request or of a backend server's response and for the fields of this protocol.
	MaxHead = 256 << 10
)

// ErrForeignReply is returned for a reply that belongs to another request or attempt.
var ErrForeignReply = errors.New("reply belongs to another attempt")

// Client sends calls to other daemons. It is safe for concurrent use.
type Client struct {
	key string

	mutex sync.Mutex
	pools map[netip.AddrPort]*http1.Pool
	// earlierDials is the number of connections opened to daemons that RetainPeers has removed.
	earlierDials int64
}

// NewClient returns a client that presents the fleet's key.
func NewClient(key string) *Client {
	return &Client{key: key, pools: make(map[netip.AddrPort]*http1.Pool)}
}

// Close closes the unused connections.
func (c *Client) Close() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for _, pool := range c.pools {
		pool.Close()
	}
}

// Dials returns the number of connections opened so far.
func (c *Client) Dials() int64 {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	total := c.earlierDials
	for _, pool := range c.pools {
		total += pool.Dials()
	}

	return total
}

// RetainPeers closes the unused connections to all daemons but the given ones.
func (c *Client) RetainPeers(peers map[netip.AddrPort]bool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for peer, pool := range c.pools {
		if !peers[peer] {
			c.earlierDials += pool.Dials()

			pool.Close()
			delete(c.pools, peer)
		}
	}
}

func (c *Client) pool(peer netip.AddrPort) *http1.Pool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	pool := c.pools[peer]
	if pool == nil {
		pool = http1.NewPool(peer, http1.WithDialTimeout(dialTimeout), http1.WithIdle(maxIdle, idleTimeout),
			http1.WithMaxHead(MaxHead))
		c.pools[peer] = pool
	}

	return pool
}

// ProgressFunc receives the progress of a call before its reply: running is false if the request waits for a slot, and
// true if it has one. If the function returns false when running is true, the call is withdrawn, and a non-idempotent
// call is not committed. The result is ignored when running is false.
type ProgressFunc func(running bool) bool

// ErrWithdrawn is returned for a call that its ProgressFunc withdrew when it got a slot.
var ErrWithdrawn = errors.New("call was withdrawn")

// Response is the reply to a call together with the backend server's header and body.
type Response struct {
	Reply  Reply
	Header http.Header
	// Body ends with an error other than io.EOF if the body is incomplete.
	Body io.ReadCloser
	// Length is the length of the body in bytes, or http1.UnknownLength.
	Length int64
}

// Do sends a call to a daemon. A returned error carries a verdict: the request has not run if no connection was made,
// or if the request is non-idempotent and its body was not sent. The errors include ErrWithdrawn and ErrForeignReply.
// When ctx ends, the call is withdrawn.
func (c *Client) Do(ctx context.Context, peer netip.AddrPort, call Call, progress ProgressFunc) (*Response, error) {
	return c.do(ctx, peer, CallPath, call, progress)
}

// SendToOwner forwards a request to the daemon that owns its idempotency key. Errors are those of Do.
func (c *Client) SendToOwner(ctx context.Context, peer netip.AddrPort, call Call) (*Response, error) {
	return c.do(ctx, peer, OwnedPath, call, func(bool) bool { return true })
}

// SendHandover sends a part of a key table to another daemon, on a new connection. It returns an error unless the
// daemon answers with status 200; after an error, the daemon may have received the part.
func (c *Client) SendHandover(ctx context.Context, peer netip.AddrPort, data []byte) error {
	connection, err := c.pool(peer).Get(ctx, 0)
	if err != nil {
		return errors.Wrapf(err, "daemon %s", peer)
	}

	defer connection.Close()
	defer connection.CloseOn(ctx)()

	head := http1.Request{
		Method: http.MethodPost, Target: HandoverPath, Host: "daemon",
		Header: http.Header{FleetKeyHeader: {c.key}}, Body: data,
	}
	if err := connection.Write(head); err != nil {
		return err
	}

	response, err := connection.ReadFinal(http.MethodPost)
	if err != nil {
		return err
	}

	defer func() { _ = response.Body.Close() }()

	if response.StatusCode != http.StatusOK {
		return errors.Newf("daemon answered with status %d", response.StatusCode)
	}

	return nil
}

func (c *Client) do(
	ctx context.Context, peer netip.AddrPort, path string, call Call, progress ProgressFunc,
) (*Response, error) {
	connection, err := c.pool(peer).Get(ctx, idleTimeout)
	if err != nil {
		return nil, verdict.WithError(verdict.NotRun, errors.Wrapf(err, "daemon %s", peer))
	}

	stop := connection.CloseOn(ctx)

	e := &exchange{connection: connection, call: call, progress: progress, expectContinue: !call.Request.Idempotent()}

	response, err := e.run(c.key, path)
	if err != nil {
		stop()
		connection.Close()

		return nil, verdict.WithError(e.verdict(), errors.Wrapf(err, "daemon %s", peer))
	}

	response.Body = connection.Body(response.Body, stop, func() bool { return !e.closeConn })

	return response, nil
}

// exchange is a call in progress on a connection.
type exchange struct {
	connection *http1.ClientConn
	call       Call
	progress   ProgressFunc
	// expectContinue is set for non-idempotent calls, whose body is sent only when the request has a slot.
	expectContinue bool
	// committed is set before the commit byte is written to the connection.
	committed bool
	// closeConn is set if the connection must not be reused after the reply.
	closeConn bool
}

func (e *exchange) verdict() verdict.Verdict {
	if e.committed {
		return verdict.MayHaveRun
	}

	return verdict.NotRun
}

func (e *exchange) run(key, path string) (*Response, error) {
	if err := e.send(key, path); err != nil {
		return nil, err
	}

	for {
		response, err := e.connection.Read(http.MethodPost) //nolint:bodyclose // Body of the connection closes it
		if err != nil {
			return nil, err
		}

		switch response.StatusCode {
		case http.StatusProcessing:
			e.progress(false)
		case http.StatusContinue:
			if !e.progress(true) {
				return nil, ErrWithdrawn
			}

			if err := e.commit(); err != nil {
				return nil, err
			}
		default:
			return e.finish(response)
		}
	}
}

func (e *exchange) send(key, path string) error {
	head := http1.Request{
		Method: http.MethodPost, Target: path, Host: "daemon",
		Header: make(http.Header, len(e.call.Header)+3),
	}

	httpheader.Copy(head.Header, e.call.Header)
	head.Header[FleetKeyHeader] = []string{key}
	head.Header[CallHeader] = []string{e.call.encode()}

	if e.expectContinue {
		head.Header["Expect"] = []string{"100-continue"}

		return e.connection.WriteHead(head, int64(len(e.call.Body))+1)
	}

	e.committed = true

	return e.connection.WriteParts(head, e.call.Body, commitPart)
}

// commitPart is the commit byte as a part of a body.
var commitPart = []byte{commitByte}

// commit sends the body and the commit byte, unless send has done so.
func (e *exchange) commit() error {
	if e.committed {
		return nil
	}

	e.committed = true

	return e.connection.WriteBody(e.call.Body, commitPart)
}

func (e *exchange) finish(response *http.Response) (*Response, error) {
	e.closeConn = response.Close

	if response.StatusCode != http.StatusOK {
		return nil, errors.Newf("daemon answered with status %d", response.StatusCode)
	}

	reply, err := decodeReply(response.Header.Get(ReplyHeader))
	if err != nil {
		return nil, err
	}

	if reply.ID != e.call.Request.ID || reply.Number != e.call.Number {
		return nil, errors.Wrapf(ErrForeignReply, "sent %s/%d, received %s/%d",
			e.call.Request.ID, e.call.Number, reply.ID, reply.Number)
	}

	return &Response{
		Reply: reply, Header: httpheader.Forwardable(response.Header), Body: response.Body, Length: response.ContentLength,
	}, nil
}
