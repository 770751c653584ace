package daemon

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/uber-go/tally/v4"

	"github.com/tarragonmill/tarragonmill/internal/admin"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	metricsPrefix = "tarragonmill"
	// gaugeInterval is the time between two updates of the values that are read from the state.
	gaugeInterval = 2 * time.Second
)

// buckets of times in milliseconds: from a hop between two daemons to the longest requests.
var buckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)

// Names of labels. Each has few values: services and kinds of the manifest, and the reasons of the code.
const (
	serviceLabel = "service"
	kindLabel    = "kind"
	outcomeLabel = "outcome"
	reasonLabel  = "reason"
	statusLabel  = "status"
	paceLabel    = "pace"
)

// StoreCounts are totals of the calls to the platform's store.
type StoreCounts struct {
	Answered, Failed, BytesRead, BytesWritten int64
}

// metrics counts what the log tells line by line.
type metrics struct {
	exported *admin.Metrics
	scope    tally.Scope

	queueTime, serviceTime, acceptTime, hintAge tally.Histogram
	// scopes keeps the scope of each set of labels, which takes some microseconds to look up by the labels.
	scopes sync.Map
	// last are the totals that were exported, by name.
	last map[string]int64
}

// newMetrics returns metrics that are exported, or counted for nobody if that fails.
func newMetrics(logger zerolog.Logger) (*metrics, error) {
	exported, err := admin.NewMetrics(metricsPrefix, nil, logger)
	if err != nil {
		return nil, err
	}

	m := &metrics{exported: exported, scope: exported.Scope(), last: make(map[string]int64)}
	m.queueTime = m.scope.Histogram("queue_seconds", buckets)
	m.serviceTime = m.scope.Histogram("server_seconds", buckets)
	m.acceptTime = m.scope.Histogram("accept_seconds", buckets)
	m.hintAge = m.scope.Histogram("hint_age_seconds", buckets)

	return m, nil
}

// noService stands for the service of a request that no route takes: every value of a metric needs the same labels.
const noService = "none"

// request counts a request by how it ended for its caller.
func (m *metrics) request(service string, kind manifest.Kind, outcome string, elapsed time.Duration) {
	if service == "" {
		service = noService
	}

	tagged := m.tagged(labels{service: service, kind: kind.String(), outcome: outcome})
	tagged.Counter("requests_total").Inc(1)
	tagged.Histogram("request_seconds", buckets).RecordDuration(elapsed)
}

// countReason adds one to a counter that tells reasons apart.
func (m *metrics) countReason(name, reason string) {
	m.tagged(labels{reason: reason}).Counter(name).Inc(1)
}

// slowPace is the slowness from which on a server counts as slow in metrics.
const slowPace = 2

// slotTime adds the time that a request took a slot of the server, which worked with a slowness when it began.
func (m *metrics) slotTime(outcome string, slowness float64, elapsed time.Duration) {
	pace := "usual"
	if slowness >= slowPace {
		pace = "slow"
	}

	m.tagged(labels{outcome: outcome, pace: pace}).Counter("slot_milliseconds_total").Inc(elapsed.Milliseconds())
}

// labels of what is counted for each request; empty ones are left out.
type labels struct{ service, kind, outcome, reason, pace string }

// tagged returns the scope with the labels.
func (m *metrics) tagged(l labels) tally.Scope {
	if known, ok := m.scopes.Load(l); ok {
		if scope, ok := known.(tally.Scope); ok {
			return scope
		}
	}

	tags := make(map[string]string)

	for name, value := range map[string]string{
		serviceLabel: l.service, kindLabel: l.kind, outcomeLabel: l.outcome, reasonLabel: l.reason,
		paceLabel: l.pace,
	} {
		if value != "" {
			tags[name] = value
		}
	}

	scope := m.scope.Tagged(tags)
	m.scopes.Store(l, scope)

	return scope
}

// sent counts an attempt and the age of what it was decided on.
func (m *metrics) sent(e routing.Attempt) {
	m.countReason("attempts_total", string(e.Why))

	if e.Basis.Age >= 0 {
		m.hintAge.RecordDuration(e.Basis.Age)
	}
}

// total exports the growth of a total that is counted elsewhere.
func (m *metrics) total(name, label, value string, total int64) {
	key := name + "/" + value
	scope := m.scope

	if label != "" {
		scope = scope.Tagged(map[string]string{label: value})
	}

	scope.Counter(name).Inc(total - m.last[key])
	m.last[key] = total
}

func (d *Daemon) serveMetrics(w http.ResponseWriter, r *http.Request) {
	d.metrics.exported.Handler().ServeHTTP(w, r)
}

// updateGauges exports values of the state from time to time until ctx ends.
func (d *Daemon) updateGauges(ctx context.Context) error {
	for ctx.Err() == nil {
		task.Sleep(ctx, gaugeInterval)
		d.exportState()
	}

	return errors.Wrap(d.metrics.exported.Close(), "end metrics")
}

func (d *Daemon) exportState() {
	d.mutex.Lock()
	now := d.now()
	state := d.state.Dump(now)
	d.mutex.Unlock()

	m := d.metrics
	m.exportServer(state)
	m.exportMembers(state)
	m.scope.Gauge("manifest_version").Update(float64(state.Version))
	m.scope.Gauge("requests").Update(float64(state.Requests))
	m.scope.Gauge("suspects").Update(float64(len(state.Suspects.Reports)))
	m.total("crashes_total", "", "", int64(state.Crashes))

	for service, left := range state.Routing.Budgets {
		m.scope.Tagged(map[string]string{serviceLabel: service}).Gauge("repeats_left").Update(left)
	}

	traffic := d.traffic()
	m.total("dials_total", "to", "daemon", traffic.PeerDials)
	m.total("dials_total", "to", "server", traffic.ServerDials)
	m.total("foreign_responses_total", "", "", traffic.Foreign)
	m.total("beat_errors_total", "", "", traffic.BeatErrors)
	m.total("log_lines_left_out_total", "", "", int64(traffic.LinesLeftOut))
	d.exportStore()
}

func (d *Daemon) exportStore() {
	if d.platform.StoreCounts == nil {
		return
	}

	counts := d.platform.StoreCounts()
	d.metrics.total("store_calls_total", outcomeLabel, "answered", counts.Answered)
	d.metrics.total("store_calls_total", outcomeLabel, "failed", counts.Failed)
	d.metrics.total("store_bytes_total", "direction", "read", counts.BytesRead)
	d.metrics.total("store_bytes_total", "direction", "written", counts.BytesWritten)
}

func (m *metrics) exportServer(state core.Dump) {
	open := 0.0
	if state.Admission.Closed == "" {
		open = 1
	}

	m.scope.Gauge("server_open").Update(open)
	m.scope.Gauge("server_running").Update(float64(state.Admission.Running))
	m.scope.Gauge("server_waiting").Update(float64(state.Admission.Waiting))
	m.scope.Gauge("server_slots").Update(float64(state.Admission.Slots))
	m.scope.Gauge("server_slowness").Update(state.Health.Slowness)
	m.scope.Gauge("server_failing").Update(state.Health.Failing)
	m.total("probes_total", "", "", int64(state.Health.Counts.Probes))
}

func (m *metrics) exportMembers(state core.Dump) {
	counts := make(map[instance.Status]int)
	for _, p := range state.Membership.Peers {
		counts[p.Member.Status]++
	}

	for _, status := range []instance.Status{instance.Alive, instance.Accused, instance.Draining} {
		m.scope.Tagged(map[string]string{statusLabel: status.String()}).Gauge("members").Update(float64(counts[status]))
	}
}
