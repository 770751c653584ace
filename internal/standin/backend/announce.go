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

// Announcer announces a server to its daemon at an interval, as a backend server on the users' platform does.
type Announcer struct {
	// DaemonAddress is the address at which the daemon accepts announcements.
	DaemonAddress netip.AddrPort
	// Address is the address at which the server accepts requests.
	Address netip.AddrPort
	Service string
	Domain  string
	// Slots is the number of slots of the server. NewAnnouncer sets it.
	Slots int
	// Interval is the time between two announcements.
	Interval time.Duration
	// Born is when the server started, as the announcements state it.
	Born time.Time

	name     string
	sequence int64
	client   http.Client
}

// NewAnnouncer returns a copy of a that announces the server, with the server's name and slots.
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
		// An error is ignored: the next announcement follows after the interval.
		_ = a.Announce(ctx, "ready")

		select {
		case <-ticker.C:
		case <-ctx.Done():
		}
	}
}

// Announce sends one announcement with a state, "ready" or "draining". It returns an error if the daemon did not
// acknowledge it.
func (a *Announcer) Announce(ctx context.Context, state string) error {
	a.sequence++

	// Encoding a map of strings and numbers cannot fail.
	body, _ := json.Marshal(map[string]any{
		"address": a.Address.String(), "born": a.Born.UnixMilli(),
		"info":   map[string]any{"service": a.Service, "version": "v1", "zone": a.Domain, "slots": a.Slots},
		"status": map[string]any{"state": state, "sequence": a.sequence, "coldRemainingMs": 0},
	})

	return a.post(ctx, "/Instances.Heartbeat/"+a.name, string(body))
}

// Withdraw deregisters the server, which leaves for good. It returns an error if the daemon did not acknowledge that.
func (a *Announcer) Withdraw(ctx context.Context) error {
	body, _ := json.Marshal(map[string]any{"born": a.Born.UnixMilli()})

	return a.post(ctx, "/Instances.Deregister/"+a.name, string(body))
}

func (a *Announcer) post(ctx context.Context, path, body string) error {
	r, err := http.NewRequestWithContext(ctx, http.MethodPost,
		"http://"+a.DaemonAddress.String()+path, strings.NewReader(body))
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
