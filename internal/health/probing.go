package health

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/times"
)

// nextProbe returns when a probe is due; the zero time if none is.
func (s *State) nextProbe() time.Time {
	if !s.probeStarted.IsZero() || s.minProbeGap < 0 {
		return time.Time{}
	}

	allowed := s.lastProbe.Add(s.minProbeGap)

	switch {
	case !s.identified && s.previous == "":
		return time.Time{}
	case !s.identified || s.down:
		return times.Later(allowed, s.lastProbe.Add(downProbeInterval))
	case s.fixed && s.probeInterval > 0, s.watched && s.probeInterval > 0 && !s.draining:
		atAge := times.Later(allowed, times.Later(s.loadObservedAt, s.lastProbe).Add(s.probeInterval))

		return times.Next(atAge, s.nextColdProbe(allowed))
	default:
		return s.nextColdProbe(allowed)
	}
}

// handleProbed handles the outcome of a probe. After a restart of the daemon, the server that announced itself to the
// earlier run is used as soon as it reports that it is healthy. Any other server at the address may belong to another
// service, and is not used before it announces itself.
func (s *State) handleProbed(now time.Time, e Probed) {
	s.probeStarted = time.Time{}

	if e.Repeated {
		// The second probe counts as one that was sent when the next one would have been allowed.
		s.lastProbe = s.lastProbe.Add(max(0, s.minProbeGap))
		s.counts.Probes++
	}

	if !e.Answered {
		s.lostProbes++
		s.down = s.down || s.lostProbes >= downAfterLostProbes

		return
	}

	s.lostProbes = 0

	if e.Loaded {
		s.recordLoad(now, e.Load)
	}

	if e.Healthy {
		s.down = false
	}

	if s.fixed {
		s.draining = e.Draining
	}

	if !s.identified && e.Healthy && !e.Draining && e.ID != "" && e.ID == s.previous && e.Load.Slots > 0 {
		s.resetObservations()
		s.identified, s.id, s.startTime, s.sequence = true, e.ID, time.Time{}, 0
		s.slots, s.previous = e.Load.Slots, ""
	}

	if s.identified && (e.ID == "" || e.ID == s.id) {
		s.cold.handleProbed(now, e)
	}
}
