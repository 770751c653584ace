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

// Defaults and bounds of the demo. The minimum duration leaves the injected faults a few seconds to take effect.
const (
	defaultDemoDuration = 20 * time.Second
	minDemoDuration     = 10 * time.Second
	defaultDemoRate     = 200.0  // requests per second
	maxDemoRate         = 1000.0 // requests per second
)

func demoCommand() *cli.Command {
	return &cli.Command{
		Name:   "demo",
		Usage:  "run a fleet on loopback, inject failures, and check the guarantees",
		Action: runDemo,
		Flags: []cli.Flag{
			&cli.DurationFlag{Name: durationFlag, Usage: "how long requests are sent, at least 10s", Value: defaultDemoDuration},
			&cli.FloatFlag{Name: rateFlag, Usage: "requests per second, at most 1000", Value: defaultDemoRate},
			&cli.Uint64Flag{Name: seedFlag, Usage: "seed of the random choices of callers", Value: 1},
			&cli.BoolFlag{Name: verboseFlag, Usage: "write the log lines of the daemons"},
		},
	}
}

func runDemo(ctx context.Context, c *cli.Command) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}

	options := demo.Options{Duration: c.Duration(durationFlag), Rate: c.Float(rateFlag), Seed: c.Uint64(seedFlag)}
	if options.Duration < minDemoDuration {
		return usageError(errors.Newf("%s: --%s is less than %s", c.FullName(), durationFlag, minDemoDuration))
	}
	if !(options.Rate > 0 && options.Rate <= maxDemoRate) {
		return usageError(errors.Newf("%s: --%s is not above 0 and at most %v", c.FullName(), rateFlag, maxDemoRate))
	}

	logger := zerolog.Nop()
	if c.Bool(verboseFlag) {
		logger = *zerolog.Ctx(ctx)
	}

	return demo.Run(ctx, options, c.Root().Writer, logger)
}
