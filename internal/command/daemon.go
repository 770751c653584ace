package command

import (
	"context"
	"fmt"
	"io"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/eventlog"
	"github.com/tarragonmill/tarragonmill/internal/settings"
)

const settingsFlag, checkFlag = "settings", "check"

// settingsVariable is the environment variable that may hold the path of the settings file.
const settingsVariable = "TARRAGONMILL_SETTINGS"

// DaemonFunc runs a daemon until ctx is cancelled and its requests have finished. The function reload reads the
// settings file again.
type DaemonFunc func(
	ctx context.Context, s settings.Settings, reload func() (settings.Settings, error), logger zerolog.Logger,
) error

// WithDaemon adds the subcommand daemon.
func WithDaemon(run DaemonFunc) Option {
	return func(root *cli.Command) {
		root.Commands = append(root.Commands, &cli.Command{
			Name:  "daemon",
			Usage: "run the daemon beside a backend server",
			Description: "SIGTERM or SIGINT drains and ends the daemon; a second signal ends it at once. " +
				"SIGHUP reads the settings again. The log goes to standard output as JSON lines.",
			Flags: []cli.Flag{
				&cli.StringFlag{
					Name: settingsFlag, Usage: "read settings from `FILE`", Required: true,
					Sources: cli.EnvVars(settingsVariable),
				},
				&cli.BoolFlag{Name: checkFlag, Usage: "check the settings and exit"},
			},
			Action: func(ctx context.Context, c *cli.Command) error { return runDaemon(ctx, c, run) },
		})
	}
}

func runDaemon(ctx context.Context, c *cli.Command, run DaemonFunc) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}

	path := c.String(settingsFlag)

	reload := func() (settings.Settings, error) { return settings.Load(path) }

	s, err := reload()
	if err != nil {
		return usageError(err)
	}

	if c.Bool(checkFlag) {
		_, err := fmt.Fprintf(c.Root().Writer, "%s: valid\n", path)

		return errors.Wrap(err, "write result")
	}

	level, err := zerolog.ParseLevel(s.Level)
	if err != nil {
		return usageError(errors.Wrap(err, "log level"))
	}

	// The queue writes log lines until the daemon has stopped, which is after the end of ctx.
	queue := eventlog.NewQueue(c.Root().Writer)
	queueContext, stopQueue := context.WithCancel(context.WithoutCancel(ctx))

	go queue.Run(queueContext)

	err = run(ctx, s, reload, newLogger(queue, s).Level(level))

	stopQueue()
	<-queue.Done()

	return err
}

// newLogger returns a logger that adds the instance to each line, because logs of all instances are searched together.
func newLogger(out io.Writer, s settings.Settings) zerolog.Logger {
	return zerolog.New(out).With().Timestamp().Str("instance", string(s.ID)).Logger()
}
