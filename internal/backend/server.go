package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/httpheader"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// connectTimeout bounds a connection to a server on the same instance.
	connectTimeout = 300 * time.Millisecond
	// idleDefault is how long an unused connection is kept if the server does not say how long it keeps it.
	idleDefault = 4 * time.Second
	// idleShare is the part of the time stated by a server after which its connection is no longer reused.
	idleShare = 0.6
	// onceIdle is the age up to which an unused connection serves a request that must not run twice. After a
	// longer pause the server may have dropped it without a sign, and the request would be lost.
	onceIdle = 500 * time.Millisecond
	// dropTime is how soon a request meets the end of a connection that the server had dropped before it. If the
	// connection ends later, the server may have run the request, and it is no matter of connections any more.
	dropTime = 10 * time.Millisecond
	// maxForeign is the number of responses to earlier requests that are skipped on one connection.
	maxForeign = 4
	// asyncBody is the size from which a body is sent while the response is awaited, because a server may
	// answer before it has read the body. In bytes.
	asyncBody = 8 << 10
	// maxSkipped bounds the body of a skipped response in bytes.
	maxSkipped = 1 << 20
)

var (
	// ErrForeign is returned if a connection brought only responses that belong to other requests.
	ErrForeignResponse = errors.New("response belongs to another request")
	// ErrUnsealed is returned for a success that does not prove to be a response of the server.
	ErrUnsealed = errors.New("response is not sealed by the server")
	// ErrUnreachable is returned if no connection could be made.
	ErrUnreachable = errors.New("server is not reachable")
)

// Call is a request to the backend server.
type Call struct {
	Request http1.Request
	// Attempt is the identifier that the server has to repeat in its response; empty for a probe.
	Attempt string
	// Once is set for a request that must not be sent twice.
	SendOnce bool
}

// Response is the whole header of a response with the body still to be read.
type Response struct {
	Status int
	Header http.Header
	// Body has to be read to its end or closed. An error other than io.EOF means that it is not whole.
	Body io.ReadCloser
	// Length of the body, or http1.UnknownLength.
	Length  int64
	Load    dialect.Load
	HasLoad bool
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Draining is set if the server says that it is about to leave.
	Draining bool
	// Instance is the server that answered, if it says so.
	Instance ID
}

// Server keeps the connections to the backend server beside the daemon.
type Server struct {
	pool    *http1.Pool
	dialect dialect.Dialect
	// idle is how long connections may be reused, in nanoseconds.
	idle    atomic.Int64
	foreign atomic.Int64
	// repeating is set once the server has repeated the token of a call.
	repeating atomic.Bool
	dropped   atomic.Int64
}

// NewServer returns a server without connections; it keeps up to the given number of unused ones.
func NewServer(address netip.AddrPort, connections int, d dialect.Dialect) *Server {
	s := &Server{
		pool: http1.NewPool(address, http1.WithDialTimeout(connectTimeout),
			http1.WithIdle(connections, time.Minute)),
		dialect: d,
	}
	s.idle.Store(int64(idleDefault))

	return s
}

// Close closes the unused connections.
func (s *Server) Close() { s.pool.Close() }

// Forget closes the unused connections after the server has been replaced.
func (s *Server) Reset() {
	s.pool.CloseIdle()
	s.repeating.Store(false)
}

// Dials returns the number of connections opened.
func (s *Server) Dials() int64 { return s.pool.Dials() }

// Foreign returns the number of responses skipped because they belonged to another request.
func (s *Server) ForeignResponses() int64 { return s.foreign.Load() }

// Do sends a request and returns the response that belongs to it. The error carries a verdict. When ctx ends,
// the connection is closed, by which the server knows that nobody waits any more.
func (s *Server) Do(ctx context.Context, call Call) (*Response, error) {
	maxAge := time.Duration(s.idle.Load())
	if call.SendOnce {
		maxAge = min(maxAge, onceIdle)
	}

	for {
		c, err := s.pool.Get(ctx, maxAge)
		if err != nil {
			return nil, verdict.WithError(verdict.NotRun, errors.Mark(errors.Wrap(err, "backend server"), ErrUnreachable))
		}

		begun := time.Now()

		response, err := s.exchange(ctx, c, call)
		if err == nil {
			return response, nil
		}

		c.Close()

		// A server may drop an unused connection without notice. A request that may run twice is sent again on
		// a new connection.
		dropped := c.Reused() && isDropped(err) && time.Since(begun) < dropTime
		if call.SendOnce || !dropped || ctx.Err() != nil {
			return nil, verdict.WithError(verdict.MayHaveRun, errors.Wrap(err, "backend server"))
		}

		s.dropped.Add(1)

		maxAge = 0
	}
}

// errDropped marks a connection that ended before a byte of a response.
var errDropped = errors.New("connection was dropped")

func isDropped(err error) bool { return errors.Is(err, errDropped) }

func (s *Server) exchange(ctx context.Context, c *http1.ClientConn, call Call) (*Response, error) {
	stop := c.CloseOn(ctx)

	sent, err := s.send(c, call)
	if err != nil {
		stop()

		return nil, errors.Mark(err, errDropped)
	}

	response, err := s.receive(c, call) //nolint:bodyclose // Body of the connection closes it
	if err != nil {
		stop()

		return nil, err
	}

	// The server expects the rest of an unsent body on the connection. A late copy of a refusal that names no request could
	// not be told from the next response.
	reusable := func() bool { return !response.Close && wasSent(sent) && s.isAttributable(response) }
	body := c.Body(response.Body, stop, reusable)

	return s.toResponse(response, call, body), nil
}

