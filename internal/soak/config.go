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
	// configTime is how long after its publication a configuration is in force everywhere.
	maxConfigDelay = 3 * time.Second
	// probeGap is the time between two questions which configuration is in force at a node.
	configProbeInterval = 400 * time.Millisecond
)

// configuration is what was published. Each version has a host of its own, which no other version has.
type configuration struct {
	mutex       sync.Mutex
	version     int
	publishedAt time.Time
}

func (c *configuration) latest() (int, time.Time) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	return c.version, c.publishedAt
}

func versionHost(version int) string { return fmt.Sprintf("version-%d.example", version) }

// publish puts the next version into the store, as the operator does.
func (s *Soak) publish() {
	s.config.mutex.Lock()
	defer s.config.mutex.Unlock()

	s.config.version += 3
	s.config.publishedAt = time.Now()
	s.store.Put(platform.ConfigTopic, platform.ConfigKey, []byte(configText(s.config.version)))
}

func configText(version int) string {
	var rows []string

	route := func(host, prefix, kind, service string) {
		rows = append(rows, fmt.Sprintf(`[%q,%q,%q,%q,%d,600,1,%q,2]`,
			fmt.Sprintf("route-%d", len(rows)), host, prefix, kind, routeTimeout.Milliseconds(), service))
	}

	for _, service := range []string{"stockdesk", "routehall"} {
		route(service+".example", "/stock/", "safe", service)
		route(service+".example", "/label/", "download", service)
		// The stand-in takes orders at /orders, which is no prefix that ends with a slash.
		route(service+".example", "/", "unsafe", service)
	}

	route(versionHost(version), "/stock/", "safe", "stockdesk")

	return fmt.Sprintf(`{"version":"r%d","routes":{"columns":["name","hostname","pathPrefix","routeType","timeoutMs",`+
		`"targetLatencyMs","priority","service","maxAttempts"],"rows":[%s]},`+
		`"services":{"columns":["name","healthPath","maxConnections"],"rows":[["stockdesk","/health",100],["routehall","/health",100]]}}`,
		version, strings.Join(rows, ","))
}

func newProbeClient() *http.Client {
	return &http.Client{Timeout: callerTimeout, Transport: &http.Transport{DisableKeepAlives: true}}
}

// probe sends one lookup to a host and returns the status, or zero.
func (s *Soak) sendLookup(client *http.Client, n *node, host, id string) int {
	return s.send(client, n, lookupPath, host, id).status
}

// watchConfiguration asks every node again and again which configuration is in force: the latest after some time, and
// never an older one than before.
func (s *Soak) watchConfiguration(ctx context.Context) {
	client := newProbeClient()
	seen := make(map[string]seenVersion)

	for number := 0; task.Sleep(ctx, configProbeInterval); number++ {
		for _, n := range s.nodes {
			seen[n.name] = s.checkVersion(client, n, seen[n.name], number)
		}
	}
}

// seenVersion is the newest version that was in force in one run of a daemon.
type seenVersion struct{ run, version int }

func (s *Soak) checkVersion(client *http.Client, n *node, before seenVersion, number int) seenVersion {
	version, published := s.config.latest()
	asked, run := time.Now(), n.daemon.runNumber()
	status := s.sendLookup(client, n, versionHost(version), fmt.Sprintf("config-%s-%d", n.name, number))

	// The answer says nothing if the daemon was restarted or the version was replaced meanwhile.
	if now, _ := s.config.latest(); now != version || run != n.daemon.runNumber() {
		return before
	}

	if status == http.StatusNotFound {
		late := asked.Sub(published) > maxConfigDelay && s.disturbance.calmSince(asked.Add(-maxConfigDelay-calmTime))
		if late {
			s.results.addViolation("CONFIG", "%s does not have version %d, published %s before", n.name, version, asked.Sub(published))
		}

		if before == (seenVersion{run: run, version: version}) {
			s.results.addViolation("CONFIG", "%s had version %d and has it no more", n.name, version)
		}

		return before
	}

	if isSuccess(status) {
		return seenVersion{run: run, version: version}
	}

	return before
}
