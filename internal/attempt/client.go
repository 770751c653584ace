package attempt

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"net/http/httptrace"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/httpdial"
	"github.com/tarragonmill/tarragonmill/internal/httpheader"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// maxConnections bounds the connections to one daemon; a server has about 200 in all.
	maxConnections = 64
	dialTimeout    = time.Second
	idleTimeout    = 90 * time.Second
	// expectSize is the body size from which the receiving daemon is asked before the body is sent.
	expectSize = 16 << 10
	// expectTimeout has to exceed any time in a queue: the body must not be sent before the receiving
	// daemon has admitted the call.
	expectTimeout = time.Hour
)

// ErrForeign is returned for a reply that belongs to another request or attempt.
var ErrForeign = errors.New("reply belongs to another attempt")

// Client sends calls to other daemons.
type Client struct {
	key       string
	transport *httpdial.Transport
	foreign   atomic.Int64
}

// NewClient returns a client that presents the fleet's key.
func NewClient(key string) *Client {
	client := &Client{key: key, transport: httpdial.New(maxConnections, idleTimeout)}
	client.transport.ExpectContinueTimeout = expectTimeout

	return client
}

// Close closes idle connections.
func (c *Client) Close() { c.transport.CloseIdleConnections() }

// Foreign returns the number of replies that belonged to another attempt.
func (c *Client) Foreign() int64 { return c.foreign.Load() }

// Dials returns the number of connections opened.
func (c *Client) Dials() int64 { return c.transport.Dials() }

// Response is the reply to a call together with the backend server's header and body.
type Response struct {
	Reply  Reply
	Header http.Header
	// Body returns ErrIncomplete instead of io.EOF if the transfer is not whole.
	Body io.ReadCloser
}

// Do sends a call to path at a daemon's peer address. The returned error carries a verdict: the call
// is NotRun if no connection was made or the end of the body was never handed to a connection: the
// receiving daemon runs nothing before it has read the whole body.
func (c *Client) Do(ctx context.Context, peer netip.AddrPort, path string, call Call) (*Response, error) {
	ctx, cancel := context.WithTimeout(ctx, call.Timeout)
	body := newSendBody(call)

	var connected atomic.Bool

	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{
		GotConn: func(httptrace.GotConnInfo) { connected.Store(true) },
	})

	outgoing, err := c.newRequest(traced, peer, path, call, body)
	if err != nil {
		cancel()

		return nil, verdict.WithError(verdict.NotRun, err)
	}

	incoming, err := c.transport.RoundTrip(outgoing)
	if err != nil {
		cancel()

		return nil, verdict.WithError(sentVerdict(connected.Load() && body.sent()), errors.Wrap(err, "call "+string(call.Request.ID)))
	}

	reply, err := c.readReply(incoming, call)
	if err != nil {
		_ = incoming.Body.Close()

		cancel()

		return nil, verdict.WithError(sentVerdict(body.sent()), err)
	}

	return &Response{
		Reply:  reply,
		Header: httpheader.Forwardable(incoming.Header),
		Body:   newVerifiedBody(incoming, cancel),
	}, nil
}

func sentVerdict(sent bool) verdict.Verdict {
	if sent {
		return verdict.MayHaveRun
	}

	return verdict.NotRun
}

func (c *Client) newRequest(
	ctx context.Context, peer netip.AddrPort, path string, call Call, body *sendBody,
) (*http.Request, error) {
	outgoing, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+peer.String()+path, body)
	if err != nil {
		return nil, errors.Wrap(err, "build call")
	}

	httpheader.Copy(outgoing.Header, call.Header)
	outgoing.ContentLength = body.size
	outgoing.Header.Set(FleetHeader, c.key)
	outgoing.Header.Set(CallHeader, call.encode())

	if !call.Request.Idempotent() || len(call.Body) >= expectSize {
		outgoing.Header.Set("Expect", "100-continue")
	}

	return outgoing, nil
}

func (c *Client) readReply(incoming *http.Response, call Call) (Reply, error) {
	if incoming.StatusCode != http.StatusOK {
		return Reply{}, errors.Newf("daemon answered with status %d", incoming.StatusCode)
	}

	reply, err := decodeReply(incoming.Header.Get(ReplyHeader))
	if err != nil {
		return Reply{}, err
	}

	if reply.ID != call.Request.ID || reply.Number != call.Number {
		c.foreign.Add(1)

		return Reply{}, errors.Wrapf(ErrForeign, "sent %s/%d, received %s/%d",
			call.Request.ID, call.Number, reply.ID, reply.Number)
	}

	return reply, nil
}

// commitByte ends the body of a call. Its presence makes every body non-empty, so that a call whose
// body was never taken by the transport is known not to have run.
const commitByte = '\n'

// sendBody is read once: without GetBody and with a body, net/http never repeats a call by itself,
// not even one whose Idempotency-Key header it would take as permission to do so.
type sendBody struct {
	reader io.Reader
	size   int64
	left   atomic.Int64
}

func newSendBody(call Call) *sendBody {
	size := int64(len(call.Body)) + 1
	body := &sendBody{
		reader: io.MultiReader(bytes.NewReader(call.Body), bytes.NewReader([]byte{commitByte})),
		size:   size,
	}
	body.left.Store(size)

	return body
}

// Read counts a byte as sent before the transport can write it.
func (b *sendBody) Read(data []byte) (int, error) {
	n, err := b.reader.Read(data)
	b.left.Add(-int64(n))

	return n, err
}

func (b *sendBody) Close() error { return nil }

func (b *sendBody) sent() bool { return b.left.Load() <= 0 }
