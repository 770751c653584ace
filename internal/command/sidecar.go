package command

import (
	"context"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/settings"
)

// settingsVariable is the environment variable that may hold the path of the settings file.
const settingsVariable = "TARRAGONMILL_SETTINGS"

// SidecarFunc runs a daemon until the context ends and its requests in flight have finished. Reload reads the
// settings again.
type SidecarFunc func(
	ctx context.Context, s settings.Settings, reload func() (settings.Settings, error), logger zerolog.Logger,
) error

// WithSidecar adds the subcommand that runs a daemon on the users' platform.
func WithSidecar(run SidecarFunc) Option {
	return func(root *cli.Command) {
		root.Commands = append(root.Commands, &cli.Command{
			Name:  "sidecar",
			Usage: "run the daemon beside a backend server on the users' platform",
			Flags: []cli.Flag{
				&cli.StringFlag{
					Name: settingsFlag, Usage: "read settings from `FILE`", Required: true,
					Sources: cli.EnvVars(settingsVariable),
				},
			},
			Action: func(ctx context.Context, c *cli.Command) error { return sidecar(ctx, c, run) },
		})
	}
}

func sidecar(ctx context.Context, c *cli.Command, run SidecarFunc) error {
	path := c.String(settingsFlag)
	reload := func() (settings.Settings, error) { return settings.Load(path) }

	s, err := reload()
	if err != nil {
		return usage(err)
	}

	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		return usage(errors.Wrap(err, "log level"))
	}

	// Lines are written until the daemon has stopped.
	queue := eventlog.NewQueue(c.Root().Writer)
	writing, stop := context.WithCancel(context.WithoutCancel(ctx))

	go queue.Run(writing)

	err = run(ctx, s, reload, zerolog.New(queue).Level(level).With().Timestamp().Logger())

	stop()
	<-queue.Done()

	return err
}
