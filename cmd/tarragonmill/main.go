// Command tarragonmill runs the daemon of the load balancer and has the subcommands for operators.
package main

import (
	"context"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/tarragonmill/tarragonmill/internal/bind"
	"github.com/tarragonmill/tarragonmill/internal/command"
	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/memory"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/platform"
)

func main() {
	zerolog.TimeFieldFormat = time.RFC3339Nano

	os.Exit(command.Tarragonmill(context.Background(), os.Args, command.Streams{Out: os.Stdout, Err: os.Stderr},
		command.WithDaemon(runDaemon), command.WithManifests(openManifests),
		command.WithEvacuations(openEvacuations), command.WithReplay(core.Replay)))
}

// openManifests returns the topic to which manifests in this project's INI form are published, and a function that
// closes the store.
func openManifests(address netip.AddrPort) (config.Log, func()) {
	store := platform.NewStore(address)

	return store.Topic(platform.ManifestTopic), store.Close
}

// openEvacuations returns the records that evacuate failure domains, and a function that closes the store.
func openEvacuations(address netip.AddrPort) (command.Evacuations, func()) {
	store := platform.NewStore(address)

	return bind.NewEvacuations(store), store.Close
}

// runDaemon runs a daemon until ctx is cancelled.
func runDaemon(
	ctx context.Context, s settings.Settings, reload func() (settings.Settings, error), logger zerolog.Logger,
) error {
	store := platform.NewStore(s.Store)
	defer store.Close()

	d, err := daemon.New(s, bind.Platform(s.Fields, store), daemon.WithLogger(logger), daemon.WithReload(reload))
	if err != nil {
		return err
	}

	memory.SetSoftLimit(d.MemoryAvailable())

	return d.Run(ctx)
}
