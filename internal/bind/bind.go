// Package bind says what a daemon runs on: which topics of the store hold what, and whose header fields and
// configuration it follows. The daemon's program and fleets in tests use the same binding.
package bind

import (
	"net/http"

	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/platform"
)

// Platform binds a daemon to a store. With the platform's header fields, the operator's configuration is followed;
// otherwise the manifests that the project's own command publishes.
func Platform(fields string, store *platform.Store) daemon.Platform {
	p := daemon.Own(store.Topic(platform.MembersTopic), store.Topic(platform.ManifestTopic),
		store.Topic(platform.GrantsTopic), store.Topic(platform.BasesTopic))
	p.Announced = func(to daemon.Announcements) http.Handler { return platform.AnnouncementHandler(to) }
	p.StoreCounts = func() daemon.StoreCounts { return daemon.StoreCounts(store.Counts()) }

	if fields == settings.PlatformFields {
		p.Dialect = platform.Dialect()
		p.Configuration = store.Topic(platform.ConfigTopic)
		p.ConfigKey, p.Decode = platform.ConfigKey, platform.DecodeManifest
		p.ReadyPath = platform.ReadyPath
	}

	return p
}
