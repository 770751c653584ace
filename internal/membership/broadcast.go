package membership

import "time"

const (
	// broadcastCopies is how many times a message to all daemons is sent, because datagrams get lost.
	broadcastCopies = 3
	// broadcastInterval is the time between two copies.
	broadcastInterval = 250 * time.Millisecond
)

// broadcast is a message to all daemons of which some copies remain to be sent.
type broadcast struct {
	data      []byte
	remaining int
	nextSend  time.Time
}

// startBroadcast sends the first copy of a message to all daemons and schedules the others.
func (s *State) startBroadcast(now time.Time, data []byte) []Effect {
	s.broadcasts = append(s.broadcasts, &broadcast{data: data, remaining: broadcastCopies, nextSend: now})

	return s.sendBroadcasts(now)
}

// sendBroadcasts sends the copies that are due.
func (s *State) sendBroadcasts(now time.Time) []Effect {
	var effects []Effect

	kept := s.broadcasts[:0]

	for _, b := range s.broadcasts {
		if !now.Before(b.nextSend) {
			b.remaining--
			b.nextSend = now.Add(broadcastInterval)

			for _, p := range s.order {
				beat := s.newBeat(false, false)
				beat.Message = b.data
				effects = append(effects, SendBeat{To: p.member.Peer, Beat: beat})
			}
		}

		if b.remaining > 0 {
			kept = append(kept, b)
		}
	}

	clear(s.broadcasts[len(kept):])
	s.broadcasts = kept

	return effects
}
