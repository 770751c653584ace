package simulation

import (
	"math/rand/v2"
	"time"
)

// One-way network delays, by the distance between two instances.
const (
	sameInstanceDelay = 50 * time.Microsecond
	sameDomainDelay   = 150 * time.Microsecond
	sameRegionDelay   = time.Millisecond
	crossRegionDelay  = 20 * time.Millisecond
	// connectionRefusedTime is how long it takes to refuse a connection to an instance without a running daemon, in
	// addition to the round trip.
	connectionRefusedTime = 100 * time.Microsecond
)

// network delivers messages between instances. Stream messages keep their order and are held while their link is cut;
// datagrams on a cut link are lost.
type network struct {
	clock  *clock
	random *rand.Rand
	// cutFaults counts the active faults that separate an instance from all others, splitFaults those that separate
	// the regions.
	cutFaults   map[*daemon]int
	splitFaults int
	// lossShare is the share of datagrams that are lost.
	lossShare float64
	// held are the stream messages on cut links, in the order of sending.
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

// sendStream sends a message on a connection.
func (n *network) sendStream(from, to *daemon, deliver func()) {
	if n.isCut(from, to) {
		n.held = append(n.held, heldMessage{from: from, to: to, deliver: deliver})

		return
	}

	n.clock.scheduleAfter(delay(from, to), deliver)
}

// sendDatagram sends a message that may get lost.
func (n *network) sendDatagram(from, to *daemon, deliver func()) {
	if n.isCut(from, to) || n.lossShare > 0 && n.random.Float64() < n.lossShare {
		return
	}

	n.clock.scheduleAfter(delay(from, to), deliver)
}

// deliverHeld delivers the held messages of links that are no longer cut.
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
