package quota

import (
	"cmp"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/times"
)

// lender is another failure domain whose pool may lend.
type lender struct {
	place instance.Place
	// members are sorted by ID.
	members []instance.Member
	// silent holds the members that do not answer.
	silent map[instance.ID]time.Time
	// asked is the member that the outstanding request was sent to, wanted what it asked for; sequence is zero if there is
	// none.
	asked    instance.Member
	sequence uint64
	sentAt   time.Time
	wanted   []Item
	missed   int
}

// setLenders lists the other failure domains, those of the same region first.
func (s *State) setLenders() {
	former := s.lenders
	s.lenders = nil

	for _, member := range s.list {
		if member.Place == s.self.Place {
			continue
		}

		at := slices.IndexFunc(s.lenders, func(l *lender) bool { return l.place == member.Place })
		if at < 0 {
			at = len(s.lenders)
			s.lenders = append(s.lenders, findLender(former, member.Place))
		}

		s.lenders[at].members = append(s.lenders[at].members, member)
	}

	for _, l := range s.lenders {
		slices.SortFunc(l.members, func(a, b instance.Member) int { return cmp.Compare(a.ID, b.ID) })
	}

	slices.SortFunc(s.lenders, func(a, b *lender) int {
		return cmp.Or(
			-compareBool(a.place.Region == s.self.Place.Region, b.place.Region == s.self.Place.Region),
			cmp.Compare(a.place.Region, b.place.Region), cmp.Compare(a.place.Domain, b.place.Domain),
		)
	})
}

func findLender(former []*lender, place instance.Place) *lender {
	for _, l := range former {
		if l.place == place {
			l.members = nil

			return l
		}
	}

	return &lender{place: place, silent: make(map[instance.ID]time.Time)}
}

func compareBool(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return 1
	default:
		return -1
	}
}

// pool returns the member of the failure domain that is expected to keep its pool.
func (l *lender) pool(now time.Time) (instance.Member, bool) {
	for _, member := range l.members {
		if member.Usable() && !now.Before(l.silent[member.ID]) {
			return member, true
		}
	}

	return instance.Member{}, false
}

func (s *State) borrow(now time.Time, l *lender, items []Item, out *effects) {
	member, _ := l.pool(now)
	l.asked, l.sequence, l.sentAt, l.wanted = member, s.nextSequence(), now, items
	s.counts.Borrows++
	s.send(member, Message{Kind: Borrow, Sequence: l.sequence, Items: items}, out)
}

// loseRequests ends the requests for loans that were not answered.
func (s *State) loseRequests(now time.Time) {
	for _, l := range s.lenders {
		if l.sequence == 0 || now.Sub(l.sentAt) < loanTimeout {
			continue
		}

		l.sequence = 0

		if l.missed++; l.missed > 1 {
			l.missed = 0
			l.silent[l.asked.ID] = now.Add(lenderSilence)
		}
	}
}

// nextLoan returns when the loans need attention.
func (s *State) nextLoan() time.Time {
	next := s.planAt

	for _, l := range s.lenders {
		if l.sequence != 0 {
			next = times.Next(next, l.sentAt.Add(loanTimeout))
		}
	}

	return next
}
