package command

import (
	"context"
	"os"
	"path/filepath"

	"github.com/cockroachdb/errors"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/explain"
)

func explainCommand() *cli.Command {
	return &cli.Command{
		Name:      "explain",
		Usage:     "print the history of a request from the logs of daemons",
		ArgsUsage: "ID [FILE...]",
		Description: "Without files, standard input is read. Exit code 1 means that no line has the identifier, " +
			"2 that a file cannot be read.",
		Action: func(_ context.Context, c *cli.Command) error { return explainRequest(c) },
	}
}

func explainRequest(c *cli.Command) error {
	if c.Args().Len() == 0 {
		return usageError(errors.New("explain needs the identifier of a request"))
	}

	reader := explain.NewReader(c.Args().First())

	for _, path := range c.Args().Tail() {
		if err := readLog(reader, path); err != nil {
			return usageError(err)
		}
	}

	if c.Args().Len() == 1 {
		if err := reader.Read("stdin", c.Root().Reader); err != nil {
			return err
		}
	}

	timeline, err := reader.Timeline()
	if err != nil {
		return err
	}

	return timeline.Write(c.Root().Writer)
}

func readLog(reader *explain.Reader, path string) error {
	file, err := os.Open(path)
	if err != nil {
		return errors.Wrap(err, "open log")
	}
	defer func() { _ = file.Close() }()

	return reader.Read(filepath.Base(path), file)
}
