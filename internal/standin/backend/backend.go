// Package backend stands in for a backend server: it has slots, counts executions per idempotency
// key, and can be slow, drain, refuse, fail fast or crash.
//
// Paths: GET /stock/{id} is a lookup, POST /orders an order, GET /label/{size} a download of size
// bytes with a strong validator, POST /crash kills the server. A crash closes the listener and all
// connections.
package backend

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// Behaviour is how the server treats requests. Values are immutable.
type Behaviour struct {
	// Service is the time that a request holds a slot.
	Service time.Duration
	// Failing makes every request fail at once with status 500.
	Failing bool
	// Draining makes the server refuse new work and state so.
	Draining bool
	// Truncate breaks off downloads after this many bytes; zero for never.
	Truncate int64
	// Poison is a substring of request bodies that crash the server.
	Poison string
}

// Server is one backend server.
type Server struct {
	name  string
	slots chan struct{}

	mutex      sync.Mutex
	behaviour  Behaviour
	executions map[string]int
	served     int
	last       time.Time
	server     *http.Server
	crashed    bool
}

// New returns a server that runs up to slots requests at once.
func New(name string, slots int, behaviour Behaviour) *Server {
	return &Server{
		name: name, slots: make(chan struct{}, slots), behaviour: behaviour,
		executions: make(map[string]int),
	}
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

// Set changes the behaviour.
func (s *Server) Set(behaviour Behaviour) {
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

// Executions returns how often each key ran.
func (s *Server) Executions() map[string]int {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	counts := make(map[string]int, len(s.executions))
	for key, count := range s.executions {
		counts[key] = count
	}

	return counts
}

// Served returns the number of requests that ran and when the last one started.
func (s *Server) Served() (int, time.Time) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.served, s.last
}

func (s *Server) handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /health", s.health)
	mux.HandleFunc("GET /executions", s.listExecutions)
	mux.HandleFunc("PUT /behaviour", s.putBehaviour)
	mux.HandleFunc("GET /stock/{id}", s.run(s.stock))
	mux.HandleFunc("POST /orders", s.run(s.order))
	mux.HandleFunc("GET /label/{size}", s.run(s.label))
	mux.HandleFunc("POST /crash", func(http.ResponseWriter, *http.Request) { s.Crash() })

	return mux
}

func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if s.Behaviour().Draining {
		w.Header().Set(backend.StateHeader, backend.StateDraining)
	}
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

		behaviour.Service = service
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
		behaviour.Truncate, _ = strconv.ParseInt(text, 10, 64)
	}

	s.Set(behaviour)
}

// run holds a slot for the service time and records the execution.
func (s *Server) run(next http.HandlerFunc) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		behaviour := s.Behaviour()
		if behaviour.Draining {
			w.Header().Set(backend.VerdictHeader, verdict.NotRun.String())
			http.Error(w, "draining", http.StatusServiceUnavailable)

			return
		}

		if behaviour.Failing {
			http.Error(w, "failing", http.StatusInternalServerError)

			return
		}

		select {
		case s.slots <- struct{}{}:
		case <-r.Context().Done():
			return
		}

		defer func() { <-s.slots }()

		s.record(r.Header.Get("Idempotency-Key"))

		select {
		case <-time.After(behaviour.Service):
			next(w, r)
		case <-r.Context().Done():
		}
	}
}

func (s *Server) record(key string) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.served++
	s.last = time.Now()

	if key != "" {
		s.executions[key]++
	}
}

func (s *Server) stock(w http.ResponseWriter, r *http.Request) {
	_, _ = fmt.Fprintf(w, "stock of %s at %s\n", r.PathValue("id"), s.name)
}

func (s *Server) order(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}

	if poison := s.Behaviour().Poison; poison != "" && strings.Contains(string(body), poison) {
		s.Crash()

		return
	}

	w.WriteHeader(http.StatusCreated)
	_, _ = fmt.Fprintf(w, "order %s taken by %s\n", r.Header.Get("Idempotency-Key"), s.name)
}

// label writes a download whose bytes depend on the offset only, so that every server offers the
// same representation.
func (s *Server) label(w http.ResponseWriter, r *http.Request) {
	size, err := strconv.ParseInt(r.PathValue("size"), 10, 64)
	if err != nil || size < 0 {
		http.Error(w, "size is not a number", http.StatusBadRequest)

		return
	}

	w.Header().Set("ETag", strconv.Quote("label-"+strconv.FormatInt(size, 10)))

	writer := w
	if limit := s.Behaviour().Truncate; limit > 0 {
		writer = &truncatingWriter{ResponseWriter: w, left: limit}
	}

	http.ServeContent(writer, r, "label.bin", time.Time{}, &Pattern{size: size})
}

// truncatingWriter aborts the connection after some bytes.
type truncatingWriter struct {
	http.ResponseWriter
	left int64
}

func (t *truncatingWriter) Write(data []byte) (int, error) {
	if int64(len(data)) > t.left {
		_, _ = t.ResponseWriter.Write(data[:t.left])
		_ = http.NewResponseController(t.ResponseWriter).Flush()

		panic(http.ErrAbortHandler)
	}

	t.left -= int64(len(data))
	n, err := t.ResponseWriter.Write(data)

	return n, errors.Wrap(err, "write label")
}
