package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/platform"
)

const (
	// maxConfigDelay is the longest time from the publication of a configuration until every daemon must use it.
	maxConfigDelay = 3 * time.Second
	// configProbeInterval is the time between two checks which configuration the nodes use.
	configProbeInterval = 400 * time.Millisecond
	// versionStep is the difference of two successive versions.
	versionStep = 3
)

const (
	// callerTenant is the tenant of all callers, and callerKey its API key.
	callerTenant = "oak"
	callerKey    = "key-of-oak"
	// rotatingTenant has another key in each version of the configuration.
	rotatingTenant = "elm"
)

// rotatingKey returns the key that rotatingTenant has in one version only.
func rotatingKey(version int) string { return fmt.Sprintf("key-of-elm-%d", version) }

// configuration is the latest published configuration. Each version has a route for a host that no other version has,
// so that a request to this host shows whether a daemon uses the version.
type configuration struct {
	mutex       sync.Mutex
	version     int
	publishedAt time.Time
}

// latest returns the version and the time of its publication.
func (c *configuration) latest() (int, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.version, c.publishedAt
}

// versionHost returns the host that only the given version of the configuration has.
func versionHost(version int) string { return fmt.Sprintf("version-%d.example", version) }

// publish publishes the next version in the store, as an operator does.
func (s *Soak) publish() {
	s.config.mutex.Lock()
	defer s.config.mutex.Unlock()

	s.config.version += versionStep
	s.config.publishedAt = time.Now()
	s.store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(configText(s.config.version)))
}

// restoreStore makes the store come back from a copy of the given age, and writes the newest version again, as an operator
// does. Versions between the copy and the newest one stay lost.
func (s *Soak) restoreStore(age time.Duration) {
	s.config.mutex.Lock()
	defer s.config.mutex.Unlock()

	s.store.Restore(age)
	s.store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(configText(s.config.version)))
}

// configText returns the configuration in the format of the users' platform. No route names the service spare.
func configText(version int) string {
	var rows []string

	route := func(host, prefix, kind, service string) {
		rows = append(rows, fmt.Sprintf(`[%q,%q,%q,%q,%d,600,1,%q,2]`,
			fmt.Sprintf("route-%d", len(rows)), host, prefix, kind, routeTimeout.Milliseconds(), service))
	}

	for _, service := range []string{"stockdesk", "routehall"} {
		route(service+".example", "/stock/", "safe", service)
		route(service+".example", "/label/", "download", service)
		// Prefixes have to end with a slash, and the stand-in accepts orders at /orders without one.
		route(service+".example", "/", "unsafe", service)
	}

	route(versionHost(version), "/stock/", "safe", "stockdesk")

	return fmt.Sprintf(`{"version":"r%d","routes":{"columns":["name","hostname","pathPrefix","routeType","timeoutMs",`+
		`"targetLatencyMs","priority","service","maxAttempts"],"rows":[%s]},`+
		`"services":{"columns":["name","healthPath","maxConnections"],"rows":[["stockdesk","/health",100],["routehall","/health",100],["spare","/health",100]]},`+
		`"tenants":%s}`,
		version, strings.Join(rows, ","), platform.EncodeTenants(
			platform.TenantKey{Tenant: callerTenant, Key: callerKey},
			platform.TenantKey{Tenant: rotatingTenant, Key: rotatingKey(version)},
		))
}

// newProbeClient returns a client that opens a connection for each request.
func newProbeClient() *http.Client {
	return &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// sendLookup sends one lookup to a node and returns the status, or zero if there was no whole response.
func (s *Soak) sendLookup(client *http.Client, n *node, host, id string) int {
	return s.send(client, n, lookupPath, host, id).status
}

// watchConfiguration checks until ctx ends that every node uses the latest configuration within maxConfigDelay, and
// never goes back to an older one.
func (s *Soak) watchConfiguration(ctx context.Context) {
	client := newProbeClient()
	seen := make(map[string]seenVersion)

	for number := 0; task.Sleep(ctx, configProbeInterval); number++ {
		for _, n := range s.nodes {
			seen[n.name] = s.checkVersion(client, n, seen[n.name], number)
		}
	}
}

// seenVersion is the newest version that a run of a daemon has used, as far as observed.
type seenVersion struct{ run, version int }

// checkVersion checks whether a node uses the latest configuration. It returns the newest version that the node's
// daemon has used; previous is the result of the previous check.
func (s *Soak) checkVersion(client *http.Client, n *node, previous seenVersion, number int) seenVersion {
	version, published := s.config.latest()
	sent, run := time.Now(), n.daemon.runNumber()
	status := s.sendLookup(client, n, versionHost(version), fmt.Sprintf("config-%s-%d", n.name, number))

	// The response is not conclusive if the daemon was restarted or another version was published meanwhile.
	if now, _ := s.config.latest(); now != version || run != n.daemon.runNumber() {
		return previous
	}

	if status == http.StatusNotFound {
		overdue := sent.Sub(published) > maxConfigDelay && s.disturbance.calmSince(sent.Add(-maxConfigDelay-calmTime))
		if overdue {
			s.results.addViolation("CONFIG", "%s does not use version %d, which was published %s before",
				n.name, version, sent.Sub(published))
		}

		if previous == (seenVersion{run: run, version: version}) {
			s.results.addViolation("CONFIG", "%s used version %d before and no longer does", n.name, version)
		}

		return previous
	}

	if isSuccess(status) {
		return seenVersion{run: run, version: version}
	}

	return previous
}
