package backend

import (
	"context"
	"io"
	"net/http"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// connectTimeout bounds the time to connect to the server, which runs on the same instance.
	connectTimeout = 300 * time.Millisecond
	// defaultIdleTime is the time for which an unused connection is reused if the server states no Keep-Alive timeout.
	defaultIdleTime = 4 * time.Second
	// idleTimeFraction is the fraction of the server's Keep-Alive timeout for which an unused connection is reused.
	idleTimeFraction = 0.6
	// maxIdleSendOnce is the longest time for which a connection may have been unused before it carries a request that
	// must not be sent twice. After a longer pause, the server may have dropped the connection without closing it, and
	// the request would be lost.
	maxIdleSendOnce = 500 * time.Millisecond
	// maxDropDelay is the longest time from the start of a request to the error on a connection that the server had
	// dropped before the request. If the error comes later, the server has probably begun to run the request.
	maxDropDelay = 10 * time.Millisecond
	// maxForeignResponses is the largest number of responses to earlier requests that are skipped for one request.
	maxForeignResponses = 4
	// asyncBodySize is the size in bytes from which a body is written concurrently with reading the response, because a
	// server may answer before it has read the body.
	asyncBodySize = 8 << 10
	// maxSkippedBody is the largest body of a skipped response in bytes.
	maxSkippedBody = 1 << 20
)

var (
	// ErrForeignResponse is returned if a connection delivered only responses that belong to other requests.
	ErrForeignResponse = errors.New("response belongs to another request")
	// ErrUnsealed is returned for a success without the seal that the server sets on its complete responses.
	ErrUnsealed = errors.New("response is not sealed by the server")
	// ErrDropped is returned if a connection that had been unused ended at once and without a byte of a response. The server
	// has probably dropped it before the request, but may have run the request.
	ErrDropped = errors.New("connection was dropped")
	// ErrUnreachable is returned if no connection could be established.
	ErrUnreachable = errors.New("server is not reachable")
)

// Call is a request to the backend server.
type Call struct {
	Request http1.Request
	// Attempt is the identifier that the server must repeat in its response; empty for a probe.
	Attempt string
	// SendOnce is set for a request that must not be sent twice.
	SendOnce bool
	// AnyConnection is set for a call whose response has no name, and need not be certain to answer it.
	AnyConnection bool
}

// Server is a client of the backend server beside the daemon. It is safe for concurrent use.
type Server struct {
	pool    *http1.Pool
	dialect dialect.Dialect
	// idleTime is the time for which an unused connection may be reused, in nanoseconds.
	idleTime atomic.Int64
	// foreignResponses counts the skipped responses that belonged to another request.
	foreignResponses atomic.Int64
	// omitsNames is set once the server has omitted the call token in a response; see mayReuse.
	omitsNames atomic.Bool
	// stated is what the server has last stated, beside its load, in a health response that certainly answered its probe;
	// nil if nothing.
	stated atomic.Pointer[Health]
}

// NewServer returns a Server without open connections. It keeps up to the given number of unused connections.
func NewServer(address netip.AddrPort, connections int, d dialect.Dialect) *Server {
	s := &Server{
		pool: http1.NewPool(address, http1.WithDialTimeout(connectTimeout),
			http1.WithIdle(connections, time.Minute)),
		dialect: d,
	}
	s.idleTime.Store(int64(defaultIdleTime))

	return s
}

// Close closes the unused connections.
func (s *Server) Close() { s.pool.Close() }

// Reset closes the unused connections after the server has been replaced. What was known of the earlier server does not
// hold for the new one.
func (s *Server) Reset() {
	s.pool.CloseIdle()
	s.omitsNames.Store(false)
	s.stated.Store(nil)
}

// Dials returns the number of connections opened.
func (s *Server) Dials() int64 { return s.pool.Dials() }

// ForeignResponses returns the number of responses that were skipped because they belonged to another request.
func (s *Server) ForeignResponses() int64 { return s.foreignResponses.Load() }

// Do sends a request once and returns the response that answers it. A returned error carries a verdict. The errors
// include ErrUnreachable, ErrDropped, ErrForeignResponse and ErrUnsealed. When ctx ends, the connection is closed, also
// while the body of the response is read; this tells the server that the request is cancelled.
func (s *Server) Do(ctx context.Context, call Call) (*Response, error) {
	c, err := s.connect(ctx, call)
	if err != nil {
		return nil, err
	}

	return s.exchange(ctx, c, call)
}

