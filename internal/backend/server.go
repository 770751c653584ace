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
	// dropped before the request. If the error comes later, the server may have run the request.
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
}

// Response is a response whose header was read and whose body is still to be read.
type Response struct {
	Status int
	Header http.Header
	// Body must be read to its end or closed. An error other than io.EOF means that it is incomplete.
	Body io.ReadCloser
	// Length is the length of the body in bytes, or http1.UnknownLength.
	Length int64
	// Load is the load that the server reported, if HasLoad is set.
	Load    dialect.Load
	HasLoad bool
	// Limit is what the response says of the number of requests that the server allows.
	Limit Statement
	// NotRun is set if the server states that it did not run the request.
	NotRun bool
	// Draining is set if the server states that it is about to leave the fleet.
	Draining bool
	// Instance is the ID of the server that answered; empty if it states none.
	Instance ID
}

// Server is a client of the backend server beside the daemon. It is safe for concurrent use.
type Server struct {
	pool    *http1.Pool
	dialect dialect.Dialect
	// idleTime is the time for which an unused connection may be reused, in nanoseconds.
	idleTime atomic.Int64
	// foreignResponses counts the skipped responses that belonged to another request.
	foreignResponses atomic.Int64
	// echoesCallToken is set once the server has repeated the call token of a request in its response.
	echoesCallToken atomic.Bool
	// droppedConns counts the requests that were sent again because the server had dropped their connection.
	droppedConns atomic.Int64
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

// Reset closes the unused connections after the server has been replaced. The new server need not repeat call tokens.
func (s *Server) Reset() {
	s.pool.CloseIdle()
	s.echoesCallToken.Store(false)
}

// Dials returns the number of connections opened.
func (s *Server) Dials() int64 { return s.pool.Dials() }

// ForeignResponses returns the number of responses that were skipped because they belonged to another request.
func (s *Server) ForeignResponses() int64 { return s.foreignResponses.Load() }

// Do sends a request and returns the response that belongs to it. A returned error carries a verdict. The errors
// include ErrUnreachable, ErrForeignResponse and ErrUnsealed. When ctx ends, the connection is closed, also while the
// body of the response is read; this tells the server that the request is cancelled.
func (s *Server) Do(ctx context.Context, call Call) (*Response, error) {
	maxAge := time.Duration(s.idleTime.Load())
	if call.SendOnce {
		maxAge = min(maxAge, maxIdleSendOnce)
	}

	for {
		c, err := s.pool.Get(ctx, maxAge)
		if err != nil {
			return nil, verdict.WithError(verdict.NotRun, errors.Mark(errors.Wrap(err, "backend server"), ErrUnreachable))
		}

		started := time.Now()

		response, err := s.exchange(ctx, c, call)
		if err == nil {
			return response, nil
		}

		c.Close()

		// The server may have dropped an unused connection without notice. A request that may be sent twice is sent
		// again on a new connection.
		dropped := c.Reused() && isConnDropped(err) && time.Since(started) < maxDropDelay
		if call.SendOnce || !dropped || ctx.Err() != nil {
			return nil, verdict.WithError(verdict.MayHaveRun, errors.Wrap(err, "backend server"))
		}

		s.droppedConns.Add(1)

		maxAge = 0
	}
}

// errConnDropped marks the error of a connection that ended before the first byte of a response.
var errConnDropped = errors.New("connection was dropped")

func isConnDropped(err error) bool { return errors.Is(err, errConnDropped) }

func (s *Server) exchange(ctx context.Context, c *http1.ClientConn, call Call) (*Response, error) {
	stop := c.CloseOn(ctx)

	sent, err := s.send(c, call)
	if err != nil {
		stop()

		return nil, errors.Mark(err, errConnDropped)
	}

	response, err := s.receive(c, call) //nolint:bodyclose // Body of the connection closes it
	if err != nil {
		stop()

		return nil, err
	}

	// A connection cannot be reused if the server still expects the rest of the body on it, or if a late duplicate of the
	// response could be taken for the next response.
	reusable := func() bool { return !response.Close && wasSent(sent) && s.isDuplicateDetectable(response) }
	body := c.Body(response.Body, stop, reusable)

	return s.toResponse(response, call, body), nil
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

// receive reads responses until one belongs to the call, because a response to an earlier request may arrive late.
func (s *Server) receive(c *http1.ClientConn, call Call) (*http.Response, error) {
	for range maxForeignResponses {
		response, err := c.ReadFinal(call.Request.Method)
		if err != nil {
			if c.Received() {
				return nil, err
			}

			return nil, errors.Mark(err, errConnDropped)
		}

		if s.matchesAttempt(c, response, call) && s.matchesCallToken(c, response, call) {
			if call.Attempt != "" && !s.dialect.Sealed(response.Header) && isSuccess(response.StatusCode) {
				return nil, ErrUnsealed
			}

			return response, nil
		}

		s.foreignResponses.Add(1)

		if _, err := io.CopyN(io.Discard, response.Body, maxSkippedBody); !errors.Is(err, io.EOF) {
			return nil, errors.Wrap(ErrForeignResponse, "skip response")
		}

		if response.Close {
			return nil, ErrForeignResponse
		}
	}

	return nil, ErrForeignResponse
}

// matchesAttempt reports whether a response has the attempt identifier of the call. An error response without a seal,
// by which a server refuses a request, may lack the identifier. On a reused connection, where it may be a late response
// to an earlier request, it may lack it only if another server than the expected one refuses.
func (s *Server) matchesAttempt(c *http1.ClientConn, response *http.Response, call Call) bool {
	if s.dialect.Attempt == "" {
		return true
	}

	attempt := s.dialect.AttemptOf(response.Header)
	if attempt == "" && call.Attempt != "" {
		if c.Reused() {
			return s.isFromOther(response, call)
		}

		return !isSuccess(response.StatusCode) && (s.dialect.Seal == "" || !s.dialect.Sealed(response.Header))
	}

	return attempt == call.Attempt
}

// isFromOther reports whether a response comes from another server than the one that the call is meant for, which
// therefore has not run it. A late response to an earlier call names the server that this call is meant for, too.
func (s *Server) isFromOther(response *http.Response, call Call) bool {
	instance := s.dialect.InstanceOf(response.Header)

	return response.StatusCode == http.StatusMisdirectedRequest && instance != "" &&
		instance != call.Request.Header.Get(s.dialect.ExpectedInstance)
}

// matchesCallToken reports whether the call token in a response, if any, is that of the call. Servers need not repeat
// the token, but a server that has repeated one is expected to repeat it always: on a reused connection, a response
// without the token is then a late duplicate of another response.
func (s *Server) matchesCallToken(c *http1.ClientConn, response *http.Response, call Call) bool {
	if s.dialect.CallToken == "" {
		return true
	}

	token := response.Header.Get(s.dialect.CallToken)
	if token != "" {
		s.echoesCallToken.Store(true)
	}

	if token == "" && s.echoesCallToken.Load() && c.Reused() {
		return call.Request.Header.Get(s.dialect.CallToken) == ""
	}

	return token == "" || token == call.Request.Header.Get(s.dialect.CallToken)
}

// isDuplicateDetectable reports whether a late duplicate of a response can be distinguished from the response to a
// later request. This holds for a success without an identifier, because it never matches a request that has one. In
// a dialect without attempt identifiers, only a refusal has to be distinguishable, by the call token: taken for the
// refusal of a later request, it would state that this one was not run. To a caller, a status may state that by itself.
func (s *Server) isDuplicateDetectable(response *http.Response) bool {
	if s.dialect.Attempt == "" {
		refused := s.isNotRun(response) || mayRefuse(response.StatusCode)

		return !refused || response.Header.Get(s.dialect.CallToken) != ""
	}

	return s.dialect.AttemptOf(response.Header) != "" || isSuccess(response.StatusCode)
}

// mayRefuse reports whether a status may say that a server has not run a request.
func mayRefuse(status int) bool {
	switch status {
	case http.StatusRequestTimeout, http.StatusMisdirectedRequest, http.StatusTooManyRequests:
		return true
	default:
		return status >= http.StatusInternalServerError
	}
}

func isSuccess(status int) bool {
	return status >= http.StatusOK && status < http.StatusMultipleChoices
}

func (s *Server) toResponse(response *http.Response, call Call, body io.ReadCloser) *Response {
	s.updateIdleTime(response.Header)

	converted := &Response{
		Status: response.StatusCode, Header: httpheader.Forwardable(response.Header), Body: body,
		Length: response.ContentLength, NotRun: s.isNotRun(response), Draining: s.dialect.IsDraining(response.Header),
		Instance: ID(s.dialect.InstanceOf(response.Header)),
	}
	converted.Load, converted.HasLoad = s.dialect.ParseLoad(response.Header)
	converted.Limit = s.limitOf(response)

	if http1.Bodiless(call.Request.Method, response.StatusCode) {
		converted.Length = max(0, response.ContentLength)
	}

	return converted
}

// limitOf returns what a response says of the limit. A malformed field says nothing, and neither does a response without
// the field that lacks the seal of the server.
func (s *Server) limitOf(response *http.Response) Statement {
	perSecond, stated, err := s.dialect.ParseLimit(response.Header)

	switch {
	case err != nil:
		return Statement{}
	case stated:
		return Statement{Made: true, Limit: Limit{PerSecond: perSecond, Set: true}}
	default:
		return Statement{Made: s.dialect.Sealed(response.Header)}
	}
}

// isNotRun reports whether the server states that it did not run the request. A server that is not the expected one
// states this by status 421 Misdirected Request.
func (s *Server) isNotRun(response *http.Response) bool {
	return s.dialect.IsNotRun(response.Header) ||
		s.dialect.ExpectedInstance != "" && response.StatusCode == http.StatusMisdirectedRequest
}

// updateIdleTime sets the time for which connections are reused if the header has a Keep-Alive timeout.
func (s *Server) updateIdleTime(header http.Header) {
	for field := range strings.SplitSeq(header.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(field), "=")
		if !strings.EqualFold(name, "timeout") {
			continue
		}

		if seconds, err := strconv.Atoi(value); err == nil && seconds > 0 {
			s.idleTime.Store(int64(idleTimeFraction * float64(seconds) * float64(time.Second)))
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

// Health is the response of a server to a probe.
type Health struct {
	Healthy  bool
	Draining bool
	// Instance is the ID of the server that answered; empty if it states none.
	Instance ID
	// Load is the load that the server reported, if HasLoad is set.
	Load    dialect.Load
	HasLoad bool
	// Limit is what the answer says of the number of requests that the server allows.
	Limit Statement
}

// maxHealthBody is the largest part of the body of a health response that is read, in bytes.
const maxHealthBody = 4 << 10

// Probe sends a GET request to the server's health path. Errors are those of Do and of reading the body.
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
		Load: response.Load, HasLoad: response.HasLoad, Limit: response.Limit,
	}, errors.Wrap(err, "read health response")
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
