package simulation

import (
	"math/rand/v2"
	"time"
)

// One-way delays between instances.
const (
	instanceDelay = 50 * time.Microsecond
	domainDelay   = 150 * time.Microsecond
	regionDelay   = time.Millisecond
	remoteDelay   = 20 * time.Millisecond
	// refusedTime is how long a connection to an instance without a process takes to be refused, besides the round trip.
	refusedTime = 100 * time.Microsecond
)

// network carries messages between instances. Streams keep their order and are held up while their link is cut;
// datagrams get lost then.
type network struct {
	clock  *clock
	random *rand.Rand
	// cut holds how many faults separate an instance from all others, split how many separate the regions.
	cut   map[*daemon]int
	split int
	// loss is the share of datagrams that get lost.
	loss float64
	// held are stream messages on links that are cut, in the order of sending.
	held []heldMessage
}

type heldMessage struct {
	from, to *daemon
	deliver  func()
}

func delay(from, to *daemon) time.Duration {
	switch {
	case from == to:
		return instanceDelay
	case from.place == to.place:
		return domainDelay
	case from.place.Region == to.place.Region:
		return regionDelay
	default:
		return remoteDelay
	}
}

func (n *network) isCut(from, to *daemon) bool {
	if from == to {
		return false
	}

	return n.cut[from] > 0 || n.cut[to] > 0 || n.split > 0 && from.place.Region != to.place.Region
}

// stream carries a message of a connection.
func (n *network) stream(from, to *daemon, deliver func()) {
	if n.isCut(from, to) {
		n.held = append(n.held, heldMessage{from: from, to: to, deliver: deliver})

		return
	}

	n.clock.after(delay(from, to), deliver)
}

// datagram carries a message that may get lost.
func (n *network) datagram(from, to *daemon, deliver func()) {
	if n.isCut(from, to) || n.loss > 0 && n.random.Float64() < n.loss {
		return
	}

	n.clock.after(delay(from, to), deliver)
}

// healed delivers what was held up on links that are no longer cut.
func (n *network) healed() {
	kept := n.held[:0]

	for _, m := range n.held {
		if n.isCut(m.from, m.to) {
			kept = append(kept, m)
		} else {
			n.clock.after(delay(m.from, m.to), m.deliver)
		}
	}

	n.held = kept
}
