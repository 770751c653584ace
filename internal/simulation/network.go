package simulation

import (
	"math/rand/v2"
	"time"
)

// One-way delays between instances.
const (
	sameInstanceDelay = 50 * time.Microsecond
	sameDomainDelay   = 150 * time.Microsecond
	sameRegionDelay   = time.Millisecond
	crossRegionDelay  = 20 * time.Millisecond
	// refusedTime is how long a connection to an instance without a process takes to be refused, besides the round trip.
	connectionRefusedTime = 100 * time.Microsecond
)

// network carries messages between instances. Streams keep their order and are held up while their link is cut;
// datagrams get lost then.
type network struct {
	clock  *clock
	random *rand.Rand
	// cut holds how many faults separate an instance from all others, split how many separate the regions.
	cutFaults   map[*daemon]int
	splitFaults int
	// loss is the share of datagrams that get lost.
	lossShare float64
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
		return sameInstanceDelay
	case from.place == to.place:
		return sameDomainDelay
	case from.place.Region == to.place.Region:
		return sameRegionDelay
	default:
		return crossRegionDelay
	}
}

func (n *network) isCut(from, to *daemon) bool {
	if from == to {
		return false
	}

	return n.cutFaults[from] > 0 || n.cutFaults[to] > 0 || n.splitFaults > 0 && from.place.Region != to.place.Region
}

// stream carries a message of a connection.
func (n *network) sendStream(from, to *daemon, deliver func()) {
	if n.isCut(from, to) {
		n.held = append(n.held, heldMessage{from: from, to: to, deliver: deliver})

		return
	}

	n.clock.scheduleAfter(delay(from, to), deliver)
}

// datagram carries a message that may get lost.
func (n *network) sendDatagram(from, to *daemon, deliver func()) {
	if n.isCut(from, to) || n.lossShare > 0 && n.random.Float64() < n.lossShare {
		return
	}

	n.clock.scheduleAfter(delay(from, to), deliver)
}

// healed delivers what was held up on links that are no longer cut.
func (n *network) deliverHeld() {
	kept := n.held[:0]

	for _, m := range n.held {
		if n.isCut(m.from, m.to) {
			kept = append(kept, m)
		} else {
			n.clock.scheduleAfter(delay(m.from, m.to), m.deliver)
		}
	}

	n.held = kept
}
