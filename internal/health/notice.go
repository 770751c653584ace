package health

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/backend"
)

// handleLeaving stops using a server that says in a response that it leaves. Unlike an announcement of a fixed server,
// such a response holds for the rest of the server's run, so that a late announcement does not bring it back.
func (s *State) handleLeaving(now time.Time, e Leaving) {
	switch {
	case e.ID != "" && e.ID != s.id:
		// Another server has the address.
	case s.fixed:
		// Its answers to probes say when it no longer drains.
		s.draining = true
	case s.identified:
		s.leaving = true
		s.handleWithdrawn(now, Withdrawn{ID: s.id, Born: s.startTime})
	}
}

// handleNotice adopts what an earlier run of the daemon has passed on of the server that is there now or was there last.
// What a response has said to this run has precedence.
func (s *State) handleNotice(now time.Time, n backend.Notice) {
	known := s.id
	if known == "" {
		known = s.previous
	}

	sameRun := n.Born.IsZero() || s.startTime.IsZero() || n.Born.Equal(s.startTime)
	if n.Server != known || !sameRun {
		return
	}

	if n.Limit.Set && !s.limitKnown {
		s.limit = n.Limit
	}

	if n.Leaving && !s.leaving && !s.fixed {
		s.leaving = true
		s.handleWithdrawn(now, Withdrawn{ID: n.Server, Born: n.Born})
	}
}

// Limit returns the number of requests that the server allows.
func (s *State) Limit() backend.Limit { return s.limit }

// LimitKnown reports whether a response has stated a limit, or that there is none, to this run of the daemon.
func (s *State) LimitKnown() bool { return s.limitKnown }

// Notice returns what the server has said of itself in its responses; the zero value if it has not said anything to this
// run of the daemon.
func (s *State) Notice() backend.Notice {
	if !s.limitKnown && !s.leaving {
		return backend.Notice{}
	}

	return backend.Notice{Server: s.id, Born: s.startTime, Leaving: s.leaving, Limit: s.limit}
}
