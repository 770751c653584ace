package backend

import (
	"context"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/http1"
)

// Reachable reports whether the server accepts connections.
func (s *Server) Reachable(ctx context.Context) bool {
	dialer := net.Dialer{Timeout: connectTimeout}

	connection, err := dialer.DialContext(ctx, "tcp", s.pool.Address().String())
	if err != nil {
		return false
	}

	_ = connection.Close()

	return true
}

// Health is the response of a server to a probe.
type Health struct {
	Healthy  bool
	Draining bool
	// Instance is the ID of the server that answered; empty if it states none.
	Instance ID
	// Load is the load that the server reported, if HasLoad is set. It may be that of the probe before.
	Load    dialect.Load
	HasLoad bool
	// Limit is what the answer says of the number of requests that the server allows.
	Limit Statement
	// ColdFor is the remaining time for which the server is cold, if HasCold is set.
	ColdFor time.Duration
	HasCold bool
	// Repeated is set if the probe was sent twice.
	Repeated bool
}

// statement returns what does not change from one answer to the next while the server stays in the same state. Of the
// cold time, which runs down, it is whether there is any.
func (h Health) statement() Health {
	h.Load, h.HasLoad = dialect.Load{}, false
	h.ColdFor = min(h.ColdFor, 1)

	return h
}

// maxHealthBody is the largest part of the body of a health response that is read, in bytes.
const maxHealthBody = 4 << 10

// Probe sends a GET request to the server's health path. A health response names no probe, so that one on a connection
// which has carried other requests may be a copy of an earlier one. If it states something new, or there is none, Probe
// sends a second probe on a new connection. Errors are those of Do and of reading the body.
func (s *Server) Probe(ctx context.Context, path string) (Health, error) {
	call := Call{
		Request: http1.Request{
			Method: http.MethodGet, Target: path, Host: s.pool.Address().String(), Header: http.Header{},
			OmitZeroLength: true,
		},
		AnyConnection: true,
	}

	health, reused, err := s.probe(ctx, call)

	repeated := reused && ctx.Err() == nil && (err != nil || !s.hasStated(health))
	if repeated {
		call.AnyConnection = false
		health, reused, err = s.probe(ctx, call)
	}

	if !reused && err == nil {
		stated := health.statement()
		s.stated.Store(&stated)
	}

	health.Repeated = repeated

	return health, err
}

// hasStated reports whether the server has stated the same before.
func (s *Server) hasStated(health Health) bool {
	stated := s.stated.Load()

	return stated != nil && *stated == health.statement()
}

// probe sends one probe. It reports whether its connection has carried other requests.
func (s *Server) probe(ctx context.Context, call Call) (health Health, reused bool, err error) {
	c, err := s.connect(ctx, call)
	if err != nil {
		return Health{}, false, err
	}

	// Another call may use the connection once the response is read.
	reused = c.Reused()

	response, err := s.exchange(ctx, c, call)
	if err != nil {
		return Health{}, reused, err
	}

	_, err = io.Copy(io.Discard, io.LimitReader(response.Body, maxHealthBody))
	_ = response.Body.Close()

	return Health{
		Healthy: response.Status == http.StatusOK, Draining: response.Draining, Instance: response.Instance,
		Load: response.Load, HasLoad: response.HasLoad, Limit: response.Limit,
		ColdFor: response.ColdFor, HasCold: response.HasCold,
	}, reused, errors.Wrap(err, "read health response")
}
