package command

import (
	"context"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/rs/zerolog"
	"github.com/urfave/cli/v3"

	"github.com/tarragonmill/tarragonmill/internal/standin/backend"
	"github.com/tarragonmill/tarragonmill/internal/standin/store"
)

const (
	listenFlag  = "listen"
	seedFlag    = "seed"
	nameFlag    = "name"
	slotsFlag   = "slots"
	serviceFlag = "service"
)

// Defaults of the stand-ins, which listen on loopback.
const (
	defaultLogListen     = "127.0.0.1:9000"
	defaultBackendListen = "127.0.0.1:7000"
	defaultSlots         = 6
	defaultServiceTime   = 5 * time.Millisecond
)

func standinLogCommand() *cli.Command {
	return &cli.Command{
		Name:  "log",
		Usage: "run the platform's log service in memory, for trials and tests; records are lost when it ends",
		Flags: []cli.Flag{&cli.StringFlag{Name: listenFlag, Usage: "listen `ADDRESS`", Value: defaultLogListen}},
		Action: func(ctx context.Context, c *cli.Command) error {
			return serveStandin(ctx, c, store.New())
		},
	}
}

func standinBackendCommand() *cli.Command {
	return &cli.Command{
		Name:  "backend",
		Usage: "run a backend server with a number of slots and a service time",
		Flags: []cli.Flag{
			&cli.StringFlag{Name: listenFlag, Usage: "listen `ADDRESS`", Value: defaultBackendListen},
			&cli.StringFlag{Name: nameFlag, Usage: "name of the server in its responses", Value: "backend"},
			&cli.IntFlag{Name: slotsFlag, Usage: "requests that run at once", Value: defaultSlots},
			&cli.DurationFlag{Name: serviceFlag, Usage: "time that a request holds a slot", Value: defaultServiceTime},
		},
		Action: func(ctx context.Context, c *cli.Command) error {
			if c.Int(slotsFlag) < 1 {
				return usageError(errors.Newf("%s: --%s must be at least 1", c.FullName(), slotsFlag))
			}

			return serveStandin(ctx, c, backend.New(c.String(nameFlag), c.Int(slotsFlag),
				backend.Behaviour{ServiceTime: c.Duration(serviceFlag)}))
		},
	}
}

// server serves requests on a listener until ctx is cancelled.
type server interface {
	Serve(ctx context.Context, listener net.Listener) error
}

func serveStandin(ctx context.Context, c *cli.Command, s server) error {
	if err := requireNoArguments(c); err != nil {
		return err
	}

	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", c.String(listenFlag))
	if err != nil {
		return errors.Wrap(err, "listen")
	}

	zerolog.Ctx(ctx).Info().Stringer("address", listener.Addr()).Msg("listening")

	return s.Serve(ctx, listener)
}
