// Command measure runs fleets of membership reducers on loopback sockets and writes what each daemon
// spends, how fast changes spread, and a line through the sizes.
//
//	go run ./internal/membership/fleet/measure -commit "$(git rev-parse --short HEAD)"
package main

import (
	"context"
	"fmt"
	"os"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/membership/fleet"
)

func main() {
	command := &cli.Command{
		Name:  "measure",
		Usage: "measure the exchange of member tables",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sizes", Value: []int{10, 50, 200}, Usage: "numbers of daemons"},
			&cli.IntFlag{Name: "fitted", Value: 200, Usage: "largest size that the line goes through"},
			&cli.Uint64Flag{Name: "seed", Value: 1, Usage: "seed of all random choices"},
			&cli.DurationFlag{Name: "window", Value: 30 * time.Second, Usage: "length of the idle and of the churn phase"},
			&cli.DurationFlag{Name: "churn", Value: 5 * time.Second, Usage: "period of replacements in the churn phase"},
			&cli.IntFlag{Name: "drains", Value: 8, Usage: "timed drains"},
			&cli.IntFlag{Name: "starts", Value: 10, Usage: "timed starts"},
			&cli.StringFlag{Name: "commit", Required: true, Usage: "commit that is measured"},
			&cli.StringFlag{Name: "out", Usage: "file for the report; standard output if empty"},
		},
		Action: run,
	}

	if err := command.Run(context.Background(), os.Args); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, c *cli.Command) error {
	var (
		results []fleet.Result
		failure error
	)

	for _, size := range c.IntSlice("sizes") {
		result, err := fleet.Measure(ctx, fleet.Config{
			Size: size, Seed: c.Uint64("seed"), Window: c.Duration("window"), Churn: c.Duration("churn"),
			Drains: c.Int("drains"), Starts: c.Int("starts"),
		})
		if err != nil {
			failure = errors.Wrapf(err, "measuring %d daemons", size)

			break
		}

		fmt.Fprintln(os.Stderr, result.Summary())
		results = append(results, result)
	}

	if len(results) == 0 {
		return failure
	}

	// What was measured before a failure is worth a report.
	line := "go run ./internal/membership/fleet/measure " + strings.Join(os.Args[1:], " ")
	report := fleet.Report(results, c.Int("fitted"), line, c.String("commit"))

	if c.String("out") == "" {
		fmt.Print(report)

		return failure
	}

	return errors.CombineErrors(failure, errors.Wrap(os.WriteFile(c.String("out"), []byte(report), 0o644), "writing the report"))
}
