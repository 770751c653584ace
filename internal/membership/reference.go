package membership

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Reference stands for what a member has said of itself: its ID, incarnation and counter. Beats to daemons that know it
// have the reference instead, as names and addresses are most of a beat.
type Reference uint32

// ReferenceOf returns the reference to a member; it is never zero.
func ReferenceOf(m instance.Member) Reference {
	digest := xxhash.New()
	_, _ = digest.WriteString(string(m.ID))

	var numbers [16]byte

	binary.BigEndian.PutUint64(numbers[:], uint64(m.Incarnation))
	binary.BigEndian.PutUint64(numbers[8:], m.Counter)
	_, _ = digest.Write(numbers[:])

	return max(1, Reference(digest.Sum64()))
}

const (
	// askInterval is the least time between two questions to an address who is there.
	askInterval = greetMin
	// maxAsked bounds the addresses that are remembered for it.
	maxAsked = 256
)

// index keeps the peers by their references.
type index map[Reference]*peer

func (i index) add(p *peer) { i[ReferenceOf(p.member)] = p }

func (i index) remove(p *peer) {
	if r := ReferenceOf(p.member); i[r] == p {
		delete(i, r)
	}
}

// resolve puts the sender of a beat in place of a reference to it. If the reference is not known, the sender is asked to
// introduce itself.
func (s *State) resolve(now time.Time, e BeatHeard) (Beat, bool, []Effect) {
	b := e.Beat
	if b.Reference == 0 {
		return b, true, nil
	}

	p := s.index[b.Reference]
	if p == nil {
		return b, false, s.ask(now, e.Source)
	}

	b.From = p.member
	if b.Report.Counter > 0 {
		b.Report.Server, b.Report.Incarnation = p.member.ID, p.member.Incarnation
	}

	return b, true, nil
}

// ask greets whoever is at an address.
func (s *State) ask(now time.Time, source netip.AddrPort) []Effect {
	if at, asked := s.asked[source]; asked && now.Sub(at) < askInterval || !source.IsValid() {
		return nil
	}

	if len(s.asked) >= maxAsked {
		clear(s.asked)
	}

	s.asked[source] = now

	return []Effect{SendBeat{To: source, Beat: s.beat(false, true)}}
}

// refer shortens a beat to a peer that was told of this daemon before.
func (s *State) refer(p *peer, b Beat) Beat {
	if s.knows(p) && !b.Greeting {
		b.Reference, b.From = p.introduced, instance.Member{}

		return b
	}

	p.introduced = ReferenceOf(s.self.Member)

	return b
}

// knows reports whether a peer was told what this daemon says of itself, as far as no datagram got lost.
func (s *State) knows(p *peer) bool {
	return p.references && p.introduced == ReferenceOf(s.self.Member)
}
