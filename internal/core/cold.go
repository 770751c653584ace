package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/health"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

// applyColdPolicy tells health what the manifest states of cold servers of the daemon's service.
func (s *State) applyColdPolicy(now time.Time) []Effect {
	var cold manifest.Cold

	for _, service := range s.manifest.Services {
		if service.Name == s.options.Self.Service {
			cold = service.Cold
		}
	}

	if cold == s.health.ColdPolicy() {
		return nil
	}

	return s.applyHealth(now, health.ColdPolicyChanged{Cold: cold})
}

// limitsCold reports whether the requests of the local server are limited while it is cold.
func (s *State) limitsCold() bool { return s.health.ColdPolicy().Rate > 0 }

// isCold reports whether the local server is known to be cold and its requests are limited for that.
func (s *State) isCold(now time.Time) bool { return s.limitsCold() && s.health.ColdFor(now) > 0 }

// hasRequests reports whether requests run at the local server or wait for it, as far as that matters for a cold
// server.
func (s *State) hasRequests() bool {
	return s.limitsCold() && (s.admission.Running() > 0 || s.admission.Waiting().Total() > 0)
}

// endIdleTime tells health of the first attempt after an idle time before admission may start it, because the server
// may have become cold meanwhile.
func (s *State) endIdleTime(now time.Time) []Effect {
	if !s.limitsCold() || s.health.Running() {
		return nil
	}

	return s.applyHealth(now, health.Busy{Watched: s.health.Watched(), Running: true})
}
