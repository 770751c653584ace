package command

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/ini"
	"github.com/tarragonmill/tarragonmill/internal/lint"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// maxKeyBytes is the largest API key that a daemon can receive: a request head has at most 16 KiB by default.
const maxKeyBytes = 16 << 10

// errDiffer makes the exit code tell that two manifests differ.
var errDiffer = errors.New("the manifests differ")

func diffCommand(open OpenLog) *cli.Command {
	return &cli.Command{
		Name: "diff", Usage: "print what differs between the current manifest, or an older file, and a file",
		ArgsUsage: "[OLD] FILE", Flags: optionalLogFlags(),
		Description: "With one file, the current manifest of the log service is the older one. API keys are named by " +
			"the first digits of their digests. Exit code 1 means that the manifests differ, 3 that the " +
			"log service could not be read.",
		Action: func(ctx context.Context, c *cli.Command) error { return diffManifests(ctx, c, open) },
	}
}

func digestCommand() *cli.Command {
	return &cli.Command{
		Name: "digest", Usage: "read an API key from standard input and print its digest for a [tenant] section",
		Action: func(_ context.Context, c *cli.Command) error { return digestKey(c) },
	}
}

// optionalLogFlags returns the flags of a command that needs the log service only without a second file.
func optionalLogFlags() []cli.Flag {
	flags := logFlags()

	for _, flag := range flags {
		if text, ok := flag.(*cli.StringFlag); ok {
			text.Required = false
		}
	}

	return flags
}

func diffManifests(ctx context.Context, c *cli.Command, open OpenLog) error {
	args := c.Args().Slice()

	var before manifest.Manifest

	switch {
	case len(args) == 1 && c.IsSet(logFlag):
		current, err := currentManifest(ctx, c, open)
		if err != nil {
			return err
		}

		before = current
	case len(args) == 2 && !c.IsSet(logFlag):
		old, err := readManifest(args[0])
		if err != nil {
			return err
		}

		before = old.manifest
	default:
		return usageError(errors.Newf("%s: needs two files, or one file and --%s", c.FullName(), logFlag))
	}

	after, err := readManifest(args[len(args)-1])
	if err != nil {
		return err
	}

	lines := lint.Diff(before, after.manifest)
	for _, line := range lines {
		if _, err := fmt.Fprintln(c.Root().Writer, line); err != nil {
			return errors.Wrap(err, "write difference")
		}
	}

	if len(lines) > 0 {
		return errDiffer
	}

	return nil
}

// currentManifest reads the manifest in force from the log service; it is empty if none was published. If it cannot be
// read, the error has an exit code other than that of a difference.
func currentManifest(ctx context.Context, c *cli.Command, open OpenLog) (manifest.Manifest, error) {
	var current manifest.Manifest

	err := withPublisher(c, open, func(p *config.Publisher) error {
		published, err := p.Current(ctx)

		switch {
		case errors.Is(err, config.ErrNoManifest):
			return nil
		case err == nil:
			current, err = manifest.Parse("current manifest", []byte(published.Manifest))
		}

		if err != nil {
			return unknownOutcome(errors.Wrap(err, "read the current manifest"))
		}

		return nil
	})

	return current, err
}

// manifestFile is a manifest with the text that it was parsed from.
type manifestFile struct {
	path     string
	data     []byte
	manifest manifest.Manifest
}

func readManifest(path string) (manifestFile, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return manifestFile{}, usageError(errors.Wrap(err, "read manifest"))
	}

	m, err := manifest.Parse(path, data)
	if err != nil {
		return manifestFile{}, usageError(err)
	}

	return manifestFile{path: path, data: data, manifest: m}, nil
}

// logWarnings writes a log line for each warning, with its position in fields.
func logWarnings(ctx context.Context, warnings []*ini.Error) {
	for _, warning := range warnings {
		zerolog.Ctx(ctx).Warn().Str("file", warning.File).Int("line", warning.Line).Str("section", warning.Section).
			Str("key", warning.Key).Msg(warning.Error())
	}
}

// digestKey prints the digest of the key on standard input. The end of the line is not part of the key. Errors don't
// contain the key.
func digestKey(c *cli.Command) error {
	if err := requireNoArguments(c); err != nil {
		// The argument may be a key.
		return usageError(errors.Newf("%s: takes no arguments and reads the key from standard input", c.FullName()))
	}

	line, err := bufio.NewReader(io.LimitReader(c.Root().Reader, maxKeyBytes)).ReadString('\n')
	if err != nil && !errors.Is(err, io.EOF) {
		return errors.Wrap(err, "read key")
	}

	key := strings.TrimSuffix(strings.TrimSuffix(line, "\n"), "\r")

	switch {
	case key == "":
		return usageError(errors.New("there is no key on standard input"))
	case len(line) == maxKeyBytes:
		return usageError(errors.Newf("the key has %d bytes or more", maxKeyBytes))
	case strings.ContainsFunc(key, func(r rune) bool { return r <= ' ' || r >= 0x7f }):
		return usageError(errors.New("the key contains a space, a control character or a character outside ASCII"))
	}

	_, err = fmt.Fprintln(c.Root().Writer, manifest.DigestKey(key))

	return errors.Wrap(err, "write digest")
}