// send writes a request. A large body is written while the response is awaited; the returned channel then
// brings the outcome.
func (s *Server) send(c *http1.ClientConn, call Call) (<-chan error, error) {
	if len(call.Request.Body) < asyncBody {
		return nil, c.Write(call.Request)
	}

	if err := c.WriteHead(call.Request, int64(len(call.Request.Body))); err != nil {
		return nil, err
	}

	sent := make(chan error, 1)

	go func() { sent <- c.WriteBody(call.Request.Body) }()

	return sent, nil
}

// receive reads responses until one belongs to the call. A response to an earlier request may arrive late.
func (s *Server) receive(c *http1.ClientConn, call Call) (*http.Response, error) {
	for range maxForeign {
		response, err := c.ReadFinal(call.Request.Method)
		if err != nil {
			if c.Received() {
				return nil, err
			}

			return nil, errors.Mark(err, errDropped)
		}

		if s.belongs(response, call) && s.repeats(c, response, call) {
			if call.Attempt != "" && !s.dialect.Sealed(response.Header) && isSuccess(response.StatusCode) {
				return nil, ErrUnsealed
			}

			return response, nil
		}

		s.foreign.Add(1)

		if _, err := io.CopyN(io.Discard, response.Body, maxSkipped); !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(ErrForeignResponse, "skip response")
		}

		if response.Close {
			return nil, ErrForeignResponse
		}
	}

	return nil, ErrForeignResponse
}

// belongs reports whether a response is one to the call. A server's refusal may lack the identifier, a
// response that it made for a request may not.
func (s *Server) belongs(response *http.Response, call Call) bool {
	if s.dialect.Attempt == "" {
		return true
	}

	attempt := s.dialect.AttemptOf(response.Header)
	if attempt == "" && call.Attempt != "" {
		return !isSuccess(response.StatusCode) && (s.dialect.Seal == "" || !s.dialect.Sealed(response.Header))
	}

	return attempt == call.Attempt
}

// repeats reports whether the token of a call in a response is that of the call. Servers need not repeat it, but one that
// has done so is expected to do it always: on a connection in use again, a response without it is a late copy of another.
func (s *Server) repeats(c *http1.ClientConn, response *http.Response, call Call) bool {
	if s.dialect.CallToken == "" {
		return true
	}

	token := response.Header.Get(s.dialect.CallToken)
	if token != "" {
		s.repeating.Store(true)
	}

	if token == "" && s.repeating.Load() && c.Reused() {
		return call.Request.Header.Get(s.dialect.CallToken) == ""
	}

	return token == "" || token == call.Request.Header.Get(s.dialect.CallToken)
}

// isAttributable reports whether a copy of a response can be told from the response to a later request. A success without
// an identifier is never taken for the response to a request that has one.
func (s *Server) isAttributable(response *http.Response) bool {
	return s.dialect.Attempt == "" || s.dialect.AttemptOf(response.Header) != "" || isSuccess(response.StatusCode)
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

func (s *Server) toResponse(response *http.Response, call Call, body io.ReadCloser) *Response {
	s.learnIdle(response.Header)

	converted := &Response{
		Status: response.StatusCode, Header: httpheader.Forwardable(response.Header), Body: body,
		Length: response.ContentLength, NotRun: s.isNotRun(response), Draining: s.dialect.IsDraining(response.Header),
		Instance: ID(s.dialect.InstanceOf(response.Header)),
	}
	converted.Load, converted.HasLoad = s.dialect.ParseLoad(response.Header)

	if http1.Bodiless(call.Request.Method, response.StatusCode) {
		converted.Length = max(0, response.ContentLength)
	}

	return converted
}

// isNotRun reports whether the server states that it did not run the request. A server that is not the
// expected one says so with its status.
func (s *Server) isNotRun(response *http.Response) bool {
	return s.dialect.IsNotRun(response.Header) ||
		s.dialect.ExpectedInstance != "" && response.StatusCode == http.StatusMisdirectedRequest
}

// learnIdle reads how long the server keeps an unused connection.
func (s *Server) learnIdle(header http.Header) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			s.idle.Store(int64(idleShare * float64(seconds) * float64(time.Second)))
		}
	}
}

// Reachable reports whether the server accepts connections.
func (s *Server) Reachable(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: connectTimeout}

	connection, err := dialer.DialContext(ctx, "tcp", s.pool.Address().String())
	if err != nil {
		return false
	}

	_ = connection.Close()

	return true
}

// Health is the answer of a server to a probe.
type Health struct {
	Healthy  bool
	Draining bool
	Instance ID
	Load     dialect.Load
	HasLoad  bool
}

// maxHealthBody bounds the body of a health answer in bytes.
const maxHealthBody = 4 << 10

// Probe asks a server's health path.
func (s *Server) Probe(ctx context.Context, path string) (Health, error) {
	response, err := s.Do(ctx, Call{Request: http1.Request{
		Method: http.MethodGet, Target: path, Host: s.pool.Address().String(), Header: http.Header{}, OmitZeroLength: true,
	}})
	if err != nil {
		return Health{}, err
	}

	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBody))
	_ = response.Body.Close()

	return Health{
		Healthy: response.Status == http.StatusOK, Draining: response.Draining, Instance: response.Instance,
		Load: response.Load, HasLoad: response.HasLoad,
	}, errors.Wrap(err, "read health answer")
}

// wasSent reports whether a body was written to its end; a nil channel stands for one that was.
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
