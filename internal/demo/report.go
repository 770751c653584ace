package demo

import (
	"fmt"
	"io"
	"maps"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/tarragonmill/tarragonmill/internal/fleet"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

// report collects the outcomes of requests. It is safe for concurrent use until write is called.
type report struct {
	mutex sync.Mutex
	// firstSendLatency has the latencies of requests that were sent once, totalLatency those of all requests with their
	// resends, in microseconds.
	firstSendLatency *hdrhistogram.Histogram
	totalLatency     *hdrhistogram.Histogram
	// outcomes counts the final results by their text.
	outcomes map[string]int
	// refusals counts the results of earlier sends by their text, resent the requests that had such a result.
	refusals map[string]int
	resent   int
	// wrongResponses describes responses that belong to another request or are incomplete.
	wrongResponses []string
	// orders holds the final results of the orders by idempotency key.
	orders map[string][]outcome

	// elapsed is the time since the start of the load, sincePublish the time since the manifest was published.
	elapsed      time.Duration
	sincePublish time.Duration
	probes       uint64
	// controlBytes is the control traffic of the daemons, daemons their number.
	controlBytes int64
	daemons      int
}

func newReport() *report {
	return &report{
		firstSendLatency: newHistogram(), totalLatency: newHistogram(),
		outcomes: map[string]int{}, refusals: map[string]int{}, orders: map[string][]outcome{},
	}
}

// newHistogram returns a histogram for latencies in microseconds.
func newHistogram() *hdrhistogram.Histogram {
	const significantDigits = 3

	return hdrhistogram.New(1, int64(time.Minute/time.Microsecond), significantDigits)
}

func (r *report) add(c callerRequest, o outcome) {
	r.mutex.Lock()
	defer r.mutex.Unlock()

	r.outcomes[o.text]++
	// The caller's timeout keeps the value within the range of the histogram.
	_ = r.totalLatency.RecordValue(o.latency.Microseconds())

	if len(o.refusals) > 0 {
		r.resent++
	} else {
		_ = r.firstSendLatency.RecordValue(o.latency.Microseconds())
	}

	for _, reason := range o.refusals {
		r.refusals[reason]++
	}
	if c.key != "" {
		r.orders[c.key] = append(r.orders[c.key], o)
	}

	success := o.status == http.StatusOK || o.status == http.StatusCreated
	if success && !strings.HasPrefix(o.body, c.wantPrefix) {
		r.wrongResponses = append(r.wrongResponses, fmt.Sprintf("%s %s got %.80q", c.method, c.target, o.body))
	}
}

// readDaemons adds up the control traffic of the daemons. The traffic of a daemon before its restart is not counted.
func (r *report) readDaemons(f *fleet.Fleet) {
	for _, i := range f.Instances {
		r.controlBytes += i.Daemon.Dump().Traffic.Control
		r.daemons++
	}
}

func (r *report) write(out io.Writer, executions map[string]int) error {
	writeLine(out, r.elapsed, "all requests have their final result")
	_, _ = fmt.Fprintln(out, "\nFinal results:")
	writeCounts(out, r.outcomes)
	_, _ = fmt.Fprintf(out, "Refusals on the way, after which the caller sent the request again (%d requests):\n", r.resent)
	writeCounts(out, r.refusals)
	_, _ = fmt.Fprintf(out, "Latency, of which %s are work:\n", serviceTime)
	writeLatency(out, "answered at once", r.firstSendLatency)
	writeLatency(out, "with pauses and resends", r.totalLatency)
	_, _ = fmt.Fprintf(out, "Control traffic: %.1f KB/s per daemon\n",
		float64(r.controlBytes)/1000/r.sincePublish.Seconds()/float64(r.daemons))

	return r.check(out, executions)
}

func writeCounts(out io.Writer, counts map[string]int) {
	for _, text := range slices.Sorted(maps.Keys(counts)) {
		_, _ = fmt.Fprintf(out, "  %-28s %d\n", text, counts[text])
	}
}

func writeLatency(out io.Writer, name string, histogram *hdrhistogram.Histogram) {
	at := func(q float64) time.Duration {
		return (time.Duration(histogram.ValueAtQuantile(q)) * time.Microsecond).Round(100 * time.Microsecond)
	}
	_, _ = fmt.Fprintf(out, "  %-28s p50 %s, p99 %s, max %s\n", name, at(50), at(99), at(100))
}

// check writes a line per guarantee and returns ErrGuarantee if one did not hold.
func (r *report) check(out io.Writer, executions map[string]int) error {
	repeated, falseNotRun, falseAnswered := r.checkOrders(executions)
	budget := r.probeBudget()
	held := true

	_, _ = fmt.Fprintln(out, "\nGuarantees:")

	for _, line := range []struct {
		ok     bool
		format string
		args   []any
	}{
		{float64(r.probes) <= budget, "G1 probes within the budget: %d of %.0f", []any{r.probes, budget}},
		{len(r.wrongResponses) == 0, "G2 responses of another request, or not whole: %d", []any{len(r.wrongResponses)}},
		{falseNotRun == 0, "G3 orders reported as not run that ran: %d", []any{falseNotRun}},
		{repeated == 0, "G4 orders that ran more than once: %d of %d", []any{repeated, len(r.orders)}},
		{r.connectionsLost() == 0, "G6 requests cut off while a daemon restarted: %d", []any{r.connectionsLost()}},
		{falseAnswered == 0, "   orders reported as taken that did not run: %d", []any{falseAnswered}},
	} {
		mark := "held  "
		if !line.ok {
			mark, held = "BROKEN", false
		}

		_, _ = fmt.Fprintf(out, "  %s  %s\n", mark, fmt.Sprintf(line.format, line.args...))
	}

	for _, text := range r.wrongResponses[:min(len(r.wrongResponses), 3)] {
		_, _ = fmt.Fprintln(out, "  "+text)
	}

	if !held {
		return ErrGuarantee
	}

	return nil
}

// connectionsLost returns the number of sends whose connection ended before the whole response. No daemon crashes in
// the demo, so only a shutdown can be the cause.
func (r *report) connectionsLost() int {
	return r.refusals[connectionLost] + r.outcomes[connectionLost]
}

// checkOrders compares the verdicts on orders with their executions at the backend servers. A verdict covers what was
// sent with the key so far, and the order may still run when it is sent again. So falseNotRun counts only keys for
// which the final result of every sender is "not run".
func (r *report) checkOrders(executions map[string]int) (repeated, falseNotRun, falseAnswered int) {
	for key, outcomes := range r.orders {
		ran := executions[key]
		if ran > 1 {
			repeated++
		}

		notRun := !slices.ContainsFunc(outcomes, func(o outcome) bool { return o.verdict != verdict.NotRun })
		if notRun && ran > 0 {
			falseNotRun++
		}

		taken := slices.ContainsFunc(outcomes, func(o outcome) bool { return o.status == http.StatusCreated })
		if taken && ran == 0 {
			falseAnswered++
		}
	}

	return repeated, falseNotRun, falseAnswered
}

// probeBudget returns the number of probes that the manifest allows for the time since it was published.
func (r *report) probeBudget() float64 {
	m, err := manifest.Parse("demo", []byte(fleet.Manifest))
	if err != nil {
		return 0
	}

	total := 0.0
	for _, service := range m.Services {
		total += service.Budget.Probes
	}

	return total * r.sincePublish.Seconds()
}
