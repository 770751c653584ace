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

// Defaults and bounds of the soak.
const (
	defaultSoak    = 20 * time.Second
	defaultNodes   = 6
	maxNodes       = 200
	defaultCallers = 4
	defaultPause   = 60 * time.Millisecond
)

func soakCommand() *cli.Command {
	return &cli.Command{
		Name:  "soak",
		Usage: "run daemons as processes, let things go wrong around them, and check the guarantees",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: daemonFlag, Usage: "`PATH` of the tarragonmill binary", Required: true},
			&cli.StringFlag{Name: dirFlag, Usage: "`DIRECTORY` for settings and logs; a new one by default"},
			&cli.Uint64Flag{Name: seedFlag, Usage: "first seed", Value: 1},
			&cli.IntFlag{Name: seedsFlag, Usage: "number of seeds, one after the other", Value: 1},
			&cli.DurationFlag{Name: durationFlag, Usage: "time in which things go wrong", Value: defaultSoak},
			&cli.IntFlag{Name: nodesFlag, Usage: "number of instances, 2 to 200", Value: defaultNodes},
			&cli.IntFlag{Name: callersFlag, Usage: "callers at each instance", Value: defaultCallers},
			&cli.DurationFlag{Name: pauseFlag, Usage: "mean pause of a caller between requests", Value: defaultPause},
		},
		Action: runSoak,
	}
}

// soakHost is the first loopback address of soaks; each process takes one of its own.
func soakHost() netip.Addr {
	const low = 0xff

	pid := os.Getpid()

	return netip.AddrFrom4([4]byte{127, byte(101 + pid>>16&0x1f), byte(pid >> 8 & low), byte(1 + pid&0x7f)})
}

func runSoak(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}

	nodes := c.Int(nodesFlag)
	if nodes < 2 || nodes > maxNodes {
		return usage(errors.Newf("%s: --%s is not from 2 to %d", c.FullName(), nodesFlag, maxNodes))
	}

	dir := c.String(dirFlag)
	if dir == "" {
		made, err := os.MkdirTemp("", "soak-")
		if err != nil {
			return errors.Wrap(err, "make directory")
		}

		dir = made
	}

	var failed error

	for i := range c.Int(seedsFlag) {
		seed := c.Uint64(seedFlag) + uint64(i)
		options := soak.Options{
			Daemon: c.String(daemonFlag), Dir: filepath.Join(dir, strconv.FormatUint(seed, 10)), Seed: seed,
			Duration: c.Duration(durationFlag), Nodes: nodes, Callers: c.Int(callersFlag), Pause: c.Duration(pauseFlag),
			Host: soakHost(),
		}

		err := soak.Run(ctx, options, c.Root().Writer)
		failed = errors.CombineErrors(failed, err)

		if ctx.Err() != nil {
			break
		}
	}

	return failed
}
