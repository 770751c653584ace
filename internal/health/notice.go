package health

import (
	"github.com/tarragonmill/tarragonmill/internal/backend"
)

// handleNotice adopts what an earlier run of the daemon has passed on of the server that is there now or was there last.
// What a response has said to this run has precedence.
func (s *State) handleNotice(n backend.Notice) {
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