// connect returns a connection for a call. Its error is ErrUnreachable.
func (s *Server) connect(ctx context.Context, call Call) (*http1.ClientConn, error) {
	c, err := s.pool.GetFiltered(ctx, s.maxIdleTime(call), s.filter(call))
	if err != nil {
		return nil, verdict.WithError(verdict.NotRun, errors.Mark(errors.Wrap(err, "backend server"), ErrUnreachable))
	}

	if name := s.nameOf(call); name != "" {
		c.Carry(name)
	}

	return c, nil
}

// maxIdleTime returns the longest time for which a connection may have been unused before it carries a call.
func (s *Server) maxIdleTime(call Call) time.Duration {
	kept := time.Duration(s.idleTime.Load())

	switch {
	case !s.mayReuse(call):
		return 0
	case call.SendOnce:
		return min(kept, maxIdleSendOnce)
	default:
		return kept
	}
}

// exchange sends a call on a connection and reads the response. After an error, the connection is closed.
func (s *Server) exchange(ctx context.Context, c *http1.ClientConn, call Call) (*Response, error) {
	stop, started := c.CloseOn(ctx), time.Now()

	sent, err := s.send(c, call)
	if err != nil {
		return nil, s.fail(c, stop, started, err)
	}

	response, err := s.receive(c, call) //nolint:bodyclose // Body of the connection closes it
	if err != nil {
		return nil, s.fail(c, stop, started, err)
	}

	// A connection cannot be reused if the server still expects the rest of the body on it.
	reusable := func() bool { return !response.Close && wasSent(sent) && s.staysUsable(response, call) }
	body := c.Body(response.Body, stop, reusable)

	return s.toResponse(response, call, body), nil
}

// fail closes a connection after an error of an exchange and returns the error with its verdict: what was sent may have
// run. If the connection was dropped, those that have been unused for longer probably were, too, and are closed.
func (s *Server) fail(c *http1.ClientConn, stop func() bool, started time.Time, err error) error {
	open := stop()
	c.Close()

	if open && c.Reused() && !c.Received() && time.Since(started) < maxDropDelay {
		err = errors.Mark(err, ErrDropped)

		s.pool.CloseIdle()
	}

	return verdict.WithError(verdict.MayHaveRun, errors.Wrap(err, "backend server"))
}

// send writes a request. A large body is written in the background; the returned channel then receives the result.
// Otherwise, the channel is nil.
func (s *Server) send(c *http1.ClientConn, call Call) (<-chan error, error) {
	if len(call.Request.Body) < asyncBodySize {
		return nil, c.Write(call.Request)
	}

	if err := c.WriteHead(call.Request, int64(len(call.Request.Body))); err != nil {
		return nil, err
	}

	sent := make(chan error, 1)

	go func() { sent <- c.WriteBody(call.Request.Body) }()

	return sent, nil
}

// receive reads responses until one answers the call, because copies of earlier responses may arrive before.
func (s *Server) receive(c *http1.ClientConn, call Call) (*http.Response, error) {
	unnamed := false

	for skipped := range maxForeignResponses {
		response, err := c.ReadFinal(call.Request.Method)
		if err != nil {
			if unnamed {
				// One of the skipped responses was probably the answer.
				s.noteOmittedName()
			}

			return nil, err
		}

		first := skipped == 0 && !c.Reused()
		if s.answers(response, call, first) {
			if call.Attempt != "" && !s.dialect.Sealed(response.Header) && isSuccess(response.StatusCode) {
				return nil, ErrUnsealed
			}

			return response, nil
		}

		unnamed = unnamed || s.nameIn(response) == ""

		if err := s.skip(response); err != nil {
			return nil, err
		}
	}

	return nil, ErrForeignResponse
}

// skip reads a response that does not answer the call to its end.
func (s *Server) skip(response *http.Response) error {
	s.foreignResponses.Add(1)

	if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBody); !errors.Is(err, io.EOF) {
		return errors.Wrap(ErrForeignResponse, "skip response")
	}

	if response.Close {
		return ErrForeignResponse
	}

	return nil
}

// wasSent reports whether a body was completely written, given the channel that send returned.
func wasSent(sent <-chan error) bool {
	if sent == nil {
		return true
	}

	select {
	case err := <-sent:
		return err == nil
	default:
		return false
	}
}
