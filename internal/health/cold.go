package health

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/backend"
	"github.com/tarragonmill/tarragonmill/internal/times"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
)

const (
	// coldProbeInterval is the time between two probes of a server that may become cold, while it has requests. It
	// leaves 10 ms for the answer, so that the server is known to be cold after 100 ms.
	coldProbeInterval = 90 * time.Millisecond
	// coldAnswerTime is how long a server that was idle counts as cold without an answer to a probe. It exceeds the
	// time limit of a probe.
	coldAnswerTime = 500 * time.Millisecond
	// probeStatementTime is how long an announcement, which may be late, does not shorten the cold time that an answer
	// to a probe has stated.
	probeStatementTime = time.Second
)

// coldness is what is known of whether the server is cold: slow, and overloaded by few requests, after a start.
type coldness struct {
	// policy is that of the service; its rate is zero if the requests of cold servers are not limited.
	policy manifest.Cold
	// until is when the server is warm again, by its last statement.
	until time.Time
	// assumedFrom is the start of a run of the server that states no cold time. It counts as cold for the time in
	// policy. It is zero if the run has stated one.
	assumedFrom time.Time
	// answeredAt is when the server last answered a probe.
	answeredAt time.Time
	// running is set while the server has requests; see Busy.
	running bool
	// unknownUntil is until when the server counts as cold because it was idle and has not answered a probe since.
	unknownUntil time.Time
	// reported is set if the last ColdChanged said that the server is cold.
	reported bool
}

// end returns when the server is warm again; a time that has passed if it is warm.
func (c *coldness) end() time.Time {
	if !c.assumedFrom.IsZero() {
		return c.assumedFrom.Add(c.policy.Time)
	}

	return c.until
}

// setUntil records a statement of the server.
func (c *coldness) setUntil(until time.Time) { c.until, c.assumedFrom = until, time.Time{} }

// handleAnnounced takes over what an announcement states. replaced is set if it is of another run of the server than
// the one known before, and known if there was one.
func (c *coldness) handleAnnounced(now time.Time, a backend.Announcement, replaced, known bool) {
	until := now.Add(a.ColdFor)

	switch {
	case a.ColdStated && !replaced && !c.answeredAt.IsZero() && now.Sub(c.answeredAt) < probeStatementTime:
		c.setUntil(times.Later(c.end(), until))
	case a.ColdStated:
		c.setUntil(until)
	case !replaced:
	case !a.Born.IsZero():
		// The server is on the same instance and has the same clock.
		c.assumedFrom = times.Earlier(a.Born, now)
	case known:
		c.assumedFrom = now
	default:
		c.setUntil(now)
	}
}

// handleProbed takes over what an answer to a probe states. An answer without a statement changes nothing, but shows
// that the server was asked.
func (c *coldness) handleProbed(now time.Time, e Probed) {
	c.answeredAt, c.unknownUntil = now, time.Time{}

	if e.ColdStated {
		c.setUntil(now.Add(e.ColdFor))
	}
}

// handleBusy records whether the server has requests. A server that gets one after a pause may have become cold
// meanwhile.
func (c *coldness) handleBusy(now time.Time, running bool) {
	if running && !c.running && c.policy.Rate > 0 && now.Sub(c.answeredAt) > coldProbeInterval {
		c.unknownUntil = now.Add(coldAnswerTime)
	}

	c.running = running
}

// change returns the effect that reports whether the server is cold, if that has changed.
func (s *State) coldChange(now time.Time) []Effect {
	cold := s.cold.policy.Rate > 0 && s.identified && s.ColdFor(now) > 0
	if cold == s.cold.reported {
		return nil
	}

	s.cold.reported = cold

	return []Effect{ColdChanged{ColdFor: s.ColdFor(now)}}
}

// nextColdProbe returns when a server that may become cold is to be probed; the zero time if it need not.
func (s *State) nextColdProbe(allowed time.Time) time.Time {
	if s.cold.policy.Rate <= 0 || !s.cold.running || s.RefusalReason() != "" {
		return time.Time{}
	}

	return times.Later(allowed, s.lastProbe.Add(coldProbeInterval))
}

// nextColdChange returns when the server is warm again; the zero time if it is.
func (s *State) nextColdChange() time.Time {
	if !s.cold.reported {
		return time.Time{}
	}

	return s.cold.end()
}

// ColdFor returns for how much longer the server is slow after its start.
func (s *State) ColdFor(now time.Time) time.Duration { return max(0, s.cold.end().Sub(now)) }

// ColdLimit limits the requests of a server that is cold, or may have become so while it was idle.
type ColdLimit struct {
	// PerSecond is the number of requests per second that the server tolerates; zero if the service states none.
	PerSecond float64
	Until     time.Time
	// Unknown is set if the server has not said that it is cold. From is when it last said that it was not; zero if it
	// has not.
	Unknown bool
	From    time.Time
}

// ColdLimit returns the limit at the present time.
func (s *State) ColdLimit(now time.Time) ColdLimit {
	limit := ColdLimit{PerSecond: s.cold.policy.Rate, Until: s.cold.end()}

	if !now.Before(limit.Until) && now.Before(s.cold.unknownUntil) {
		if !limit.Until.After(s.cold.answeredAt) {
			limit.From = s.cold.answeredAt
		}

		limit.Until, limit.Unknown = s.cold.unknownUntil, true
	}

	return limit
}

// ColdPolicy returns the policy of the last ColdPolicyChanged.
func (s *State) ColdPolicy() manifest.Cold { return s.cold.policy }

// Running reports whether the server has requests, as far as it matters for a cold server; see Busy.
func (s *State) Running() bool { return s.cold.running }
