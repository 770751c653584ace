package daemon

import (
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
	// Limits of callers' connections until the manifest says others.
	headerTimeout = 5 * time.Second
	bodyTimeout   = 30 * time.Second
	idleTimeout   = 2 * time.Minute
	maxHeader     = 64 << 10
	// pipelineLimit is the number of requests of one connection that are in progress at once.
	pipelineLimit = 32

	// Limits of the small servers for platform, backend server and operators.
	smallHeaderTime = 2 * time.Second
	smallReadTime   = 5 * time.Second
	smallHeader     = 16 << 10
	smallIdleTime   = time.Minute
	smallShutdown   = 500 * time.Millisecond
)

// peerLimits bound connections of other daemons. They keep unused connections for less time.
var peerLimits = http1.Limits{
	Header: attempt.MaxHead, HeaderTimeout: 10 * time.Second, BodyTimeout: bodyTimeout, IdleTimeout: time.Minute, Pipeline: 1,
}

// callerLimits bound connections of callers.
func (d *Daemon) callerLimits() http1.Limits {
	limits := http1.Limits{
		Header: maxHeader, HeaderTimeout: headerTimeout, BodyTimeout: bodyTimeout,
		IdleTimeout: idleTimeout, Pipeline: pipelineLimit,
	}

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
	// Beats has the address of Peer.
	Beats *net.UDPConn
	// Ready, Announce and Admin are nil if the settings name no address for them.
	Ready, Announce, Admin net.Listener
}

// WithSockets uses sockets that are already open; those that are nil are opened as the settings say.
func WithSockets(sockets Sockets) Option {
	return func(d *Daemon) { d.sockets = sockets }
}

// Open opens the sockets that are nil and for which the settings name an address.
func (s *Sockets) Open(ctx context.Context, at settings.Listen) error {
	for _, socket := range []struct {
		listener *net.Listener
		address  netip.AddrPort
	}{
		{&s.Caller, at.Caller},
		{&s.Peer, at.Peer},
		{&s.Ready, at.Ready},
		{&s.Announce, at.Announce},
		{&s.Admin, at.Admin},
	} {
		if *socket.listener != nil || !socket.address.IsValid() {
			continue
		}

		config := net.ListenConfig{KeepAliveConfig: http1.KeepAlive()}

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

// startLimit is the longest time that callers wait for a daemon that starts. A caller gives a request up that is
// not read within a second.
const startLimit = 400 * time.Millisecond

// serveCallers takes requests once there is a manifest; until then, connections wait in the socket's queue. After
// startLimit, requests are refused rather than kept waiting.
func (d *Daemon) serveCallers(ctx context.Context) error {
	waiting, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()

	select {
	case <-d.manifested:
	case <-waiting.Done():
	}

	return d.callers.Serve(ctx, d.sockets.Caller)
}

// smallActors returns the servers of net/http, for what is asked rarely.
func (d *Daemon) smallActors() []func(context.Context) error {
	var actors []func(context.Context) error

	add := func(listener net.Listener, handler http.Handler) {
		if listener == nil || handler == nil {
			return
		}

		server := &http.Server{
			Handler: handler, ReadHeaderTimeout: smallHeaderTime, ReadTimeout: smallReadTime, IdleTimeout: smallIdleTime,
			MaxHeaderBytes: smallHeader, ErrorLog: log.New(io.Discard, "", 0),
		}

		actors = append(actors, func(ctx context.Context) error {
			return errors.Wrap(httpserve.Run(ctx, server, listener, smallShutdown), "serve")
		})
	}

	ready := http.NewServeMux()
	ready.HandleFunc("GET "+d.platform.ReadyPath, d.serveReady)
	add(d.sockets.Ready, ready)

	if d.platform.AnnouncementHandler != nil {
		add(d.sockets.Announce, d.platform.AnnouncementHandler(d))
	}

	add(d.sockets.Admin, d.newAdmin().Handler())

	return actors
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if err := d.checkReady(); err != nil {
		http.Error(w, err.Error(), http.StatusServiceUnavailable)

		return
	}

	w.WriteHeader(http.StatusOK)
}
