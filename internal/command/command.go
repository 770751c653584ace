// Package command holds the subcommands of the binaries. It parses arguments, calls the package that
// does the work, and turns errors into exit codes; it makes no decisions of its own.
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
	// exitFailure means that the command did not do what was asked.
	exitFailure = 1
	// exitUsage means wrong arguments, settings or manifests; nothing was started or sent.
	exitUsage = 2
	// exitUnknown means that a publish may or may not have taken effect.
	exitUnknown = 3
)

// codedError is an error with an exit code of its own.
type codedError struct {
	error
	code int
}

func (e codedError) Unwrap() error { return e.error }

func usage(err error) error   { return codedError{error: err, code: exitUsage} }
func unknown(err error) error { return codedError{error: err, code: exitUnknown} }

// Streams are the standard streams of a command.
type Streams struct {
	Out io.Writer
	// Err receives JSON log lines.
	Err io.Writer
}

// Tarragonmill runs the product's binary and returns its exit code. The context ends with the first
// SIGINT or SIGTERM; a second one ends the process at once.
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

// Option adds a subcommand whose work is done by a function of another package.
type Option func(root *cli.Command)

// Standin runs the binary of the stand-ins for outside systems and returns its exit code.
func Standin(ctx context.Context, args []string, streams Streams) int {
	return run(ctx, args, streams, &cli.Command{
		Name:     "standin",
		Usage:    "stand-ins for systems outside tarragonmill, for tests and trials",
		Commands: []*cli.Command{logCommand(), backendCommand(), soakCommand()},
	})
}

func run(ctx context.Context, args []string, streams Streams, root *cli.Command) int {
	// The default action of SIGHUP would end a daemon while it starts or stops.
	signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP)

	ctx, stop := signal.NotifyContext(ctx, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	// The default action of a signal is restored, so that a second one ends the process.
	context.AfterFunc(ctx, stop)

	logger := zerolog.New(streams.Err).With().Timestamp().Logger()

	root.Version = version()
	root.Writer, root.ErrWriter = streams.Out, streams.Err
	root.ExitErrHandler = func(context.Context, *cli.Command, error) {}
	root.HideHelpCommand = true
	root.Action = needSubcommand
	setUsageErrors(root)

	err := root.Run(logger.WithContext(ctx), args)
	if err == nil {
		return exitOK
	}

	logError(logger, err)

	coded := codedError{}
	if errors.As(err, &coded) {
		return coded.code
	}

	return exitFailure
}

// setUsageErrors gives the parser's errors the exit code for usage, in the whole tree.
func setUsageErrors(command *cli.Command) {
	command.OnUsageError = func(_ context.Context, c *cli.Command, err error, _ bool) error {
		return usage(errors.Wrapf(err, "%s", c.FullName()))
	}

	for _, sub := range command.Commands {
		setUsageErrors(sub)
	}
}

// needSubcommand is the action of a command that only groups others.
func needSubcommand(_ context.Context, c *cli.Command) error {
	if name := c.Args().First(); name != "" {
		return usage(errors.Newf("%s: unknown command %q; --help lists the commands", c.FullName(), name))
	}

	return usage(errors.Newf("%s: a command is missing; --help lists the commands", c.FullName()))
}

// noArguments refuses positional arguments.
func noArguments(c *cli.Command) error {
	if c.Args().Present() {
		return usage(errors.Newf("%s: unexpected argument %q", c.FullName(), c.Args().First()))
	}

	return nil
}

// oneArgument returns the only positional argument.
func oneArgument(c *cli.Command, what string) (string, error) {
	if c.Args().Len() != 1 {
		return "", usage(errors.Newf("%s: needs one argument, %s, and has %d", c.FullName(), what, c.Args().Len()))
	}

	return c.Args().First(), nil
}

// logError writes one line per fault of a file, so that a pipeline can read the position, and one
// line for any other error.
func logError(logger zerolog.Logger, err error) {
	faults := fileFaults(err)
	for _, fault := range faults {
		logger.Error().Str("file", fault.File).Int("line", fault.Line).Str("section", fault.Section).
			Str("key", fault.Key).Msg(fault.Error())
	}

	if len(faults) == 0 {
		logger.Error().Msg(err.Error())
	}
}

// fileFaults finds all faults in a tree of wrapped and joined errors.
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

// version is that of the module, or of the commit if the binary was built from a checkout.
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
