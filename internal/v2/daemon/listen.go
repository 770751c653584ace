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

	"github.com/tarragonmill/tarragonmill/internal/http1"
	"github.com/tarragonmill/tarragonmill/internal/httpserve"
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
	smallIdleTime   = time.Minute
	smallShutdown   = 500 * time.Millisecond
)

// peerLimits bound connections of other daemons. They keep unused connections for less time.
var peerLimits = http1.Limits{
	Header: 256 << 10, HeaderTimeout: 10 * time.Second, BodyTimeout: bodyTimeout, IdleTimeout: time.Minute, Pipeline: 1,
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

// sockets are the open sockets of a daemon.
type sockets struct {
	caller, peer net.Listener
	small        []smallServer
}

// smallServer is a server of net/http, for what is asked rarely.
type smallServer struct {
	listener net.Listener
	server   *http.Server
}

func (s smallServer) serve(ctx context.Context) error {
	return errors.Wrap(httpserve.Run(ctx, s.server, s.listener, smallShutdown), "serve")
}

func (d *Daemon) listen(ctx context.Context) (sockets, error) {
	chosen := d.settings.Load()
	config := net.ListenConfig{KeepAliveConfig: http1.KeepAlive()}

	var opened sockets

	open := func(address netip.AddrPort) (net.Listener, error) {
		listener, err := config.Listen(ctx, "tcp", address.String())

		return listener, errors.Wrap(err, "open socket")
	}

	var err error

	if opened.caller, err = open(chosen.Listen.Caller); err != nil {
		return opened, err
	}

	if opened.peer, err = open(chosen.Listen.Peer); err != nil {
		return opened, err
	}

	if d.beats, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(chosen.Listen.Peer)); err != nil {
		return opened, errors.Wrap(err, "open socket")
	}

	for address, handler := range d.smallHandlers() {
		listener, err := open(address)
		if err != nil {
			return opened, err
		}

		opened.small = append(opened.small, smallServer{listener: listener, server: &http.Server{
			Handler: handler, ReadHeaderTimeout: smallHeaderTime, IdleTimeout: smallIdleTime,
			ErrorLog: log.New(io.Discard, "", 0),
		}})
	}

	return opened, nil
}

// smallHandlers returns what is served at the addresses of the settings that are set.
func (d *Daemon) smallHandlers() map[netip.AddrPort]http.Handler {
	chosen := d.settings.Load()
	handlers := make(map[netip.AddrPort]http.Handler)

	if chosen.Listen.Ready.IsValid() {
		mux := http.NewServeMux()
		mux.HandleFunc("GET "+d.platform.ReadyPath, d.serveReady)
		handlers[chosen.Listen.Ready] = mux
	}

	if chosen.Listen.Announce.IsValid() && d.platform.Announced != nil {
		handlers[chosen.Listen.Announce] = d.platform.Announced(d)
	}

	return handlers
}

func (d *Daemon) serveReady(w http.ResponseWriter, _ *http.Request) {
	if !d.Ready() {
		http.Error(w, errNotReady.Error(), http.StatusServiceUnavailable)

		return
	}

	w.WriteHeader(http.StatusOK)
}
