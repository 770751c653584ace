package peer

import (
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/httpserve"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/peer/peerpb"
	"github.com/tarragonmill/tarragonmill/internal/peer/peerpb/peerpbconnect"
)

const (
	// maxHeader in bytes is far above what a daemon sends.
	maxHeader = 16 << 10
	// MaxMessage is the largest control message in bytes. Parts of a handover stay below it.
	MaxMessage = 4 << 20
	// idleTimeout closes connections of peers that are no neighbours any more.
	idleTimeout = time.Minute
	// headerTimeout bounds how long a connection may take to send a request's header.
	headerTimeout = 5 * time.Second
	// readTimeout bounds how long a control call may take to send its message.
	readTimeout = 5 * time.Second
	// writeTimeout bounds how long a control call may take in all, with the reading of its response.
	writeTimeout = 15 * time.Second
	// shutdownTimeout bounds how long running calls may take after the context has ended. Connections on
	// which no call was made yet count as busy to net/http and are cut off then.
	shutdownTimeout = 5 * time.Second
	maxStreams      = 250
)

// Server answers control calls, and passes other paths to a handler for the data traffic.
type Server struct {
	key   Key
	http  *http.Server
	meter Meter
}

// ServerOption configures a Server.
type ServerOption func(*serverOptions)

type serverOptions struct {
	data   http.Handler
	errors *log.Logger
}

// WithData serves all paths outside the control service. The handler authenticates its requests itself,
// because the Authorization header of a data request belongs to the caller, and sets its own read
// deadlines.
func WithData(handler http.Handler) ServerOption {
	return func(o *serverOptions) { o.data = handler }
}

// WithErrorLog sets where errors of connections go, for example handshakes that a peer gave up. By
// default they are dropped, because callers see them too.
func WithErrorLog(logger *log.Logger) ServerOption {
	return func(o *serverOptions) { o.errors = logger }
}

// NewServer returns a server for a handler. It returns ErrNoKey for an empty key.
func NewServer(secret string, handler Handler, options ...ServerOption) (*Server, error) {
	key, err := NewKey(secret)
	if err != nil {
		return nil, err
	}

	chosen := serverOptions{data: http.NotFoundHandler(), errors: log.New(io.Discard, "", 0)}
	for _, option := range options {
		option(&chosen)
	}

	server := &Server{key: key}
	path, control := peerpbconnect.NewControlHandler(service{handler}, connect.WithReadMaxBytes(MaxMessage))
	mux := http.NewServeMux()
	mux.Handle(path, server.authorized(server.limited(control)))
	mux.Handle("/", chosen.data)

	var protocols http.Protocols

	protocols.SetHTTP1(true)
	protocols.SetUnencryptedHTTP2(true)

	server.http = &http.Server{
		Handler:           mux,
		Protocols:         &protocols,
		ErrorLog:          chosen.errors,
		MaxHeaderBytes:    maxHeader,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       idleTimeout,
		HTTP2:             &http.HTTP2Config{MaxConcurrentStreams: maxStreams},
		ConnContext: func(ctx context.Context, conn net.Conn) context.Context {
			return context.WithValue(ctx, connKey{}, conn)
		},
	}

	return server, nil
}

// Meter counts the bytes of the connections that carried a control call.
func (s *Server) Meter() *Meter { return &s.meter }

// Serve accepts connections until the context ends, then waits a bounded time for running calls.
// It closes the listener.
func (s *Server) Serve(ctx context.Context, listener net.Listener) error {
	return errors.Wrap(httpserve.Run(ctx, s.http, meteredListener{listener}, shutdownTimeout), "serve peers")
}

type connKey struct{}

// authorized refuses requests that do not present the shared key.
func (s *Server) authorized(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if !s.key.Match(r.Header.Get(authorization)) {
			w.WriteHeader(http.StatusUnauthorized)

			return
		}

		next.ServeHTTP(w, r)
	})
}

