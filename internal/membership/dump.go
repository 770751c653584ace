package membership

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Dump is the membership part of the state dump. Peers are sorted by ID.
type Dump struct {
	Ready bool
	Self  Entry
	Peers []DumpPeer
}

// DumpPeer is another daemon in a Dump.
type DumpPeer struct {
	Member instance.Member
	// Age is the time since the last beat; negative if there was none.
	Age time.Duration
	// Watched is set if this daemon watches the peer, Watcher if the peer watches this daemon.
	Watched, Watcher bool
}

// Dump returns a copy of the state for the state dump.
func (s *State) Dump(now time.Time) Dump {
	d := Dump{Ready: s.ready, Self: s.self}

	for _, p := range s.order {
		age := time.Duration(-1)
		if !p.heardAt.IsZero() {
			age = now.Sub(p.heardAt)
		}

		d.Peers = append(d.Peers, DumpPeer{
			Member: p.member, Age: age, Watched: p.watched, Watcher: now.Before(p.watchesUntil),
		})
	}

	return d
}
