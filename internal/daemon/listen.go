package daemon

import (
	"cmp"
	"context"
	"io"
	"log"
	"net"
	"net/http"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/attempt"
	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/httpserve"
	"github.com/tarragonmill/tarragonmill/internal/settings"
)

const (
	// Limits of callers' connections, which the manifest can replace.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10 // bytes
	// pipelineLimit bounds the requests of one connection that are in progress at once.
	pipelineLimit = 32

	// Limits of the servers for readiness checks, announcements of the backend server, and operators.
	auxHeaderTimeout   = 2 * time.Second
	auxReadTimeout     = 5 * time.Second
	auxWriteTimeout    = 10 * time.Second
	auxMaxHeader       = 16 << 10 // bytes
	auxIdleTimeout     = time.Minute
	auxShutdownTimeout = 500 * time.Millisecond
)

// peerLimits returns the limits of connections of other daemons, which keep unused connections for less than
// IdleTimeout. A call between daemons has the body of a caller's request and the byte that commits it.
func (d *Daemon) peerLimits() http1.Limits {
	largest := cmp.Or(d.callerLimits().Body, http1.DefaultMaxBody)

	return http1.Limits{
		Header: attempt.MaxHead, Body: largest + attempt.CommitSize, HeaderTimeout: 10 * time.Second,
		BodyTimeout: bodyTimeout, IdleTimeout: time.Minute, Pipeline: 1, Connections: d.peerConnections,
		Rate: minBodyRate,
	}
}

// callerLimits returns the limits of connections of callers.
func (d *Daemon) callerLimits() http1.Limits {
	limits := d.limitCallers(http1.Limits{
		Header: maxHeader, HeaderTimeout: headerTimeout, BodyTimeout: bodyTimeout,
		IdleTimeout: idleTimeout, Pipeline: pipelineLimit,
	})

	m := d.manifest.Load()
	if m == nil {
		return limits
	}

	if m.Limits.Header > 0 {
		limits.Header = m.Limits.Header
	}

	if m.Limits.Body > 0 {
		limits.Body = m.Limits.Body
	}

	if m.Limits.HeaderTimeout > 0 {
		limits.HeaderTimeout = m.Limits.HeaderTimeout
	}

	if m.Limits.IdleTimeout > 0 {
		limits.IdleTimeout = m.Limits.IdleTimeout
	}

	return limits
}

// Sockets are the open sockets of a daemon.
type Sockets struct {
	Caller, Peer net.Listener
	// Beats receives the datagrams of other daemons. It has the address of Peer.
	Beats *net.UDPConn
	// Ready, Announce and Admin are nil if the settings have no address for them.
	Ready, Announce, Admin net.Listener
}

// WithSockets sets sockets that are already open. Run opens those that are nil at the addresses in the settings.
func WithSockets(sockets Sockets) Option {
	return func(d *Daemon) { d.sockets = sockets }
}

// Open opens the sockets that are nil and for which the settings have an address. It returns an error if one cannot be
// opened.
func (s *Sockets) Open(ctx context.Context, addresses settings.Listen) error {
	for _, socket := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{
		{&s.Caller, addresses.Caller},
		{&s.Peer, addresses.Peer},
		{&s.Ready, addresses.Ready},
		{&s.Announce, addresses.Announce},
		{&s.Admin, addresses.Admin},
	} {
		if *socket.listener != nil || !socket.address.IsValid() {
			continue
		}

		config := net.ListenConfig{KeepAliveConfig: http1.KeepAliveConfig()}

		opened, err := config.Listen(ctx, "tcp", socket.address.String())
		if err != nil {
			return errors.Wrap(err, "open socket")
		}

		*socket.listener = opened
	}

	if s.Beats != nil {
		return nil
	}

	peer, err := netip.ParseAddrPort(s.Peer.Addr().String())
	if err != nil {
		return errors.Wrap(err, "address of the peer socket")
	}

	s.Beats, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(peer))

	return errors.Wrap(err, "open socket")
}

// maxStartWait is the longest time that callers' connections wait for the first manifest. A caller gives up a request
// that is not read within a second.
const maxStartWait = 400 * time.Millisecond

// serveCallers serves callers once there is a manifest; until then, connections wait in the socket's queue. After
// maxStartWait, it serves without a manifest, so that requests are refused rather than kept waiting.
func (d *Daemon) serveCallers(ctx context.Context) error {
	waiting, cancel := context.WithTimeout(ctx, maxStartWait)
	defer cancel()

	select {
	case <-d.manifestReady:
	case <-waiting.Done():
	}

	return d.callers.Serve(ctx, d.sockets.Caller)
}

// auxiliaryServers returns the actors that serve readiness checks, announcements and operators. These get few requests
// and use net/http.
func (d *Daemon) auxiliaryServers() []func(context.Context) error {
	var actors []func(context.Context) error

	add := func(listener net.Listener, handler http.Handler, expectsBody bool) {
		if listener == nil || handler == nil {
			return
		}

		server := &http.Server{
			Handler: limitBodies(handler, expectsBody), ReadHeaderTimeout: auxHeaderTimeout, ReadTimeout: auxReadTimeout, IdleTimeout: auxIdleTimeout,
			WriteTimeout: auxWriteTimeout, MaxHeaderBytes: auxMaxHeader, ErrorLog: log.New(io.Discard, "", 0),
		}

		httpserve.LimitConnections(server, auxConnections)

		actors = append(actors, func(ctx context.Context) error {
			return errors.Wrap(httpserve.Run(ctx, server, listener, auxShutdownTimeout), "serve")
		})
	}

	ready := http.NewServeMux()
	ready.HandleFunc("GET "+d.platform.ReadyPath, d.serveReady)
	add(d.sockets.Ready, ready, false)

	if d.platform.AnnouncementHandler != nil {
		add(d.sockets.Announce, d.platform.AnnouncementHandler(d), true)
	}

	add(d.sockets.Admin, d.newAdmin().Handler(), false)

	return actors
}

// serveReady responds to a readiness check.
func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := d.checkReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)

		return
	}

	w.WriteHeader(http.StatusOK)
}
