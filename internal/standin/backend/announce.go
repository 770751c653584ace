package backend

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
)

// Announcer tells a daemon of a server from time to time, as a backend server on the users' platform does.
type Announcer struct {
	// Control is the address of the daemon that takes announcements.
	DaemonAddress netip.AddrPort
	// Address is where the server takes requests.
	Address netip.AddrPort
	Service string
	Domain  string
	Slots   int
	// Interval between announcements.
	Interval time.Duration
	// Born is the start of the server.
	Born time.Time

	name     string
	sequence int64
	client   http.Client
}

// NewAnnouncer returns an announcer of the server.
func (s *Server) NewAnnouncer(a Announcer) *Announcer {
	a.name, a.Slots = s.name, cap(s.slots)
	a.client.Timeout = time.Second

	return &a
}

// Run announces the server as ready until ctx ends.
func (a *Announcer) Run(ctx context.Context) {
	ticker := time.NewTicker(a.Interval)
	defer ticker.Stop()

	for ctx.Err() == nil {
		// A daemon that does not answer is told again.
		_ = a.Announce(ctx, "ready")

		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Announce sends one announcement with a state; an error means that it was not acknowledged.
func (a *Announcer) Announce(ctx context.Context, state string) error {
	a.sequence++

	// A map of texts and numbers can always be encoded.
	body, _ := json.Marshal(map[string]any{
		"address": a.Address.String(), "born": a.Born.UnixMilli(),
		"info":   map[string]any{"service": a.Service, "version": "v1", "zone": a.Domain, "slots": a.Slots},
		"status": map[string]any{"state": state, "sequence": a.sequence, "coldRemainingMs": 0},
	})

	return a.post(ctx, "/Instances.Heartbeat/"+a.name, string(body))
}

// Withdraw says that the server leaves for good.
func (a *Announcer) Withdraw(ctx context.Context) error {
	body, _ := json.Marshal(map[string]any{"born": a.Born.UnixMilli()})

	return a.post(ctx, "/Instances.Deregister/"+a.name, string(body))
}

func (a *Announcer) post(ctx context.Context, path, body string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+a.DaemonAddress.String()+path, strings.NewReader(body))
	if err != nil {
		return errors.Wrap(err, "build announcement")
	}

	response, err := a.client.Do(r)
	if err != nil {
		return errors.Wrap(err, "announce")
	}

	defer func() { _ = response.Body.Close() }()

	if response.StatusCode != http.StatusOK {
		return errors.Newf("announcement answered with %s", response.Status)
	}

	return nil
}
