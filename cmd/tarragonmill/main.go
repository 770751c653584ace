// Command tarragonmill is the load balancer's daemon and the operators' tool.
package main

import (
	"context"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/tarragonmill/tarragonmill/internal/command"
	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/platform"
)

func main() {
	zerolog.TimeFieldFormat = time.RFC3339Nano

	os.Exit(command.Tarragonmill(context.Background(), os.Args, command.Streams{Out: os.Stdout, Err: os.Stderr},
		command.WithDaemon(runDaemon), command.WithManifests(openManifests), command.WithReplay(core.Replay)))
}

// openManifests returns the topic in which the project's own manifests are published.
func openManifests(address netip.AddrPort) (config.Log, func()) {
	store := platform.NewStore(address)

	return store.Topic(platform.ManifestTopic), store.Close
}

// runDaemon runs a daemon until ctx ends.
func runDaemon(
	ctx context.Context, s settings.Settings, reload func() (settings.Settings, error), logger zerolog.Logger,
) error {
	store := platform.NewStore(s.Store)
	defer store.Close()

	d, err := daemon.New(s, platformOf(s, store), daemon.WithLogger(logger), daemon.WithReload(reload))
	if err != nil {
		return err
	}

	return d.Run(ctx)
}

// platformOf binds what the daemon runs on. With the platform's header fields, the operator's configuration is
// followed; otherwise the manifests that the project's own command publishes.
func platformOf(s settings.Settings, store *platform.Store) daemon.Platform {
	p := daemon.Own(store.Topic(platform.MembersTopic), store.Topic(platform.ManifestTopic),
		store.Topic(platform.GrantsTopic), store.Topic(platform.BasesTopic))
	p.Announced = func(to daemon.Announcements) http.Handler { return platform.AnnouncementHandler(to) }
	p.StoreCounts = func() daemon.StoreCounts { return daemon.StoreCounts(store.Counts()) }

	if s.Fields == settings.PlatformFields {
		p.Dialect = platform.Dialect()
		p.Configuration = store.Topic(platform.ConfigTopic)
		p.ConfigKey, p.Decode = platform.ConfigKey, platform.DecodeManifest
		p.ReadyPath = platform.ReadyPath
	}

	return p
}
