package bench

import (
	"fmt"
	"io"
	"strings"

	"github.com/cockroachdb/errors"
)

// report writes one table per size and load. All rows are measured on the reducers in virtual time.
func report(out io.Writer, o Options, tasks []*task) error {
	var b strings.Builder

	fmt.Fprintf(&b, "All rows: reducers in one process in virtual time. Seeds %d to %d added up, schedule seed %d, "+
		"%s simulated each, first %s left out.\n", o.Seed, o.Seed+uint64(o.Runs)-1, ScheduleSeed, o.Length, warmUp)

	title := ""
	oracle, roundRobin := 0.0, 0.0

	for _, t := range tasks {
		next := fmt.Sprintf("%s, %.0f %% of capacity", t.size.name, 100*t.share)
		if next != title {
			title = next
			oracle, roundRobin = tail(tasks, t, oracleName), tail(tasks, t, roundRobinName)

			fmt.Fprintf(&b, "\n%s\n\n", title)
			b.WriteString("| Policy | p50 ms | p99 ms | p99.9 ms | p99 / oracle | p99 / round robin | goodput/s | failed/s | refusals/s | deadline/s |" +
				" attempts/request | hedges/s | probes/s | measuring B/s | cross-region B/s |\n")
			b.WriteString(strings.Repeat("|---", 15) + "|\n")
		}

		writeRow(&b, t, oracle, roundRobin)
	}

	_, err := io.WriteString(out, b.String())

	return errors.Wrap(err, "write report")
}

func writeRow(b *strings.Builder, t *task, oracle, roundRobin float64) {
	s := t.result
	requests := max(1, s.good+s.failed+s.refusals+s.late)

	fmt.Fprintf(b, "| %s | %.1f | %.1f | %.1f | %.2f | %.2f | %.0f | %.1f | %.1f | %.1f | %.2f | %.1f | %.1f | %.0f | %.0f |\n",
		t.contender.name, s.quantile(50), s.quantile(99), s.quantile(99.9), s.quantile(99)/oracle, s.quantile(99)/roundRobin,
		s.perSecond(float64(s.good)), s.perSecond(float64(s.failed)), s.perSecond(float64(s.refusals)),
		s.perSecond(float64(s.late)), float64(s.attempts)/float64(requests), s.perSecond(float64(s.hedges)),
		s.perSecond(float64(s.probes)), s.perSecond(float64(s.measuring)), s.perSecond(float64(s.crossBytes)))
}

// tail is a policy's p99 at the size and load of a task.
func tail(tasks []*task, like *task, name string) float64 {
	for _, t := range tasks {
		if t.size.name == like.size.name && t.share == like.share && t.contender.name == name {
			return t.result.quantile(99)
		}
	}

	return 0
}
