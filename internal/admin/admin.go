// Package admin serves operators over HTTP: the state dump, metrics, live and ready, and draining.
//
// Connections from loopback need no key. Others have to present the fleet's key as a bearer token on
// every request. The package does not encrypt; off loopback it belongs on a private network.
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

// Limits of the server. Requests have no body and responses are at most a few megabytes.
const (
	maxHeader    = 8 << 10 // bytes
	maxBody      = 1 << 10 // bytes
	headerTime   = 2 * time.Second
	readTime     = 5 * time.Second
	writeTime    = 30 * time.Second
	idleTime     = time.Minute
	shutdownTime = 2 * time.Second
)

// DumpFunc returns a value for encoding/json.
type DumpFunc func(ctx context.Context) (any, error)

// Server serves operators. Its functions are called from several goroutines.
type Server struct {
	key     string
	logger  zerolog.Logger
	dump    DumpFunc
	ready   func() error
	drain   func(ctx context.Context) error
	metrics http.Handler
}

// Option configures a Server. A path whose option is not given is answered with 404, but for /live
// and /ready.
type Option func(*Server)

// WithDump serves the state at /dump.
func WithDump(dump DumpFunc) Option { return func(s *Server) { s.dump = dump } }

// WithReady asks a function at /ready; an error means not ready and is shown. Without it, the daemon
// is ready as soon as it serves.
func WithReady(ready func() error) Option { return func(s *Server) { s.ready = ready } }

// WithDrain starts draining on POST /drain. The function returns without waiting for the end.
func WithDrain(drain func(ctx context.Context) error) Option {
	return func(s *Server) { s.drain = drain }
}

// WithMetrics serves metrics at /metrics.
func WithMetrics(metrics http.Handler) Option { return func(s *Server) { s.metrics = metrics } }

// WithLogger logs refused and failed requests.
func WithLogger(logger zerolog.Logger) Option { return func(s *Server) { s.logger = logger } }

// New returns a server. With an empty key, only loopback is served.
func New(key string, options ...Option) *Server {
	s := &Server{key: key, logger: zerolog.Nop(), ready: func() error { return nil }}
	for _, option := range options {
		option(s)
	}

	return s
}

// Handler returns the handler with its checks.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /live", func(w http.ResponseWriter, _ *http.Request) { write(w, http.StatusOK, "live") })
	mux.HandleFunc("GET /ready", s.serveReady)

	if s.dump != nil {
		mux.HandleFunc("GET /dump", s.serveDump)
	}
	if s.metrics != nil {
		mux.Handle("GET /metrics", s.metrics)
	}
	if s.drain != nil {
		// A web page in a browser beside the daemon could otherwise send the request.
		mux.Handle("POST /drain", http.NewCrossOriginProtection().Handler(http.HandlerFunc(s.serveDrain)))
	}

	return s.authorize(http.MaxBytesHandler(mux, maxBody))
}

// Serve answers requests on a listener until the context ends. It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler:           s.Handler(),
		BaseContext:       func(net.Listener) context.Context { return ctx },
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: headerTime,
		ReadTimeout:       readTime,
		WriteTimeout:      writeTime,
		IdleTimeout:       idleTime,
		ErrorLog:          log.New(s.logger, "", 0),
	}

	return errors.Wrap(httpserve.Run(ctx, server, listener, shutdownTime), "serve operators")
}

func (s *Server) authorize(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if isLoopback(r.RemoteAddr) || s.hasKey(r) {
			next.ServeHTTP(w, r)

			return
		}

		s.logger.Warn().Str("remote", r.RemoteAddr).Str("path", r.URL.Path).Msg("refused a request without the fleet's key")
		w.Header().Set("WWW-Authenticate", "Bearer")
		write(w, http.StatusUnauthorized, "the fleet's key is required from this address")
	})
}

func isLoopback(remote string) bool {
	address, err := netip.ParseAddrPort(remote)

	return err == nil && address.Addr().Unmap().IsLoopback()
}

// hasKey compares hashes, because the time of the comparison would otherwise tell the key's length.
func (s *Server) hasKey(r *http.Request) bool {
	token, found := strings.CutPrefix(r.Header.Get("Authorization"), "Bearer ")
	given, want := sha256.Sum256([]byte(token)), sha256.Sum256([]byte(s.key))

	return subtle.ConstantTimeCompare(given[:], want[:]) == 1 && found && s.key != ""
}
