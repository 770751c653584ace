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
	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/task"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	metricsPrefix = "tarragonmill"
	// gaugeInterval is the time between two exports of values of the state.
	gaugeInterval = 2 * time.Second
)

// durationBuckets range from the time of a call between two daemons (250 µs) to that of long requests (8 s).
var durationBuckets = tally.MustMakeExponentialDurationBuckets(250*time.Microsecond, 2, 16)

// failedOutcome is the outcome of what has failed.
const failedOutcome = "failed"

// Names of labels. Each has few values: the services and kinds in the manifest, and constants of the code.
const (
	serviceLabel = "service"
	kindLabel    = "kind"
	outcomeLabel = "outcome"
	reasonLabel  = "reason"
	statusLabel  = "status"
	paceLabel    = "pace"
)

// StoreCounts holds totals of the calls to the platform's store and of the bytes that they transferred.
type StoreCounts struct {
	Answered, Failed, BytesRead, BytesWritten int64
}

// metrics holds the metrics of the daemon.
type metrics struct {
	exported *admin.Metrics
	scope    tally.Scope

	// queueTime is the time for which an attempt waits for a slot, serverTime that until the backend server has responded,
	// acceptTime that until the daemon beside the server reports that an attempt waits or runs, and hintAge the age of the
	// load report on which the choice of a server is based.
	queueTime, serverTime, acceptTime, hintAge tally.Histogram
	// scopes caches the scope of each set of labels. Without it, a look-up takes some microseconds.
	scopes sync.Map
	// lastTotals holds the totals that were last exported, by name and label value.
	lastTotals map[string]int64
}

// newMetrics returns metrics that the admin interface exports.
func newMetrics(logger zerolog.Logger) (*metrics, error) {
	exported, err := admin.NewMetrics(metricsPrefix, nil, logger)
	if err != nil {
		return nil, err
	}

	m := &metrics{exported: exported, scope: exported.Scope(), lastTotals: make(map[string]int64)}
	m.queueTime = m.scope.Histogram("queue_seconds", durationBuckets)
	m.serverTime = m.scope.Histogram("server_seconds", durationBuckets)
	m.acceptTime = m.scope.Histogram("accept_seconds", durationBuckets)
	m.hintAge = m.scope.Histogram("hint_age_seconds", durationBuckets)

	return m, nil
}

// noService is the service label of requests without a route, because all values of a metric need the same labels.
const noService = "none"

// countRequest counts a request, and records the time until its caller had the response.
func (m *metrics) countRequest(service string, kind manifest.Kind, outcome string, elapsed time.Duration) {
	if service == "" {
		service = noService
	}

	scope := m.withLabels(labels{service: service, kind: kind.String(), outcome: outcome})
	scope.Counter("requests_total").Inc(1)
	scope.Histogram("request_seconds", durationBuckets).RecordDuration(elapsed)
}

// countReason adds one to the counter of a name and a reason.
func (m *metrics) countReason(name, reason string) {
	m.withLabels(labels{reason: reason}).Counter(name).Inc(1)
}

// slowThreshold is the slowness from which metrics count a server as slow. 1 is the usual slowness.
const slowThreshold = 2

// addSlotTime adds the time for which an attempt occupied a slot of the server. slowness is that of the server when the
// attempt started.
func (m *metrics) addSlotTime(outcome string, slowness float64, elapsed time.Duration) {
	pace := "usual"
	if slowness >= slowThreshold {
		pace = "slow"
	}

	m.withLabels(labels{outcome: outcome, pace: pace}).Counter("slot_milliseconds_total").Inc(elapsed.Milliseconds())
}

// labels holds the values of labels. Empty ones are omitted.
type labels struct{ service, kind, outcome, reason, pace string }

