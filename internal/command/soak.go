package command

import (
	"context"
	"net/netip"
	"os"
	"path/filepath"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/soak"
)

const daemonFlag, dirFlag, seedsFlag, nodesFlag, callersFlag, pauseFlag = "daemon", "dir", "seeds", "nodes", "callers", "pause"

// Defaults and bounds of the soak test.
const (
	defaultSoakDuration = 20 * time.Second
	defaultNodes        = 6   // instances
	maxNodes            = 200 // instances
	defaultCallers      = 4   // per instance
	defaultCallerPause  = 60 * time.Millisecond
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemons as processes, inject faults, and check the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: daemonFlag, Usage: "`PATH` of the tarragonmill binary", Required: true},
			&cli.StringFlag{Name: dirFlag, Usage: "`DIRECTORY` for settings and logs; a new one by default"},
			&cli.Uint64Flag{Name: seedFlag, Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: seedsFlag, Usage: "number of seeds, which are run one after the other", Value: 1},
			&cli.DurationFlag{Name: durationFlag, Usage: "how long faults are injected", Value: defaultSoakDuration},
			&cli.IntFlag{Name: nodesFlag, Usage: "number of instances, 2 to 200", Value: defaultNodes},
			&cli.IntFlag{Name: callersFlag, Usage: "callers at each instance", Value: defaultCallers},
			&cli.DurationFlag{Name: pauseFlag, Usage: "mean pause of a caller between requests", Value: defaultCallerPause},
		},
		Action: runSoak,
	}
}

// firstSoakHost returns the first loopback address for soak tests. It is derived from the process ID, so that
// processes use different addresses.
func firstSoakHost() netip.Addr {
	const byteMask = 0xff

	pid := os.Getpid()

	return netip.AddrFrom4([4]byte{127, byte(101 + pid>>16&0x1f), byte(pid >> 8 & byteMask), byte(1 + pid&0x7f)})
}

func runSoak(ctx context.Context, c *cli.Command) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}

	nodes := c.Int(nodesFlag)
	if nodes < 2 || nodes > maxNodes {
		return usageError(errors.Newf("%s: --%s is not from 2 to %d", c.FullName(), nodesFlag, maxNodes))
	}

	dir := c.String(dirFlag)
	if dir == "" {
		created, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return errors.Wrap(err, "make directory")
		}

		dir = created
	}

	var failed error

	for i := range c.Int(seedsFlag) {
		seed := c.Uint64(seedFlag) + uint64(i)
		options := soak.Options{
			Daemon: c.String(daemonFlag), Dir: filepath.Join(dir, strconv.FormatUint(seed, 10)), Seed: seed,
			Duration: c.Duration(durationFlag), Nodes: nodes, Callers: c.Int(callersFlag), Pause: c.Duration(pauseFlag),
			Host: firstSoakHost(),
		}

		err := soak.Run(ctx, options, c.Root().Writer)
		failed = errors.CombineErrors(failed, err)

		if ctx.Err() != nil {
			break
		}
	}

	return failed
}
