package soak

import (
	"net/http"
	"time"
)

// withdrawnKeyInterval is the number of requests of a caller of which one presents a withdrawn key.
const withdrawnKeyInterval = 12

// sendWithdrawnKey sends a lookup with a key that the previous version of the configuration had. It must not be served
// once every daemon must use the latest version. While the store is disturbed, a daemon may use an older version.
func (s *Soak) sendWithdrawnKey(client *http.Client, n *node, host, id string) {
	version, published := s.config.latest()
	sent := s.sendWithKey(client, n, sentRequest{
		host: host, id: id, node: n.name, path: lookupPath, idempotent: true, key: rotatingKey(version - versionStep),
	})

	overdue := sent.begun.Sub(published) > maxConfigDelay &&
		s.disturbance.calmSince(sent.begun.Add(-maxConfigDelay-calmTime))

	if overdue && isSuccess(sent.status) {
		s.results.addViolation("CONFIG", "%s served request %s with a key that was withdrawn %s before",
			n.name, id, sent.begun.Sub(published).Round(time.Millisecond))
	}
}

// checkTenant checks that a server that ran a request got the tenant of its key and not the key.
func (s *Soak) checkTenant(sent sentRequest, ran execution) {
	want := callerTenant
	if sent.key != callerKey {
		want = rotatingTenant
	}

	if ran.tenant != want {
		s.results.addViolation("UNASKED", "%s ran request %s for the tenant %q, want %q", ran.server, sent.id, ran.tenant, want)
	}

	if ran.credential != "" {
		s.results.addViolation("UNASKED", "%s got the API key of request %s", ran.server, sent.id)
	}
}
