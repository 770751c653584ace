package membership

import "time"

const (
	// spreads is how often a message to all daemons is sent, because datagrams get lost.
	spreads = 3
	// spreadInterval is the time between two of them.
	spreadInterval = 250 * time.Millisecond
)

// spreading is a message to all daemons that is still sent.
type spreading struct {
	data []byte
	left int
	next time.Time
}

// spread begins to send a message to all daemons.
func (s *State) spread(now time.Time, data []byte) []Effect {
	s.spreading = append(s.spreading, &spreading{data: data, left: spreads, next: now})

	return s.sendSpreads(now)
}

func (s *State) sendSpreads(now time.Time) []Effect {
	var effects []Effect

	kept := s.spreading[:0]

	for _, sp := range s.spreading {
		if !now.Before(sp.next) {
			sp.left--
			sp.next = now.Add(spreadInterval)

			for _, p := range s.order {
				beat := s.beat(false, false)
				beat.Message = sp.data
				effects = append(effects, SendBeat{To: p.member.Peer, Beat: beat})
			}
		}

		if sp.left > 0 {
			kept = append(kept, sp)
		}
	}

	clear(s.spreading[len(kept):])
	s.spreading = kept

	return effects
}
