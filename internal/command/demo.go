package command

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/demo"
)

const durationFlag, rateFlag, verboseFlag = "duration", "rate", "verbose"

// Defaults and bounds of the demo. Incidents need a few seconds to show their effect.
const (
	defaultDuration = 20 * time.Second
	minDuration     = 10 * time.Second
	defaultRate     = 200.0
	maxRate         = 1000.0
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:   "demo",
		Usage:  "run a fleet on loopback, let parts of it fail, and check the guarantees",
		Action: runDemo,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: durationFlag, Usage: "time of the load, at least 10s", Value: defaultDuration},
			&cli.FloatFlag{Name: rateFlag, Usage: "requests per second, at most 1000", Value: defaultRate},
			&cli.Uint64Flag{Name: seedFlag, Usage: "seed of the callers' choices", Value: 1},
			&cli.BoolFlag{Name: verboseFlag, Usage: "show the log lines of the daemons"},
		},
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}

	options := demo.Options{Duration: c.Duration(durationFlag), Rate: c.Float(rateFlag), Seed: c.Uint64(seedFlag)}
	if options.Duration < minDuration {
		return usage(errors.Newf("%s: --%s is less than %s", c.FullName(), durationFlag, minDuration))
	}
	if !(options.Rate > 0 && options.Rate <= maxRate) {
		return usage(errors.Newf("%s: --%s is not above 0 and at most %v", c.FullName(), rateFlag, maxRate))
	}

	logger := zerolog.Nop()
	if c.Bool(verboseFlag) {
		logger = *zerolog.Ctx(ctx)
	}

	return demo.Run(ctx, options, c.Root().Writer, logger)
}
