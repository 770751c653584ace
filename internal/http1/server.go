package http1

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/task"
)

// Limits bound what one connection may send. A zero value means no limit, but for sizes, which then have defaults.
type Limits struct {
	// Header is the largest head of a request in bytes; DefaultMaxHead if it is zero.
	Header int
	// Body is the largest body of a request in bytes; DefaultMaxBody if it is zero.
	Body int64
	// HeaderTimeout is the longest time from the first byte of a request to the end of its head.
	HeaderTimeout time.Duration
	// BodyTimeout is the longest time for a body.
	BodyTimeout time.Duration
	// IdleTimeout is how long a connection without a request is kept.
	IdleTimeout time.Duration
	// Pipeline is the number of requests of one connection that may be in progress at once; at least 1.
	Pipeline int
}

// DefaultMaxBody is the largest body of a request, in bytes, where nothing else is stated.
const DefaultMaxBody = 64 << 20

func (l Limits) withDefaults() Limits {
	l.Header = cmp.Or(l.Header, DefaultMaxHead)
	l.Body = cmp.Or(l.Body, DefaultMaxBody)

	return l
}

// Handler answers the requests of a Server. It calls Respond or Abort of the exchange exactly once. The
// context ends when the peer has closed the connection.
type Handler interface {
	Serve(ctx context.Context, x *Exchange)
}

// HandlerFunc is a function as a Handler.
type HandlerFunc func(ctx context.Context, x *Exchange)

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, x *Exchange) { f(ctx, x) }

// Server accepts connections and passes their requests to a handler. The requests of one connection are
// handled at the same time; their responses are written in the order of the requests.
type Server struct {
	handler Handler
	limits  func() Limits
	// skipsBody is set if a peer that was refused before it got 100 Continue does not send the body.
	skipsBody bool
	panicked  task.PanicHandler

	tasks    *task.Group
	open     atomic.Int64
	draining atomic.Bool
	stopped  atomic.Bool

	mutex    sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithLimits sets a function that is asked for the limits of each request.
func WithLimits(limits func() Limits) ServerOption {
	return func(s *Server) { s.limits = limits }
}

// WithSkippedBody is for a protocol in which a peer that expects 100 Continue and gets a final response
// instead keeps the connection and does not send the body.
func WithSkippedBody() ServerOption {
	return func(s *Server) { s.skipsBody = true }
}

// WithPanicked makes a panic of the handler end only its request and connection. Without it, a panic ends the process.
func WithPanicked(panicked task.PanicHandler) ServerOption {
	return func(s *Server) { s.panicked = panicked }
}

// NewServer returns a server that has not started.
func NewServer(handler Handler, options ...ServerOption) *Server {
	s := &Server{handler: handler, limits: func() Limits { return Limits{} }, conns: make(map[*conn]struct{})}
	for _, option := range options {
		option(s)
	}

	return s
}

// Serve accepts connections until ctx ends. Open connections are then closed, whatever they do; a graceful
// end is preceded by Drain.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.tasks = task.NewGroup(ctx, task.WithPanicHandler(s.panicked))
	s.setListener(listener)

	stop := context.AfterFunc(ctx, func() { _ = listener.Close() })
	defer stop()

	err := s.accept(ctx, listener)
	if s.stopped.Load() {
		<-ctx.Done()

		err = nil
	}

	s.closeAll()
	s.tasks.Stop()

	return err
}

// acceptPause keeps a shortage of descriptors from becoming a busy loop.
const acceptPause = 20 * time.Millisecond

func (s *Server) accept(ctx context.Context, listener net.Listener) error {
	for {
		accepted, err := listener.Accept()

		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = accepted.Close()
			}

			return nil
		case errors.Is(err, net.ErrClosed), err != nil && s.stopped.Load():
			return errors.Wrap(errors.CombineErrors(err, listener.Close()), "accept")
		case err != nil:
			task.Sleep(ctx, acceptPause)

			continue
		}

		if s.stopped.Load() {
			s.sweep(listener)
		}

		limitUnacked(accepted)

		c := newConn(s, accepted)
		s.add(c)

		if !s.tasks.Go("connection", c.run) {
			s.remove(c)

			_ = accepted.Close()
		}
	}
}

// Open returns the number of requests that were read and not answered.
func (s *Server) Open() int { return int(s.open.Load()) }

// Drain makes each connection end with the answer to the last request that was read from it. Idle
// connections are closed at once; new ones are still accepted, and end with their first answer.
func (s *Server) Drain() {
	s.draining.Store(true)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	for c := range s.conns {
		c.endIfIdle()
	}
}

// sweepTime is how long the queue of connections has to be empty before the socket closes.
const sweepTime = 2 * time.Millisecond

// Stop takes no further connections but those that wait in the queue of the socket: the kernel would reset them.
// What is read from a new connection is answered.
func (s *Server) Stop() {
	s.stopped.Store(true)
	s.Drain()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.listener != nil {
		s.sweep(s.listener)
	}
}

// sweep lets Accept go on until no connection waits.
func (s *Server) sweep(listener net.Listener) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok || tcp.SetDeadline(time.Now().Add(sweepTime)) != nil {
		_ = listener.Close()
	}
}

func (s *Server) setListener(listener net.Listener) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.listener = listener
}

func (s *Server) add(c *conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.conns[c] = struct{}{}
}

func (s *Server) remove(c *conn) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	delete(s.conns, c)
}

func (s *Server) closeAll() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for c := range s.conns {
		_ = c.net.Close()
	}
}
