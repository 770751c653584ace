package command

import (
	"context"

	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/bench"
)

const parallelFlag, mechanismsFlag = "parallel", "mechanisms"

func benchCommand() *cli.Command {
	return &cli.Command{
		Name:   "bench",
		Usage:  "compare routing policies on one schedule in virtual time, as Markdown tables",
		Action: runBench,
		Flags: []cli.Flag{
			&cli.Uint64Flag{Name: seedFlag, Usage: "seed of arrivals and policies", Value: 1},
			&cli.DurationFlag{Name: durationFlag, Usage: "simulated time, at most 20s; 0 for all"},
			&cli.IntFlag{Name: parallelFlag, Usage: "simulations that run at once; 0 for the default"},
			&cli.BoolFlag{Name: mechanismsFlag, Usage: "also turn off one mechanism at a time"},
		},
	}
}

func runBench(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}

	return bench.Run(ctx, c.Root().Writer, bench.Options{
		Seed: c.Uint64(seedFlag), Length: c.Duration(durationFlag), Parallel: c.Int(parallelFlag),
		Mechanisms: c.Bool(mechanismsFlag),
	})
}
