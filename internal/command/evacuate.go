package command

import (
	"context"
	"fmt"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/internal/store"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

const endFlag, listFlag = "end", "list"

// evacuateRetryDelay is the delay before a call to the store is repeated.
const evacuateRetryDelay = 200 * time.Millisecond

// maxDomainName is the length in bytes of the longest failure domain, whose record has a key of limited length.
const maxDomainName = 240

// Evacuations reads and writes the records that evacuate failure domains.
type Evacuations interface {
	// Evacuated returns the evacuated domains in alphabetical order.
	Evacuated(ctx context.Context) ([]string, error)
	// Set evacuates a domain or ends its evacuation. After an error that is not store.ErrRejected, the record may have
	// been written.
	Set(ctx context.Context, domain string, evacuated bool) error
	// Known reports whether the fleet has an instance in a domain.
	Known(ctx context.Context, domain string) (bool, error)
}

// OpenEvacuations returns the evacuations in the store at an address, and a function that closes the connection to it.
type OpenEvacuations func(address netip.AddrPort) (Evacuations, func())

// WithEvacuations adds the subcommand evacuate.
func WithEvacuations(open OpenEvacuations) Option {
	return func(root *cli.Command) { root.Commands = append(root.Commands, evacuateCommand(open)) }
}

func evacuateCommand(open OpenEvacuations) *cli.Command {
	return &cli.Command{
		Name:      "evacuate",
		Usage:     "keep new requests away from the servers of a failure domain",
		ArgsUsage: "DOMAIN",
		Description: "Exit code 3 means that the record may or may not have been written; the command may be repeated." +
			" Running requests finish.",
		Action: func(ctx context.Context, c *cli.Command) error { return evacuate(ctx, c, open) },
		Flags: append(logFlags(),
			&cli.BoolFlag{Name: endFlag, Usage: "end the evacuation of the domain"},
			&cli.BoolFlag{Name: listFlag, Usage: "print the evacuated domains"}),
	}
}

func evacuate(ctx context.Context, c *cli.Command, open OpenEvacuations) error {
	address, err := settings.StoreAddress(c.String(logFlag))
	if err != nil {
		return usageError(errors.Wrap(err, "log service"))
	}

	evacuations, closeLog := open(address)
	defer closeLog()

	ctx, cancel := context.WithTimeout(ctx, c.Duration(waitFlag))
	defer cancel()

	if c.Bool(listFlag) {
		return listEvacuated(ctx, c, evacuations)
	}

	domain, err := requireOneArgument(c, "DOMAIN")

	switch {
	case err != nil:
		return err
	case domain == "" || len(domain) > maxDomainName:
		return usageError(errors.Newf("failure domain %q: the name is empty or longer than %d bytes", domain, maxDomainName))
	}

	if !c.Bool(endFlag) {
		warnIfUnknown(ctx, evacuations, domain)
	}

	return setEvacuated(ctx, c, evacuations, domain)
}

func listEvacuated(ctx context.Context, c *cli.Command, evacuations Evacuations) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}

	domains, err := evacuations.Evacuated(ctx)
	if err != nil {
		return errors.Wrap(err, "list the evacuated domains")
	}

	for _, domain := range domains {
		if _, err := fmt.Fprintln(c.Root().Writer, domain); err != nil {
			return errors.Wrap(err, "write result")
		}
	}

	return nil
}

// warnIfUnknown logs a warning if no instance is known to be in a domain. Such a domain can be evacuated, because its
// instances may be about to start.
func warnIfUnknown(ctx context.Context, evacuations Evacuations, domain string) {
	known, err := evacuations.Known(ctx, domain)
	if err == nil && known {
		return
	}

	zerolog.Ctx(ctx).Warn().Str("domain", domain).AnErr("error", err).Msg("no instance is known in this failure domain")
}

// setEvacuated writes the record, and repeats a failed call until ctx ends. Writing it twice does no harm.
func setEvacuated(ctx context.Context, c *cli.Command, evacuations Evacuations, domain string) error {
	evacuated, written := !c.Bool(endFlag), false

	for {
		err := evacuations.Set(ctx, domain, evacuated)
		if err == nil {
			break
		}

		written = written || !errors.Is(err, store.ErrRejected)

		switch {
		case task.Sleep(ctx, evacuateRetryDelay):
		case written:
			return unknownOutcome(errors.Wrapf(err, "the record of %s may or may not have been written", domain))
		default:
			return errors.Wrap(err, "nothing was written")
		}
	}

	what := "evacuated"
	if !evacuated {
		what = "no longer evacuated"
	}

	_, err := fmt.Fprintf(c.Root().Writer, "%s: %s\n", domain, what)

	return errors.Wrap(err, "write result")
}
