package membership

import (
	"encoding/binary"
	"net/netip"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/tarragonmill/tarragonmill/internal/instance"
)

// Reference is a hash of a member's ID, incarnation and counter, which identify its member record. Beats to daemons
// that have the record carry the reference instead, because names and addresses make up most of a beat.
type Reference uint32

// ReferenceOf returns the reference to a member record; it is never zero.
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
	// introductionInterval is the minimum time between two requests to an address to introduce itself.
	introductionInterval = minGreetInterval
	// maxIntroductionRequests is the maximum number of addresses whose last request is remembered.
	maxIntroductionRequests = 256
)

// referenceIndex finds a peer by the reference to its member record.
type referenceIndex map[Reference]*peer

func (i referenceIndex) add(p *peer) { i[ReferenceOf(p.member)] = p }

func (i referenceIndex) remove(p *peer) {
	if r := ReferenceOf(p.member); i[r] == p {
		delete(i, r)
	}
}

// resolveSender replaces the reference in a beat by the sender's member record. If the reference is unknown, it returns
// false and an effect that asks the sender to introduce itself.
func (s *State) resolveSender(now time.Time, e BeatHeard) (Beat, bool, []Effect) {
	b := e.Beat
	if b.Reference == 0 {
		return b, true, nil
	}

	p := s.peersByReference[b.Reference]
	if p == nil {
		return b, false, s.requestIntroduction(now, e.Source)
	}

	b.From = p.member
	if b.Report.Counter > 0 {
		b.Report.Server, b.Report.Incarnation = p.member.ID, p.member.Incarnation
	}

	return b, true, nil
}

// requestIntroduction greets the daemon at an address, so that it sends a beat in return. It does so at most once per
// introductionInterval.
func (s *State) requestIntroduction(now time.Time, source netip.AddrPort) []Effect {
	if at, asked := s.introductionRequests[source]; asked && now.Sub(at) < introductionInterval ||
		!source.IsValid() {
		return nil
	}

	if len(s.introductionRequests) >= maxIntroductionRequests {
		clear(s.introductionRequests)
	}

	s.introductionRequests[source] = now

	return []Effect{SendBeat{To: source, Beat: s.newBeat(false, true)}}
}

// useReference replaces the member record in a beat by a reference if the peer has the record. A greeting always holds
// the full record.
func (s *State) useReference(p *peer, b Beat) Beat {
	if s.hasCurrentReference(p) && !b.Greeting {
		b.Reference, b.From = p.sentReference, instance.Member{}

		return b
	}

	p.sentReference = ReferenceOf(s.self.Member)

	return b
}

// hasCurrentReference reports whether the peer was sent the present member record of this daemon. The datagram with the
// record may have been lost.
func (s *State) hasCurrentReference(p *peer) bool {
	return p.understandsReferences && p.sentReference == ReferenceOf(s.self.Member)
}
