package membership

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Dump holds the state for the state dump, sorted by ID.
type Dump struct {
	Ready bool
	Self  Entry
	Peers []DumpPeer
}

// DumpPeer is one other daemon of a Dump.
type DumpPeer struct {
	Member instance.Member
	// Age of the last beat; negative if there was none.
	Age              time.Duration
	Watched, Watcher bool
}

// Dump returns plain values.
func (s *State) Dump(now time.Time) Dump {
	d := Dump{Ready: s.ready, Self: s.self}

	for _, p := range s.order {
		age := time.Duration(-1)
		if !p.heard.IsZero() {
			age = now.Sub(p.heard)
		}

		d.Peers = append(d.Peers, DumpPeer{
			Member: p.member, Age: age, Watched: p.watched, Watcher: now.Before(p.watcher),
		})
	}

	return d
}
