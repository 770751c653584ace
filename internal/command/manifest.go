package command

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// defaultWait bounds how long a publish waits for its outcome.
const defaultWait = 10 * time.Second

const logFlag, waitFlag, baseFlag = "log", "wait", "base"

func manifestCommand() *cli.Command {
	return &cli.Command{
		Name:   "manifest",
		Usage:  "check, publish and show manifests",
		Action: needSubcommand,
		Commands: []*cli.Command{
			{
				Name: "check", Usage: "check a manifest file without publishing it",
				ArgsUsage: "FILE", Action: checkManifest,
			},
			{
				Name: "publish", Usage: "replace the manifest in force",
				ArgsUsage: "FILE", Action: publishManifest,
				Description: "Exit code 3 means that the outcome is unknown: \"manifest resolve\" finds it later.",
				Flags: append(logFlags(), &cli.Uint64Flag{
					Name: baseFlag, Usage: "publish only if this version is current",
				}),
			},
			{
				Name: "resolve", Usage: "find the outcome of an earlier publish by its identifier",
				ArgsUsage: "ID", Action: resolvePublish, Flags: logFlags(),
			},
			{
				Name: "show", Usage: "write the current manifest as the log service has it",
				Action: showManifest, Flags: logFlags(),
			},
		},
	}
}

func logFlags() []cli.Flag {
	return []cli.Flag{
		&cli.StringFlag{Name: logFlag, Usage: "base `URL` of the log service", Required: true},
		&cli.DurationFlag{Name: waitFlag, Usage: "wait this long for the outcome", Value: defaultWait},
	}
}

func checkManifest(_ context.Context, c *cli.Command) error {
	path, m, err := loadManifest(c)
	if err != nil {
		return err
	}

	rules := 0
	for _, service := range m.Services {
		rules += len(service.Rules)
	}

	_, err = fmt.Fprintf(c.Root().Writer, "%s: valid, services: %d, rules: %d\n", path, len(m.Services), rules)

	return errors.Wrap(err, "write result")
}

func loadManifest(c *cli.Command) (string, manifest.Manifest, error) {
	path, err := oneArgument(c, "FILE")
	if err != nil {
		return "", manifest.Manifest{}, err
	}

	data, err := os.ReadFile(path)
	if err != nil {
		return "", manifest.Manifest{}, usage(errors.Wrap(err, "read manifest"))
	}

	m, err := manifest.Parse(path, data)
	if err != nil {
		return "", manifest.Manifest{}, usage(err)
	}

	return path, m, nil
}

func publishManifest(ctx context.Context, c *cli.Command) error {
	_, m, err := loadManifest(c)
	if err != nil {
		return err
	}

	return withPublisher(c, func(p *config.Publisher) error {
		// The canonical form is published, so that daemons read what was checked here.
		text := string(manifest.Format(m))

		var result config.Result
		if c.IsSet(baseFlag) {
			result, err = p.PublishOver(ctx, c.Uint64(baseFlag), text)
		} else {
			result, err = p.Publish(ctx, text)
		}
		if err != nil {
			return errors.Wrap(err, "nothing was published")
		}

		return report(c, result)
	})
}

func resolvePublish(ctx context.Context, c *cli.Command) error {
	id, err := oneArgument(c, "ID")
	if err != nil {
		return err
	}

	return withPublisher(c, func(p *config.Publisher) error {
		result, err := p.Resolve(ctx, id)
		if err != nil {
			return errors.Wrap(err, "resolve publish")
		}

		return report(c, result)
	})
}

func report(c *cli.Command, result config.Result) error {
	switch result.Outcome {
	case config.OutcomeAccepted:
		_, err := fmt.Fprintf(c.Root().Writer, "version %d accepted, publish %s\n", result.Version, result.ID)

		return errors.Wrap(err, "write result")
	case config.OutcomeRejected:
		return errors.Newf("publish %s was rejected: %s; current version %d, publish %s",
			result.ID, result.Reason, result.Version, result.Winner)
	default:
		return unknown(errors.Newf("outcome of publish %s is unknown; it may still take effect", result.ID))
	}
}

func showManifest(ctx context.Context, c *cli.Command) error {
	if err := noArguments(c); err != nil {
		return err
	}

	return withPublisher(c, func(p *config.Publisher) error {
		base, err := p.Show(ctx)
		if err != nil {
			return errors.Wrap(err, "show manifest")
		}

		zerolog.Ctx(ctx).Info().Uint64("version", base.Version).Str("publish", base.ID).Msg("current manifest")
		_, err = fmt.Fprint(c.Root().Writer, base.Manifest)

		return errors.Wrap(err, "write manifest")
	})
}

func withPublisher(c *cli.Command, use func(*config.Publisher) error) error {
	client, err := logservice.New(c.String(logFlag))
	if err != nil {
		return usage(err)
	}
	defer client.Close()

	return use(config.NewPublisher(client,
		config.WithWait(c.Duration(waitFlag)),
		config.WithCheck(func(text string) error {
			_, err := manifest.Parse("manifest", []byte(text))

			return err
		})))
}
