// Package backend is a stand-in for a backend server. It has slots, counts how often each request ran, reports its load
// and announces itself. It can also be slow, drain, refuse or fail requests, crash, and send faulty responses.
//
// Paths: GET /stock/{id} is a lookup, POST /orders an order, and GET /label/{size} a download of size bytes with a
// strong validator. POST /crash crashes the server, which closes the listener and all connections. GET /health reports
// the load, GET /executions lists how often each order ran, and PUT /behaviour changes the behaviour.
package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/dialect"
)

// Behaviour determines how the server handles requests. Values are immutable.
type Behaviour struct {
	// ServiceTime is the time that a request holds a slot at usual speed.
	ServiceTime time.Duration
	// Slowness multiplies ServiceTime; zero means one.
	Slowness float64
	// Failing makes every request fail at once with status 500.
	Failing bool
	// Draining makes the server refuse new requests and report that it drains.
	Draining bool
	// Leaving makes the server say in its responses that it leaves. It handles requests as usual.
	Leaving bool
	// Limit is the number of requests per second that the server states in its responses; zero for none. It does not
	// enforce it.
	Limit float64
	// Cold is the time for which the server says in its health responses that it stays cold; zero if it says nothing.
	Cold time.Duration
	// Unhealthy makes the health path answer with status 503. Requests are handled as usual.
	Unhealthy bool
	// TruncateAfter aborts downloads after this number of bytes; zero for never.
	TruncateAfter int64
	// Poison is a string that crashes the server if a request body contains it; empty for none.
	Poison string
	// Fault is injected into every FaultEvery-th request; none if FaultEvery is zero.
	Fault      Fault
	FaultEvery int
	// Answer responds to requests in place of the server, on their connection and before their bodies are read; nil if the
	// server responds itself. The header has the fields that mark a response as one of the server.
	Answer func(connection *net.TCPConn, header http.Header)
	// Copies is the share of requests before whose response the server writes an earlier response of the connection once
	// more.
	Copies float64
}

// Fault is a fault in the handling of a request or in its response.
type Fault uint8

// Faults. None handles the request as usual.
const (
	None Fault = iota
	// Shed refuses a request although slots are free.
	Shed
	// Reset closes the connection before the request runs.
	Reset
	// DropResponse runs the request, then closes the connection without a response.
	DropResponse
	// Hang runs the request and never responds.
	Hang
	// DuplicateResponse sends the response twice.
	DuplicateResponse
	// MissingLength sends the response without a Content-Length, so that it ends with the connection.
	MissingLength
	// ShortBody sends half of the body and closes the connection.
	ShortBody
	// MissingSeal sends the response without the header fields that mark it as one of the server.
	MissingSeal
	// Garbage sends bytes that are no HTTP response.
	Garbage
	// EndlessLine, EndlessHeader, EndlessInterim, EndlessChunks and EndlessBody send bytes until the peer closes the
	// connection: a first line without end, header fields, interim responses, a chunked body, and a body without a
	// length.
	EndlessLine
	EndlessHeader
	EndlessInterim
	EndlessChunks
	EndlessBody
	// EndlessRefusal refuses a request with a body without end.
	EndlessRefusal
	// ZeroStatus, HighStatus, Upgrade and InterimBody send the response as the body of one that is invalid: with status
	// 000 or 999, with 101 although no upgrade was requested, and of an interim response.
	ZeroStatus
	HighStatus
	Upgrade
	InterimBody
)

// Execution is what the server recorded about an attempt that ran.
type Execution struct {
	// Count is how often the attempt ran.
	Count int
	// Origin, Tenant and Credential are header fields of the last run, and Body is its request body.
	Origin, Tenant, Credential string
	Body                       string
	// Timeout is the value of the timeout header field of the last run, in milliseconds.
	Timeout string
}

// Server is a backend server. It is safe for concurrent use.
type Server struct {
	name    string
	dialect dialect.Dialect
	slots   chan struct{}

	mutex               sync.Mutex
	behaviour           Behaviour
	executionsByKey     map[string]int
	executionsByAttempt map[string]Execution
	requestCount        int
	// starts holds when the requests that ran were started.
	starts  []time.Time
	server  *http.Server
	crashed bool
}

// Option configures a Server.
type Option func(*Server)

// WithDialect sets the header fields that the server uses.
func WithDialect(d dialect.Dialect) Option { return func(s *Server) { s.dialect = d } }

// New returns a server that runs up to slots requests at once. The name is also the identity that it reports.
func New(name string, slots int, behaviour Behaviour, options ...Option) *Server {
	s := &Server{
		name: name, slots: make(chan struct{}, slots), behaviour: behaviour, dialect: dialect.Default(),
		executionsByKey: make(map[string]int), executionsByAttempt: make(map[string]Execution),
	}
	for _, option := range options {
		option(s)
	}

	return s
}

