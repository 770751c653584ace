package command

import (
	"context"
	"fmt"
	"io"
	"os"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/trace"
)

// ReplayFunc replays a recording with the reducer that it was made with, see trace.Replay.
type ReplayFunc func(in io.ReadSeeker) (trace.Result, error)

// WithReplay adds the subcommand replay.
func WithReplay(run ReplayFunc) Option {
	return func(root *cli.Command) {
		root.Commands = append(root.Commands, &cli.Command{
			Name:        "replay",
			Usage:       "replay the events of a recording and compare the effects",
			ArgsUsage:   "FILE",
			Description: "Exit code 1 means that an event had other effects, 2 that the file cannot be replayed.",
			Action:      func(_ context.Context, c *cli.Command) error { return runReplay(c, run) },
		})
	}
}

func runReplay(c *cli.Command, run ReplayFunc) error {
	path, err := requireOneArgument(c, "FILE")
	if err != nil {
		return err
	}

	file, err := os.Open(path)
	if err != nil {
		return usageError(errors.Wrap(err, "open recording"))
	}
	defer func() { _ = file.Close() }()

	result, err := run(file)

	var difference *trace.Difference
	if errors.As(err, &difference) {
		_, _ = fmt.Fprintf(c.Root().Writer, "%s: %s\n", path, difference)

		return errors.Newf("%s:%d: replay differs from the recording", path, difference.Line)
	}
	if err != nil {
		return usageError(errors.Wrap(err, path))
	}

	end := string(result.End)
	if result.End == trace.EndCut {
		end = "cut off, the process crashed or still runs"
	}

	_, err = fmt.Fprintf(c.Root().Writer, "%s: %d events, %d compared and equal; end of recording: %s\n",
		path, result.Events, result.Checked, end)

	return errors.Wrap(err, "write result")
}
