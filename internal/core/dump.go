package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

// Dump is the state in plain values.
type Dump struct {
	Requests   int
	Serving    int
	Crashes    int
	Relay      bool
	Routing    routing.Dump
	Admission  admission.Dump
	Keys       keys.Dump
	Suspects   suspects.Dump
	Membership membership.Dump
	Config     config.Dump
	Log        logrelay.Dump
}

// Dump returns the state for the state dump.
func (s *State) Dump(now time.Time) Dump {
	return Dump{
		Requests: len(s.requests), Serving: len(s.serving), Crashes: s.crashes, Relay: s.isRelay,
		Routing: s.routing.Dump(), Admission: s.admission.Dump(), Keys: s.keys.Dump(),
		Suspects: s.suspects.Dump(now), Membership: s.membership.Dump(), Config: s.config.Dump(),
		Log: s.relay.Dump(),
	}
}

// Gauges returns the values that operators watch. Those that only grow are totals since the start.
func (s *State) Gauges(now time.Time) map[string]float64 {
	hint := s.admission.Hint(now)
	routed := s.routing.Dump().Counts
	admitted := s.admission.Dump().Counts

	gauges := map[string]float64{
		"requests":        float64(len(s.requests)),
		"requests_total":  float64(routed.Requests),
		"attempts_total":  float64(routed.Attempts),
		"retries_total":   float64(routed.Retries),
		"probes_total":    float64(routed.Probes),
		"delivered_total": float64(routed.Delivered),
		"given_up_total":  float64(routed.GivenUp),
		"server_inflight": float64(hint.InFlight),
		"server_queue":    float64(hint.Queue),
		"server_limit":    float64(hint.Limit),
		"server_crashes":  float64(s.crashes),
		"started_total":   float64(admitted.Started),
		"refused_total":   float64(admitted.Refused),
		"aborted_total":   float64(admitted.Aborted),
		"suspects":        float64(len(s.suspects.Reports(now))),
	}

	for _, stream := range s.relay.Dump().Streams {
		if stream.Started {
			gauges["log_age_"+stream.Name] = now.Sub(stream.Confirmed).Seconds()
		}
	}

	return gauges
}