// limited bounds size and time of a control message, and counts the connection as a control one.
func (s *Server) limited(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if conn, ok := r.Context().Value(connKey{}).(*meteredConn); ok {
			conn.attribute(&s.meter)
		}

		// HTTP/2 streams and HTTP/1 connections both support deadlines; a failure to set one leaves
		// the size limit and the caller's own timeout.
		controller, now := http.NewResponseController(w), time.Now()
		_ = controller.SetReadDeadline(now.Add(readTimeout))

		if r.ProtoMajor > 1 {
			// On an HTTP/1 connection the deadline would hold for later requests too.
			_ = controller.SetWriteDeadline(now.Add(writeTimeout))
		}

		r.Body = http.MaxBytesReader(w, r.Body, MaxMessage)
		// The date costs 20 bytes in each response, and no peer reads it.
		w.Header()["Date"] = nil

		next.ServeHTTP(w, r)
	})
}

// service maps the generated interface to Handler.
type service struct{ handler Handler }

func invalid(err error) error { return connect.NewError(connect.CodeInvalidArgument, err) }

func (s service) Exchange(
	ctx context.Context, r *connect.Request[peerpb.ExchangeRequest],
) (*connect.Response[peerpb.ExchangeResponse], error) {
	exchange, err := decodeExchange(r.Msg)
	if err != nil {
		return nil, invalid(err)
	}

	answer, err := s.handler.Exchange(ctx, exchange)
	if err != nil {
		return nil, err
	}

	return connect.NewResponse(encodeExchangeResponse(answer)), nil
}

func (s service) Members(
	ctx context.Context, r *connect.Request[peerpb.MembersRequest],
) (*connect.Response[peerpb.MembersResponse], error) {
	page, err := s.handler.Members(ctx, decodePageRequest(r.Msg))
	if err != nil {
		return nil, err
	}

	return connect.NewResponse(encodePage(page)), nil
}

func (s service) Records(
	ctx context.Context, r *connect.Request[peerpb.RecordsRequest],
) (*connect.Response[peerpb.RecordsResponse], error) {
	records, err := s.handler.Records(ctx, RecordsRequest{Stream: r.Msg.GetStream(), From: r.Msg.GetFrom()})
	if err != nil {
		return nil, err
	}

	return connect.NewResponse(encodeRecords(records)), nil
}

func (s service) Handover(
	ctx context.Context, r *connect.Request[peerpb.HandoverRequest],
) (*connect.Response[peerpb.HandoverResponse], error) {
	handover, err := decodeHandover(r.Msg)
	if err != nil {
		return nil, invalid(err)
	}

	if err := s.handler.Handover(ctx, handover); err != nil {
		return nil, err
	}

	return connect.NewResponse(&peerpb.HandoverResponse{}), nil
}

func (s service) Report(
	ctx context.Context, r *connect.Request[peerpb.ReportRequest],
) (*connect.Response[peerpb.ReportResponse], error) {
	if err := s.handler.Report(ctx, mapAll(r.Msg.GetSuspects(), decodeSuspect)); err != nil {
		return nil, err
	}

	return connect.NewResponse(&peerpb.ReportResponse{}), nil
}

func (s service) Probe(
	ctx context.Context, _ *connect.Request[peerpb.ProbeRequest],
) (*connect.Response[peerpb.ProbeResponse], error) {
	hint, err := s.handler.Probe(ctx)
	if err != nil {
		return nil, err
	}

	return connect.NewResponse(encodeHint(hint)), nil
}

func (s service) Announce(
	ctx context.Context, r *connect.Request[peerpb.AnnounceRequest],
) (*connect.Response[peerpb.AnnounceResponse], error) {
	throughs := mapAll(r.Msg.GetThroughs(), decodeThrough)
	if err := s.handler.Announce(ctx, instance.ID(r.Msg.GetFrom()), throughs); err != nil {
		return nil, err
	}

	return connect.NewResponse(&peerpb.AnnounceResponse{}), nil
}

func (s service) Append(
	ctx context.Context, r *connect.Request[peerpb.AppendRequest],
) (*connect.Response[peerpb.AppendResponse], error) {
	if err := s.handler.Append(ctx, r.Msg.GetRecord()); err != nil {
		return nil, err
	}

	return connect.NewResponse(&peerpb.AppendResponse{}), nil
}
