// Package command implements the command lines of the binaries. It parses arguments, calls the packages that do the
// work, and maps errors to exit codes.
package command

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/ini"
)

// Exit codes.
const (
	exitOK = 0
	// exitFailure means that the command failed.
	exitFailure = 1
	// exitUsage means that arguments, settings or a manifest are invalid. Nothing was started or sent.
	exitUsage = 2
	// exitUnknown means that a publish may or may not have taken effect.
	exitUnknown = 3
)

// codedError is an error with an exit code.
type codedError struct {
	error
	code int
}

func (e codedError) Unwrap() error { return e.error }

func usageError(err error) error     { return codedError{error: err, code: exitUsage} }
func unknownOutcome(err error) error { return codedError{error: err, code: exitUnknown} }

// Streams are the output streams of a command.
type Streams struct {
	// Out receives the result of the command.
	Out io.Writer
	// Err receives JSON log lines.
	Err io.Writer
}

// Tarragonmill runs the command line of the tarragonmill binary and returns the exit code. The first SIGINT or SIGTERM
// cancels the context of the command; a second one kills the process.
func Tarragonmill(ctx context.Context, args []string, streams Streams, options ...Option) int {
	root := &cli.Command{
		Name:  "tarragonmill",
		Usage: "load balancer with one daemon beside each backend server",
	}
	for _, option := range options {
		option(root)
	}

	root.Commands = append(root.Commands, dumpCommand(), explainCommand(), demoCommand())

	return run(ctx, args, streams, root)
}

// Option adds a subcommand that calls a function of another package.
type Option func(root *cli.Command)

// Standin runs the command line of the standin binary, which runs stand-ins for external systems, and returns the exit
// code.
func Standin(ctx context.Context, args []string, streams Streams) int {
	return run(ctx, args, streams, &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins for systems outside tarragonmill, for tests and trials",
		Commands: []*cli.Command{standinLogCommand(), standinBackendCommand(), soakCommand()},
	})
}

func run(ctx context.Context, args []string, streams Streams, root *cli.Command) int {
	// The default action of SIGHUP would kill a daemon that is starting or stopping.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)

	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// This restores the default action of the signals, so that a second one kills the process.
	context.AfterFunc(ctx, stop)

	logger := zerolog.New(streams.Err).With().Timestamp().Logger()

	root.Version = version()
	root.Writer, root.ErrWriter = streams.Out, streams.Err
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	root.HideHelpCommand = true
	root.Action = requireSubcommand
	setUsageErrors(root)

	err := root.Run(logger.WithContext(ctx), args)
	if err == nil {
		return exitOK
	}

	logErrors(logger, err)

	coded := codedError{}
	if errors.As(err, &coded) {
		return coded.code
	}

	return exitFailure
}

// setUsageErrors makes the errors of the argument parser usage errors, for a command and all its subcommands.
func setUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usageError(errors.Wrapf(err, "%s", c.FullName()))
	}

	for _, sub := range command.Commands {
		setUsageErrors(sub)
	}
}

// requireSubcommand is the action of a command that cannot run without a subcommand. It returns a usage error.
func requireSubcommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return usageError(errors.Newf("%s: unknown command %q; --help lists the commands", c.FullName(), name))
	}

	return usageError(errors.Newf("%s: a command is missing; --help lists the commands", c.FullName()))
}

// requireNoArguments returns a usage error if there are positional arguments.
func requireNoArguments(c *cli.Command) error {
	if c.Args().Present() {
		return usageError(errors.Newf("%s: unexpected argument %q", c.FullName(), c.Args().First()))
	}

	return nil
}

// requireOneArgument returns the only positional argument, or a usage error in which what names the argument.
func requireOneArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usageError(errors.Newf("%s: needs one argument, %s, and has %d", c.FullName(), what, c.Args().Len()))
	}

	return c.Args().First(), nil
}

// logErrors writes a log line for each error in a file, with the position in fields that a pipeline can parse, or one
// line for any other error.
func logErrors(logger zerolog.Logger, err error) {
	faults := fileFaults(err)
	for _, fault := range faults {
		logger.Error().Str("file", fault.File).Int("line", fault.Line).Str("section", fault.Section).
			Str("key", fault.Key).Msg(fault.Error())
	}

	if len(faults) == 0 {
		logger.Error().Msg(err.Error())
	}
}

// fileFaults returns the errors in files from a tree of wrapped and joined errors.
func fileFaults(err error) []*ini.Error {
	var joined interface{ Unwrap() []error }
	if errors.As(err, &joined) {
		parts := joined.Unwrap()
		faults := make([]*ini.Error, 0, len(parts))

		for _, part := range parts {
			faults = append(faults, fileFaults(part)...)
		}

		return faults
	}

	var fault *ini.Error
	if errors.As(err, &fault) {
		return []*ini.Error{fault}
	}

	return nil
}

// version returns the version of the module and of Go, and the commit if the binary was built from a checkout.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}

	revision := ""

	for _, setting := range info.Settings {
		if setting.Key == "vcs.revision" {
			revision = " " + setting.Value
		}
	}

	return fmt.Sprintf("%s%s %s", info.Main.Version, revision, info.GoVersion)
}
