package command

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/settings"
)

const settingsFlag, checkFlag = "settings", "check"

// DaemonFunc runs a daemon until the context ends and its requests in flight have finished.
type DaemonFunc func(ctx context.Context, s settings.Settings, logger zerolog.Logger) error

// WithDaemon adds the subcommand daemon.
func WithDaemon(run DaemonFunc) Option {
	return func(root *cli.Command) {
		root.Commands = append(root.Commands, &cli.Command{
			Name:        "daemon",
			Usage:       "run the daemon beside a backend server",
			Description: "SIGTERM or SIGINT drains and ends the daemon; a second signal ends it at once.",
			Flags: []cli.Flag{
				&cli.StringFlag{Name: settingsFlag, Usage: "read settings from `FILE`", Required: true},
				&cli.BoolFlag{Name: checkFlag, Usage: "check the settings and exit"},
			},
			Action: func(ctx context.Context, c *cli.Command) error { return daemon(ctx, c, run) },
		})
	}
}

func daemon(ctx context.Context, c *cli.Command, run DaemonFunc) error {
	if err := noArguments(c); err != nil {
		return err
	}

	path := c.String(settingsFlag)

	s, err := settings.Load(path)
	if err != nil {
		return usage(err)
	}

	if c.Bool(checkFlag) {
		_, err := fmt.Fprintf(c.Root().Writer, "%s: valid\n", path)

		return errors.Wrap(err, "write result")
	}

	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		return usage(errors.Wrap(err, "log level"))
	}

	return run(ctx, s, zerolog.Ctx(ctx).Level(level))
}