// withLabels returns the scope with the labels.
func (m *metrics) withLabels(l labels) tally.Scope {
	if cached, ok := m.scopes.Load(l); ok {
		if scope, ok := cached.(tally.Scope); ok {
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

// countAttempt counts an attempt and records the age of the server's load report on which its choice is based.
func (m *metrics) countAttempt(e routing.Attempt) {
	m.countReason("attempts_total", string(e.Why))

	if e.Basis.Age >= 0 {
		m.hintAge.RecordDuration(e.Basis.Age)
	}
}

// exportTotal adds the growth of a total since the last export to a counter. It sets no label if label is empty.
func (m *metrics) exportTotal(name, label, value string, total int64) {
	key := name + "/" + value
	scope := m.scope

	if label != "" {
		scope = scope.Tagged(map[string]string{label: value})
	}

	scope.Counter(name).Inc(total - m.lastTotals[key])
	m.lastTotals[key] = total
}

// serveMetrics serves the metrics to operators.
func (d *Daemon) serveMetrics(w http.ResponseWriter, r *http.Request) {
	d.metrics.exported.Handler().ServeHTTP(w, r)
}

// updateGauges exports values of the state at each gaugeInterval until ctx ends.
func (d *Daemon) updateGauges(ctx context.Context) error {
	for ctx.Err() == nil {
		task.Sleep(ctx, gaugeInterval)
		d.exportState()
	}

	return errors.Wrap(d.metrics.exported.Close(), "end metrics")
}

// exportState exports the present values of the state and the growth of totals.
func (d *Daemon) exportState() {
	d.mutex.Lock()
	now := d.now()
	state := d.state.Dump(now)
	d.mutex.Unlock()

	m := d.metrics
	m.exportServer(state)
	m.exportMembers(state)
	m.exportEvacuations(state)
	m.scope.Gauge("manifest_version").Update(float64(state.Version))
	m.scope.Gauge("requests").Update(float64(state.Requests))
	m.scope.Gauge("suspects").Update(float64(len(state.Suspects.Reports)))
	m.exportTotal("crashes_total", "", "", int64(state.Crashes))

	for service, left := range state.Routing.Budgets {
		m.scope.Tagged(map[string]string{serviceLabel: service}).Gauge("repeats_left").Update(left)
	}

	m.exportHedges(state.Routing)

	traffic := d.traffic()
	m.exportTotal("dials_total", "to", "daemon", traffic.PeerDials)
	m.exportTotal("dials_total", "to", "server", traffic.ServerDials)
	m.exportTotal("foreign_responses_total", "", "", traffic.Foreign)
	m.exportTotal("beat_errors_total", "", "", traffic.BeatErrors)
	m.exportTotal("log_lines_left_out_total", "", "", int64(traffic.LinesLeftOut))
	d.configReads.export(m)
	d.exportQuota(state)
	d.exportEpoch()
	d.exportHeld()
	d.exportStore()
}

// exportHedges exports the totals of hedged attempts and what is left of their limits.
func (m *metrics) exportHedges(state routing.Dump) {
	counts := state.Counts
	m.exportTotal("hedges_total", outcomeLabel, "sent", int64(counts.Hedges))
	m.exportTotal("hedges_total", outcomeLabel, "won", int64(counts.HedgesWon))
	m.exportTotal("hedges_total", outcomeLabel, "lost", int64(counts.HedgesLost))
	m.exportTotal("delayed_hedges_total", "", "", int64(counts.DelayedHedges))
	m.exportTotal("hedge_milliseconds_total", "", "", counts.HedgeTime.Milliseconds())

	for _, left := range state.Hedges {
		if left.Route == "" {
			scope := m.scope.Tagged(map[string]string{serviceLabel: left.Service})
			scope.Gauge("hedges_left").Update(left.Requests)
			scope.Gauge("hedge_work_left_seconds").Update(left.Work.Seconds())
		}
	}
}

func (d *Daemon) exportStore() {
	if d.platform.StoreCounts == nil {
		return
	}

	counts := d.platform.StoreCounts()
	d.metrics.exportTotal("store_calls_total", outcomeLabel, "answered", counts.Answered)
	d.metrics.exportTotal("store_calls_total", outcomeLabel, failedOutcome, counts.Failed)
	d.metrics.exportTotal("store_bytes_total", "direction", "read", counts.BytesRead)
	d.metrics.exportTotal("store_bytes_total", "direction", "written", counts.BytesWritten)
}

func (m *metrics) exportServer(state core.Dump) {
	open := 0.0
	if state.Admission.Closed == "" {
		open = 1
	}

	cold := 0.0
	if state.Health.ColdFor > 0 {
		cold = 1
	}

	m.scope.Gauge("server_open").Update(open)
	m.scope.Gauge("server_running").Update(float64(state.Admission.Running))
	m.scope.Gauge("server_waiting").Update(float64(state.Admission.Waiting))
	m.scope.Gauge("server_slots").Update(float64(state.Admission.Slots))
	m.scope.Gauge("server_limit").Update(state.Health.Limit.PerSecond)
	m.scope.Gauge("server_cold").Update(cold)
	m.scope.Gauge("server_slowness").Update(state.Health.Slowness)
	m.scope.Gauge("server_failing").Update(state.Health.Failing)
	m.exportTenants(state.Admission)
	m.exportTotal("probes_total", "", "", int64(state.Health.Counts.Probes))
}

// exportTenants exports how the attempts that wait for the server are distributed over tenants.
func (m *metrics) exportTenants(state admission.Dump) {
	waiting, most := 0, 0

	for _, tenant := range state.Tenants {
		most = max(most, tenant.Waiting)

		if tenant.Waiting > 0 {
			waiting++
		}
	}

	m.scope.Gauge("server_waiting_tenants").Update(float64(waiting))
	m.scope.Gauge("server_waiting_most").Update(float64(most))
	m.exportTotal("displaced_total", "", "", int64(state.Counts.Displaced))
	m.exportTotal("lower_rank_turns_total", "", "", int64(state.Counts.Turns))
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
