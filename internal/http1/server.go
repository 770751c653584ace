package http1

import (
	"cmp"
	"context"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/memory"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// Limits bounds the sizes, the times and the number of requests of one connection. A zero duration means no limit; a
// zero size means the default.
type Limits struct {
	// Header is the largest head of a request in bytes; DefaultMaxHead if it is zero.
	Header int
	// Body is the largest body of a request in bytes; DefaultMaxBody if it is zero.
	Body int64
	// HeaderTimeout is the longest time from the first byte of a request to the end of its head.
	HeaderTimeout time.Duration
	// BodyTimeout is the longest time from the end of the head to the end of the body.
	BodyTimeout time.Duration
	// IdleTimeout is the time for which a connection without a request is kept.
	IdleTimeout time.Duration
	// Pipeline is the largest number of requests of one connection that are in progress at once; values below 1 mean 1.
	Pipeline int
	// Fields is the largest number of header fields of a request; DefaultMaxFields if it is zero.
	Fields int
	// Rate is the least rate of a body in bytes per second, after its first ten seconds; zero means no limit.
	Rate int64
	// Connections is the largest number of open connections; zero means no limit.
	Connections int
}

// DefaultMaxBody is the default limit on the body of a request, in bytes.
const DefaultMaxBody = 64 << 20

func (l Limits) withDefaults() Limits {
	l.Header = cmp.Or(l.Header, DefaultMaxHead)
	l.Body = cmp.Or(l.Body, DefaultMaxBody)
	l.Fields = cmp.Or(l.Fields, DefaultMaxFields)

	return l
}

// Handler handles the requests of a Server. It must call either Respond or Abort exactly once. The context ends when
// the peer closes the connection.
type Handler interface {
	Serve(ctx context.Context, x *Exchange)
}

// HandlerFunc is a function that implements Handler.
type HandlerFunc func(ctx context.Context, x *Exchange)

// Serve implements Handler.
func (f HandlerFunc) Serve(ctx context.Context, x *Exchange) { f(ctx, x) }

// Server accepts connections and passes their requests to a handler. The requests of one connection are handled
// concurrently; their responses are written in the order of the requests.
type Server struct {
	handler Handler
	limits  func() Limits
	// skipsBody is set if a peer that receives a final response instead of 100 Continue never sends the body.
	skipsBody bool
	onPanic   task.PanicHandler
	memory    *memory.Account
	counts    closeCounts

	tasks *task.Group
	// open is the number of requests that were read and have not been answered.
	open     atomic.Int64
	draining atomic.Bool
	stopped  atomic.Bool

	mutex    sync.Mutex
	conns    map[*conn]struct{}
	listener net.Listener
}

// ServerOption configures a Server.
type ServerOption func(*Server)

// WithLimits sets the function that returns the limits. It is called for each request.
func WithLimits(limits func() Limits) ServerOption {
	return func(s *Server) { s.limits = limits }
}

// WithSkippedBody is for a protocol in which a peer that expects 100 Continue and receives a final response instead
// never sends the body and goes on using the connection.
func WithSkippedBody() ServerOption {
	return func(s *Server) { s.skipsBody = true }
}

// WithPanicHandler sets the function that is called with a panic of the handler, which then ends only its request and
// connection. Without this option, a panic ends the process.
func WithPanicHandler(panicked task.PanicHandler) ServerOption {
	return func(s *Server) { s.onPanic = panicked }
}

// WithMemory sets the account for the bytes of requests and responses. Without this option, there is no limit.
func WithMemory(account *memory.Account) ServerOption {
	return func(s *Server) { s.memory = account }
}

// NewServer returns a server that has not started.
func NewServer(handler Handler, options ...ServerOption) *Server {
	s := &Server{
		handler: handler, limits: func() Limits { return Limits{} }, conns: make(map[*conn]struct{}),
		memory: memory.Unlimited(),
	}
	for _, option := range options {
		option(s)
	}

	return s
}

// Serve accepts connections until ctx ends. It then closes the open connections, even if they have requests in
// progress; call Drain before for a graceful shutdown. Serve closes the listener. It returns nil after ctx has ended,
// and an error if the listener is closed earlier by anything but Stop.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	s.tasks = task.NewGroup(ctx, task.WithPanicHandler(s.onPanic))
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

// acceptRetryDelay is the delay after a failed accept. It prevents a busy loop when file descriptors run out.
const acceptRetryDelay = 20 * time.Millisecond

func (s *Server) accept(ctx context.Context, listener net.Listener) error {
	for {
		accepted, err := listener.Accept()

		switch {
		case ctx.Err() != nil:
			if err == nil {
				_ = accepted.Close()
			}

			return nil
		case errors.Is(err, net.ErrClosed):
			return errors.Wrap(errors.CombineErrors(err, listener.Close()), "accept")
		case err != nil && s.stopped.Load():
			last := closeAfterQueue(listener)
			for _, accepted := range last {
				s.serve(accepted)
			}

			return errors.Wrap(err, "accept")
		case err != nil:
			task.Sleep(ctx, acceptRetryDelay)

			continue
		}

		if s.stopped.Load() {
			s.drainAcceptQueue(listener)
		}

		s.serve(accepted)
	}
}

// serve starts to serve a connection.
func (s *Server) serve(accepted net.Conn) {
	if !s.admit() {
		_ = accepted.Close()

		return
	}

	limitUnacked(accepted)

	c := newConn(s, accepted)
	s.add(c)

	if !s.tasks.Go("connection", c.run) {
		s.remove(c)

		_ = accepted.Close()
	}
}

// OpenRequests returns the number of requests that were read and have not been answered.
func (s *Server) OpenRequests() int { return int(s.open.Load()) }

// Drain makes each connection close after the response to the last request that was read from it. Idle connections are
// closed at once. New connections are still accepted and closed after their first response.
func (s *Server) Drain() {
	s.draining.Store(true)

	s.mutex.Lock()
	defer s.mutex.Unlock()

	for c := range s.conns {
		c.closeIfIdle()
	}
}

// acceptQueueTimeout is the time for which the accept queue must be empty before the listener is closed.
const acceptQueueTimeout = 2 * time.Millisecond

// Stop starts to drain the server, and closes the listener once the accept queue is empty: the kernel would reset
// connections that are left in the queue. Requests that are read from those connections are still answered.
func (s *Server) Stop() {
	s.stopped.Store(true)
	s.Drain()

	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.listener != nil {
		s.drainAcceptQueue(s.listener)
	}
}

// drainAcceptQueue lets the server accept connections until the accept queue has been empty for acceptQueueTimeout.
func (s *Server) drainAcceptQueue(listener net.Listener) {
	tcp, ok := listener.(*net.TCPListener)
	if !ok || tcp.SetDeadline(time.Now().Add(acceptQueueTimeout)) != nil {
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
