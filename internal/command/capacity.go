package command

import (
	"context"
	"time"

	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/capacity"
)

// Defaults of the measurement.
const (
	defaultSettle  = 10 * time.Second
	defaultPeriod  = 15 * time.Second
	defaultChanges = 5
	defaultCalls   = 3000
	// targetRate is what one daemon sees at the target: 29,000 calls/s at 610 daemons.
	targetRate = 48
)

func capacityCommand() *cli.Command {
	return &cli.Command{
		Name:  "capacity",
		Usage: "measure what daemons cost at several fleet sizes, in one process on loopback",
		Flags: []cli.Flag{
			&cli.IntSliceFlag{Name: "sizes", Usage: "numbers of daemons", Value: []int{10, 50, 200}},
			&cli.DurationFlag{Name: "settle", Usage: "time before each measurement", Value: defaultSettle},
			&cli.DurationFlag{Name: "period", Usage: "time of each measurement", Value: defaultPeriod},
			&cli.IntFlag{Name: "changes", Usage: "configuration changes whose spread is measured", Value: defaultChanges},
			&cli.IntFlag{Name: "calls", Usage: "calls for the added time; 0 leaves it out", Value: defaultCalls},
			&cli.IntFlag{Name: "rate", Usage: "calls per second", Value: targetRate},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if err := noArguments(c); err != nil {
				return err
			}

			return capacity.Run(ctx, c.Root().Writer, capacity.Options{
				Sizes: c.IntSlice("sizes"), Settle: c.Duration("settle"), Period: c.Duration("period"),
				Changes: c.Int("changes"), Calls: c.Int("calls"), Rate: c.Int("rate"),
			})
		},
	}
}
