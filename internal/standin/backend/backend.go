// Package backend stands in for a backend server: it has slots, counts how often each request ran, reports its
// load, announces itself, and can be slow, drain, refuse, fail, crash or answer wrongly.
//
// Paths: GET /stock/{id} is a lookup, POST /orders an order, GET /label/{size} a download of size
// bytes with a strong validator, POST /crash kills the server. A crash closes the listener and all
// connections.
package backend

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/dialect"
)

// Behaviour is how the server treats requests. Values are immutable.
type Behaviour struct {
	// Service is the time that a request holds a slot at usual speed.
	ServiceTime time.Duration
	// Slowness multiplies it; zero is one.
	Slowness float64
	// Failing makes every request fail at once with status 500.
	Failing bool
	// Draining makes the server refuse new work and state so.
	Draining bool
	// Ill makes the health path answer 503, whatever the server does.
	Unhealthy bool
	// Truncate breaks off downloads after this many bytes; zero for never.
	TruncateAfter int64
	// Poison is a substring of request bodies that crash the server.
	Poison string
	// Fault befalls each request whose number is a multiple of Every; zero for none.
	Fault      Fault
	FaultEvery int
}

// Fault is a way of answering wrongly.
type Fault uint8

// Faults.
const (
	None Fault = iota
	// Shed refuses to run a request although there is room.
	Shed
	// Reset closes the connection before the request runs.
	Reset
	// LoseAnswer runs a request and closes the connection.
	DropResponse
	// Hang runs a request and never answers.
	Hang
	// Extra answers twice.
	DuplicateResponse
	// Unframed answers without a length.
	MissingLength
	// CutShort answers with less than the stated length.
	ShortBody
	// Unsealed answers a success that is not marked as one of the server.
	MissingSeal
	// Garbage answers bytes that are no response.
	Garbage
	// EndlessLine, EndlessHead, EndlessInterim, EndlessChunks and EndlessBody answer with bytes without end until
	// the connection closes: without a line end, in a head, as interim responses, in a chunked body, and in a body
	// that ends with the connection.
	EndlessLine
	EndlessHeader
	EndlessInterim
	EndlessChunks
	EndlessBody
)

// Run is what is known of one request that ran.
type Execution struct {
	Count  int
	Origin string
	Body   string
	// Timeout is the time that the last sending of the request stated, in milliseconds.
	Timeout string
}

// Server is one backend server.
type Server struct {
	name    string
	dialect dialect.Dialect
	slots   chan struct{}

	mutex               sync.Mutex
	behaviour           Behaviour
	executionsByKey     map[string]int
	executionsByAttempt map[string]Execution
	requestCount        int
	runCount            int
	lastStart           time.Time
	server              *http.Server
	crashed             bool
}

// Option configures a Server.
type Option func(*Server)

// WithDialect sets the header fields that the server speaks.
func WithDialect(d dialect.Dialect) Option { return func(s *Server) { s.dialect = d } }

// New returns a server that runs up to slots requests at once. The name is its identity, too.
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

// Serve answers requests until ctx is done or the server crashes.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{Handler: s.handler(), ReadHeaderTimeout: 5 * time.Second}

	s.mutex.Lock()
	s.server, s.crashed = server, false
	s.mutex.Unlock()

	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()

	if err := server.Serve(listener); !errors.Is(err, http.ErrServerClosed) {
		return errors.Wrap(err, "serve backend stand-in")
	}

	return nil
}

// Name is the identity of the server.
func (s *Server) Name() string { return s.name }

// Set changes the behaviour.
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

// Executions returns how often each order ran, by its key.
func (s *Server) Executions() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	counts := make(map[string]int, len(s.executionsByKey))
	for key, count := range s.executionsByKey {
		counts[key] = count
	}

	return counts
}

// Runs returns the requests that ran, by the identifier of their sending.
func (s *Server) ExecutionsByAttempt() map[string]Execution {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	runs := make(map[string]Execution, len(s.executionsByAttempt))
	for id, run := range s.executionsByAttempt {
		runs[id] = run
	}

	return runs
}

// Served returns the number of requests that ran and when the last one started.
func (s *Server) Served() (int, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.runCount, s.lastStart
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

	dialect.Set(w.Header(), s.dialect.Instance, s.name)
	s.setLoad(w.Header())

	if behaviour.Draining {
		dialect.Set(w.Header(), s.dialect.State, dialect.Draining)
	}

	if behaviour.Unhealthy || behaviour.Draining && s.dialect.State == "" {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// setLoad states the requests that run and wait, the slots, and the slowness in percent.
func (s *Server) setLoad(header http.Header) {
	slowness := s.Behaviour().Slowness
	if slowness == 0 {
		slowness = 1
	}

	dialect.Set(header, s.dialect.Load, fmt.Sprintf("%d,0,%d,%d", len(s.slots), cap(s.slots), int(100*slowness)))
}

func (s *Server) listExecutions(w http.ResponseWriter, _ *http.Request) {
	for key, count := range s.Executions() {
		_, _ = fmt.Fprintln(w, key, count)
	}
}

// putBehaviour takes "service", "failing", "draining", "truncate" and "poison" as query parameters.
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
