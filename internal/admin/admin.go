// Package admin implements the HTTP interface for operators: state dump, metrics, liveness, readiness and draining.
//
// Connections from loopback need no key. Requests from other addresses must present the fleet's key as a bearer token.
// The server does not use TLS; outside loopback, it must only listen on a private network.
package admin

import (
	"context"
	"crypto/sha256"
	"crypto/subtle"
	"log"
	"net"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"

	"github.com/tarragonmill/tarragonmill/internal/httpserve"
)

// Limits of the server. Requests have no body, and responses have at most a few megabytes.
const (
	maxHeader       = 8 << 10 // bytes
	maxBody         = 1 << 10 // bytes
	headerTimeout   = 2 * time.Second
	readTimeout     = 5 * time.Second
	writeTimeout    = 30 * time.Second
	idleTimeout     = time.Minute
	shutdownTimeout = 2 * time.Second
)

// DumpFunc returns the state as a value that encoding/json can encode.
type DumpFunc func(ctx context.Context) (any, error)

// Server serves the requests of operators. It calls the functions of its options from several goroutines.
type Server struct {
	key     string
	logger  zerolog.Logger
	dump    DumpFunc
	ready   func() error
	drain   func(ctx context.Context) error
	metrics http.Handler
}

// Option configures a Server. Without its option, a path is answered with 404, except for /live and /ready.
type Option func(*Server)

// WithDump serves /dump with the state that the function dump returns.
func WithDump(dump DumpFunc) Option { return func(s *Server) { s.dump = dump } }

// WithReady sets the function that decides the response of /ready: an error means not ready, and its text is the
// response body. Without this option, the daemon is ready as soon as it serves.
func WithReady(ready func() error) Option { return func(s *Server) { s.ready = ready } }

// WithDrain sets the function that POST /drain calls to start draining. The function must not wait for the end of
// draining.
func WithDrain(drain func(ctx context.Context) error) Option {
	return func(s *Server) { s.drain = drain }
}

// WithMetrics serves metrics at /metrics.
func WithMetrics(metrics http.Handler) Option { return func(s *Server) { s.metrics = metrics } }

// WithLogger logs refused and failed requests.
func WithLogger(logger zerolog.Logger) Option { return func(s *Server) { s.logger = logger } }

// New returns a server. With an empty key, it serves only requests from loopback.
func New(key string, options ...Option) *Server {
	s := &Server{key: key, logger: zerolog.Nop(), ready: func() error { return nil }}
	for _, option := range options {
		option(s)
	}

	return s
}

// Handler returns the handler for all paths, which also checks the key.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { writeText(w, http.StatusOK, "live") })
	mux.HandleFunc("GET /ready", s.serveReady)

	if s.dump != nil {
		mux.HandleFunc("GET /dump", s.serveDump)
	}
	if s.metrics != nil {
		mux.Handle("GET /metrics", s.metrics)
	}
	if s.drain != nil {
		// Without the protection, a web page in a browser on the instance could send the request.
		mux.Handle("POST /drain", http.NewCrossOriginProtection().Handler(http.HandlerFunc(s.serveDrain)))
	}

	return s.authorize(http.MaxBytesHandler(mux, maxBody))
}

// Serve serves requests on a listener until ctx ends. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: headerTimeout,
		ReadTimeout:       readTimeout,
		WriteTimeout:      writeTimeout,
		IdleTimeout:       idleTimeout,
		ErrorLog:          log.New(s.logger, "", 0),
	}

	return errors.Wrap(httpserve.Run(ctx, server, listener, shutdownTimeout), "serve admin interface")
}

func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isLoopback(r.RemoteAddr) || s.hasKey(r) {
			next.ServeHTTP(w, r)

			return
		}

		s.logger.Warn().Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Msg("refused a request without the fleet's key")
		w.Header().Set("WWW-Authenticate", "Bearer")
		writeText(w, http.StatusUnauthorized, "the fleet's key is required from this address")
	})
}

func isLoopback(remote string) bool {
	address, err := netip.ParseAddrPort(remote)

	return err == nil && address.Addr().Unmap().IsLoopback()
}

// hasKey reports whether a request presents the fleet's key. It compares hashes, because the duration of comparing the
// keys would reveal the key's length.
func (s *Server) hasKey(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	given, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(s.key))

	return subtle.ConstantTimeCompare(given[:], want[:]) == 1 && found && s.key != ""
}
