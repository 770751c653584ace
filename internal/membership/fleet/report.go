package fleet

import (
	"fmt"
	"math"
	"runtime"
	"strings"
	"time"
)

// Fit is a line through points, by least squares.
type Fit struct {
	Intercept, Slope float64
	// Error is the standard error of the residuals, with two degrees of freedom taken off.
	Error float64
	x     []float64
}

// NewFit returns the line through at least two different points.
func NewFit(x, y []float64) Fit {
	n := float64(len(x))

	var sx, sy, sxx, sxy float64
	for i := range x {
		sx, sy = sx+x[i], sy+y[i]
		sxx, sxy = sxx+x[i]*x[i], sxy+x[i]*y[i]
	}

	fit := Fit{x: x}
	fit.Slope = (n*sxy - sx*sy) / (n*sxx - sx*sx)
	fit.Intercept = (sy - fit.Slope*sx) / n

	var squares float64
	for i := range x {
		squares += math.Pow(y[i]-fit.At(x[i]), 2)
	}

	if n > 2 {
		fit.Error = math.Sqrt(squares / (n - 2))
	}

	return fit
}

// At returns the line's value.
func (f Fit) At(x float64) float64 { return f.Intercept + f.Slope*x }

// ErrorAt returns the standard error of a prediction at x.
func (f Fit) ErrorAt(x float64) float64 {
	n := float64(len(f.x))

	var mean, spread float64
	for _, value := range f.x {
		mean += value / n
	}

	for _, value := range f.x {
		spread += (value - mean) * (value - mean)
	}

	return f.Error * math.Sqrt(1+1/n+(x-mean)*(x-mean)/spread)
}

// target is the number of daemons that the fleet is designed for.
const target = 610

// quantity is one measured figure.
type quantity struct {
	name, unit string
	limit      string
	value      func(Result) float64
}

func quantities() []quantity {
	return []quantity{
		{"bytes idle", "B/s", "6000", func(r Result) float64 { return r.Idle.Bytes }},
		{"bytes idle, largest daemon", "B/s", "6000", func(r Result) float64 { return r.Idle.Largest }},
		{"CPU idle", "% of a core", "2.2", func(r Result) float64 { return r.Idle.CPU }},
		{"bytes under churn", "B/s", "6000", func(r Result) float64 { return r.Churning.Bytes }},
		{"bytes under churn, largest daemon", "B/s", "6000", func(r Result) float64 { return r.Churning.Largest }},
		{"CPU under churn", "% of a core", "2.2", func(r Result) float64 { return r.Churning.CPU }},
		{"spread of a drain, p50", "ms", "", func(r Result) float64 { return r.Spread.P50 }},
		{"spread of a drain, p99", "ms", "", func(r Result) float64 { return r.Spread.P99 }},
		{"spread of a drain, max", "ms", "2000", func(r Result) float64 { return r.Spread.Max }},
		{"start to ready, p50", "ms", "", func(r Result) float64 { return r.Ready.P50 }},
		{"start to ready, max", "ms", "1000", func(r Result) float64 { return r.Ready.Max }},
		{"start to ready, whole fleet starting, p50", "ms", "", func(r Result) float64 { return r.Cold.P50 }},
		{"start to ready, whole fleet starting, max", "ms", "", func(r Result) float64 { return r.Cold.Max }},
		{"start of whole fleet to equal tables", "s", "", func(r Result) float64 { return r.Settled }},
		{"start to ready, failure domain restarting, p50", "ms", "", func(r Result) float64 { return r.Mass.P50 }},
		{"start to ready, failure domain restarting, max", "ms", "", func(r Result) float64 { return r.Mass.Max }},
		{"restart of a failure domain to equal tables", "s", "", func(r Result) float64 { return r.Restored }},
		{"heap and stacks", "KiB", "131072", func(r Result) float64 { return r.Heap }},
	}
}

// Report formats results as Markdown, with a line through the sizes up to a largest one. Larger sizes
// are a check of the line.
func Report(results []Result, fitted int, command, commit string) string {
	var b strings.Builder

	config := results[0].Config
	fmt.Fprintf(&b, "# Measurements of membership\n\n")
	fmt.Fprintf(&b, "All daemons run in one process and exchange over loopback sockets. Each figure is per daemon. "+
		"Bytes are counted at the connections in both directions, with HTTP/2 framing and headers and without TCP and IP "+
		"headers. CPU is that of the process, with the harness, divided by the number of daemons. "+
		"Loopback has no delay; the region link adds 20 ms to the spread and 40 ms per page to a start.\n\n")
	fmt.Fprintf(&b, "- Command: `%s`\n- Seed: %d\n- Commit: %s\n- Go: %s, %d processors\n", command, config.Seed, commit, runtime.Version(), runtime.NumCPU())
	fmt.Fprintf(&b, "- Phases: idle and churn %s each; churn replaces one daemon per %s in the whole fleet "+
		"(the target is one per 6 min); %d drains and %d starts timed\n\n", config.Window, config.Churn, config.Drains, config.Starts)

	b.WriteString("| Quantity | Unit |")
	for _, r := range results {
		fmt.Fprintf(&b, " %d |", r.Size)
	}

	fmt.Fprintf(&b, " Line through sizes to %d | Error | At %d | Limit |\n|---|---|%s---|---|---|---|\n",
		fitted, target, strings.Repeat("---|", len(results)))

	for _, q := range quantities() {
		b.WriteString(row(q, results, fitted))
	}

	fmt.Fprintf(&b, "\nThe line is a least-squares fit; n is the number of daemons. Error is the standard error of its "+
		"residuals, with one degree of freedom for three sizes, and the figure at %d carries the standard error of the prediction.\n", target)

	return b.String()
}

func row(q quantity, results []Result, fitted int) string {
	var (
		b    strings.Builder
		x, y []float64
	)

	fmt.Fprintf(&b, "| %s | %s |", q.name, q.unit)

	for _, r := range results {
		value := q.value(r)
		fmt.Fprintf(&b, " %.4g |", value)

		if r.Size <= fitted {
			x, y = append(x, float64(r.Size)), append(y, value)
		}
	}

	if len(x) < 2 {
		fmt.Fprintf(&b, " - | - | - | %s |\n", q.limit)

		return b.String()
	}

	fit := NewFit(x, y)
	fmt.Fprintf(&b, " %.4g + %.4g n | %.3g | %.4g ± %.2g | %s |\n",
		fit.Intercept, fit.Slope, fit.Error, fit.At(target), fit.ErrorAt(target), q.limit)

	return b.String()
}

// Summary formats a result for progress output.
func (r Result) Summary() string {
	return fmt.Sprintf("%d daemons: idle %.0f B/s, %.2f %% CPU; churn %.0f B/s, %.2f %% CPU; spread max %.0f ms; ready max %.1f ms; settled in %s; %.0f KiB",
		r.Size, r.Idle.Bytes, r.Idle.CPU, r.Churning.Bytes, r.Churning.CPU, r.Spread.Max, r.Ready.Max,
		time.Duration(r.Settled*float64(time.Second)).Round(time.Millisecond), r.Heap)
}
