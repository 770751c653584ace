// Command tarragonmill is the load balancer's daemon and the operators' tool.
package main

import (
	"context"
	"net/http"
	"os"
	"time"

	"github.com/rs/zerolog"

	"github.com/tarragonmill/tarragonmill/internal/command"
	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/dialect"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	sidecar "github.com/tarragonmill/tarragonmill/internal/v2/daemon"
	"github.com/tarragonmill/tarragonmill/platform"
)

func main() {
	os.Exit(command.Tarragonmill(context.Background(), os.Args, command.Streams{Out: os.Stdout, Err: os.Stderr},
		command.WithDaemon(daemon.Run), command.WithReplay(core.Replay), command.WithSidecar(runSidecar)))
}

// runSidecar runs a daemon on the users' platform.
func runSidecar(
	ctx context.Context, s settings.Settings, reload func() (settings.Settings, error), logger zerolog.Logger,
) error {
	zerolog.TimeFieldFormat = time.RFC3339Nano

	store := platform.NewStore(s.Store)
	defer store.Close()

	names := dialect.Default()
	if s.Fields == settings.PlatformFields {
		names = platform.Dialect()
	}

	return sidecar.New(s, sidecar.Platform{
		Dialect:       names,
		Entries:       store.Topic(platform.MembersTopic),
		Configuration: store.Topic(platform.ConfigTopic),
		ConfigKey:     platform.ConfigKey,
		Decode:        platform.DecodeManifest,
		Announced: func(to sidecar.Announcements) http.Handler {
			return platform.AnnouncementHandler(to)
		},
		ReadyPath: platform.ReadyPath,
	}, sidecar.WithLogger(logger), sidecar.WithReload(reload)).Run(ctx)
}
