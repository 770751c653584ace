package command

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/lint"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// defaultPublishWait is the default time that a command waits for the outcome of a publish.
const defaultPublishWait = 10 * time.Second

const logFlag, waitFlag, baseFlag = "log", "wait", "base"

// OpenLog returns the manifest topic of the store at an address, and a function that closes the connection to it.
type OpenLog func(address netip.AddrPort) (config.Log, func())

// WithManifests adds the subcommand manifest.
func WithManifests(open OpenLog) Option {
	return func(root *cli.Command) { root.Commands = append(root.Commands, manifestCommand(open)) }
}

func manifestCommand(open OpenLog) *cli.Command {
	publish := func(ctx context.Context, c *cli.Command) error { return publishManifest(ctx, c, open) }
	resolve := func(ctx context.Context, c *cli.Command) error { return resolvePublish(ctx, c, open) }
	show := func(ctx context.Context, c *cli.Command) error { return showManifest(ctx, c, open) }

	return &cli.Command{
		Name:   "manifest",
		Usage:  "check, publish and show manifests",
		Action: requireSubcommand,
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a manifest file without publishing it",
				ArgsUsage: "FILE", Action: checkManifest,
			},
			{
				Name: "publish", Usage: "replace the current manifest",
				ArgsUsage: "FILE", Action: publish,
				Description: "Exit code 3 means that the outcome is unknown: \"manifest resolve\" finds it later.",
				Flags: append(logFlags(), &cli.Uint64Flag{
					Name: baseFlag, Usage: "publish only if this version is current",
				}),
			},
			{
				Name: "resolve", Usage: "find the outcome of an earlier publish by its identifier",
				ArgsUsage: "ID", Action: resolve, Flags: logFlags(),
			},
			{
				Name: "show", Usage: "print the current manifest from the log service",
				Action: show, Flags: logFlags(),
			},
			diffCommand(open),
			digestCommand(),
		},
	}
}

func logFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: logFlag, Usage: "base `URL` of the log service", Required: true},
		&cli.DurationFlag{Name: waitFlag, Usage: "how long to wait for the outcome", Value: defaultPublishWait},
	}
}

func checkManifest(ctx context.Context, c *cli.Command) error {
	file, err := loadManifest(c)
	if err != nil {
		return err
	}

	warnings := lint.Check(file.path, file.data, file.manifest)
	logWarnings(ctx, warnings)

	rules := 0
	for _, service := range file.manifest.Services {
		rules += len(service.Rules)
	}

	counted := ""
	if len(warnings) > 0 {
		counted = fmt.Sprintf(", warnings: %d", len(warnings))
	}

	_, err = fmt.Fprintf(c.Root().Writer, "%s: valid, services: %d, rules: %d%s\n",
		file.path, len(file.manifest.Services), rules, counted)

	return errors.Wrap(err, "write result")
}

// loadManifest returns the valid manifest in the file that the only argument names.
func loadManifest(c *cli.Command) (manifestFile, error) {
	path, err := requireOneArgument(c, "FILE")
	if err != nil {
		return manifestFile{}, err
	}

	return readManifest(path)
}

func publishManifest(ctx context.Context, c *cli.Command, open OpenLog) error {
	file, err := loadManifest(c)
	if err != nil {
		return err
	}

	return withPublisher(c, open, func(p *config.Publisher) error {
		// Publishing the canonical form ensures that daemons read what was checked here.
		text := string(manifest.Format(file.manifest))

		var base *uint64

		if c.IsSet(baseFlag) {
			version := c.Uint64(baseFlag)
			base = &version
		}

		result, err := p.Publish(ctx, text, base)
		if err != nil {
			return errors.Wrap(err, "nothing was published")
		}

		if base != nil && result.Outcome == config.Rejected {
			return errors.Newf("nothing was published: base %d, current version %d", *base, result.Current.Version)
		}

		return reportOutcome(c, result)
	})
}

func resolvePublish(ctx context.Context, c *cli.Command, open OpenLog) error {
	id, err := requireOneArgument(c, "ID")
	if err != nil {
		return err
	}

	return withPublisher(c, open, func(p *config.Publisher) error {
		result, err := p.Resolve(ctx, id)
		if err != nil {
			return errors.Wrap(err, "resolve publish")
		}

		return reportOutcome(c, result)
	})
}

// reportOutcome prints the outcome of a publish if it was accepted, and returns an error otherwise.
func reportOutcome(c *cli.Command, result config.Result) error {
	switch result.Outcome {
	case config.Accepted:
		_, err := fmt.Fprintf(c.Root().Writer, "version %d accepted, publish %s\n", result.Publish.Version, result.Publish.ID)

		return errors.Wrap(err, "write result")
	case config.Rejected:
		return errors.Newf("publish %s was rejected; current version %d, publish %s",
			result.Publish.ID, result.Current.Version, result.Current.ID)
	default:
		return unknownOutcome(errors.Newf("outcome of publish %s is unknown; it may still take effect", result.Publish.ID))
	}
}

func showManifest(ctx context.Context, c *cli.Command, open OpenLog) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}

	return withPublisher(c, open, func(p *config.Publisher) error {
		current, err := p.Current(ctx)
		if err != nil && !errors.Is(err, config.ErrNoManifest) {
			return errors.Wrap(err, "show manifest")
		}

		zerolog.Ctx(ctx).Info().Uint64("version", current.Version).Str("publish", current.ID).Msg("current manifest")

		_, err = fmt.Fprint(c.Root().Writer, current.Manifest)

		return errors.Wrap(err, "write manifest")
	})
}

// withPublisher calls use with a publisher to the log service that the flag names.
func withPublisher(c *cli.Command, open OpenLog, use func(*config.Publisher) error) error {
	address, err := settings.StoreAddress(c.String(logFlag))
	if err != nil {
		return usageError(errors.Wrap(err, "log service"))
	}

	log, closeLog := open(address)
	defer closeLog()

	return use(config.NewPublisher(log, c.Duration(waitFlag)))
}