// Serve handles requests until ctx ends or the server crashes. Both return nil.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 5 * time.Second}

	s.mutex.Lock()
	s.server, s.crashed = server, false
	s.mutex.Unlock()

	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()

	if err := server.Serve(copyingListener{Listener: listener, server: s}); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve backend stand-in")
	}

	return nil
}

// Name returns the name, which is the identity of the server.
func (s *Server) Name() string { return s.name }

// SetBehaviour changes the behaviour.
func (s *Server) SetBehaviour(behaviour Behaviour) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.behaviour = behaviour
}

// Behaviour returns the present behaviour.
func (s *Server) Behaviour() Behaviour {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.behaviour
}

// Crash closes the listener and every connection.
func (s *Server) Crash() {
	s.mutex.Lock()
	server := s.server
	s.crashed = true
	s.mutex.Unlock()

	if server != nil {
		_ = server.Close()
	}
}

// Crashed reports whether the server has crashed.
func (s *Server) Crashed() bool {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.crashed
}

// Executions returns how often each order ran, by its idempotency key.
func (s *Server) Executions() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	counts := make(map[string]int, len(s.executionsByKey))
	for key, count := range s.executionsByKey {
		counts[key] = count
	}

	return counts
}

// ExecutionsByAttempt returns what ran, by the identifier of the attempt.
func (s *Server) ExecutionsByAttempt() map[string]Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	runs := make(map[string]Execution, len(s.executionsByAttempt))
	for id, run := range s.executionsByAttempt {
		runs[id] = run
	}

	return runs
}

// Running returns the number of requests that hold a slot.
func (s *Server) Running() int { return len(s.slots) }

// Served returns the number of requests that ran, and when the last one started.
func (s *Server) Served() (int, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if len(s.starts) == 0 {
		return 0, time.Time{}
	}

	return len(s.starts), s.starts[len(s.starts)-1]
}

// Starts returns when the requests that ran were started, in order.
func (s *Server) Starts() []time.Time {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return slices.Clone(s.starts)
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /executions", s.listExecutions)
	mux.HandleFunc("PUT /behaviour", s.putBehaviour)
	mux.HandleFunc("GET /stock/{id}", s.runInSlot(s.stock))
	mux.HandleFunc("POST /orders", s.runInSlot(s.order))
	mux.HandleFunc("GET /label/{size}", s.runInSlot(s.label))
	mux.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { s.Crash() })

	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	behaviour := s.Behaviour()

	dialect.SetField(w.Header(), s.dialect.Instance, s.name)
	s.setLoad(w.Header())

	s.setNotice(w.Header())

	if behaviour.Cold > 0 {
		dialect.SetField(w.Header(), s.dialect.Cold, strconv.FormatInt(behaviour.Cold.Milliseconds(), 10))
	}

	// On the users' platform, whose servers seal their responses, the status says that the server leaves, too.
	leaving := behaviour.Draining || behaviour.Leaving
	if behaviour.Unhealthy || leaving && s.dialect.Seal != "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// setNotice sets the header fields by which the server says that it leaves and how many requests it allows.
func (s *Server) setNotice(header http.Header) {
	behaviour := s.Behaviour()

	if behaviour.Draining || behaviour.Leaving {
		dialect.SetField(header, s.dialect.State, s.dialect.DrainingValue)
	}

	if behaviour.Limit > 0 {
		dialect.SetField(header, s.dialect.Limit, strconv.FormatFloat(behaviour.Limit, 'f', -1, 64))
	}
}

// setLoad sets the header field for the load: the running and waiting requests, the slots, and the slowness in percent.
func (s *Server) setLoad(header http.Header) {
	slowness := s.Behaviour().Slowness
	if slowness == 0 {
		slowness = 1
	}

	dialect.SetField(header, s.dialect.Load, fmt.Sprintf("%d,0,%d,%d", len(s.slots), cap(s.slots), int(100*slowness)))
}

func (s *Server) listExecutions(w http.ResponseWriter, _ *http.Request) {
	for key, count := range s.Executions() {
		_, _ = fmt.Fprintln(w, key, count)
	}
}

// putBehaviour changes the behaviour by the query parameters "service" (a duration), "failing", "draining", "truncate"
// (bytes) and "poison". The others stay as they are.
func (s *Server) putBehaviour(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	behaviour := s.Behaviour()

	if text := query.Get("service"); text != "" {
		service, err := time.ParseDuration(text)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)

			return
		}

		behaviour.ServiceTime = service
	}

	if query.Has("failing") {
		behaviour.Failing = query.Get("failing") == "true"
	}

	if query.Has("draining") {
		behaviour.Draining = query.Get("draining") == "true"
	}

	if query.Has("poison") {
		behaviour.Poison = query.Get("poison")
	}

	if text := query.Get("truncate"); text != "" {
		behaviour.TruncateAfter, _ = strconv.ParseInt(text, 10, 64)
	}

	s.SetBehaviour(behaviour)
}
