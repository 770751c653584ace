// Package bind connects a daemon to its platform: it selects the topics of the store, the names of the header fields
// and the source of the configuration. The daemon's main program and the fleets in tests share this setup.
package bind

import (
	"net/http"

	"github.com/tarragonmill/tarragonmill/internal/daemon"
	"github.com/tarragonmill/tarragonmill/internal/settings"
	"github.com/tarragonmill/tarragonmill/platform"
)

// Platform returns a platform for the daemon that is backed by store. If fields is settings.PlatformFields, the daemon
// uses the platform's header fields and follows the operator's configuration; otherwise it uses the project's own
// header fields and follows the manifests that the project's own command publishes.
func Platform(fields string, store *platform.Store) daemon.Platform {
	p := daemon.DefaultPlatform(store.Topic(platform.MembersTopic), store.Topic(platform.ManifestTopic),
		store.Topic(platform.GrantsTopic), store.Topic(platform.BasesTopic))
	p.AnnouncementHandler = func(to daemon.AnnouncementReceiver) http.Handler { return platform.AnnouncementHandler(to) }
	p.StoreCounts = func() daemon.StoreCounts { return daemon.StoreCounts(store.Counts()) }

	p.ObserveEpoch = store.ObserveEpoch
	p.EvacuatedDomain = platform.EvacuatedDomain

	if fields == settings.PlatformFields {
		p.Dialect = platform.Dialect()
		p.Configuration = store.Topic(platform.ConfigTopic)
		p.ConfigKey, p.Decode = platform.ConfigKey, platform.DecodeManifest
		p.ReadyPath = platform.ReadyPath
	}

	return p
}
