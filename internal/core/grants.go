package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
)

// combineDelay is how long the combiner of a failure domain collects extensions before it appends them as
// one record. Extensions are sent at the same second of the clock and are due minutes later.
const combineDelay = 2 * time.Second

// claimDelay is the same for claims and sign-offs, until whose appending callers are refused.
const claimDelay = 300 * time.Millisecond

// combined are the changes that wait to be appended.
type combined struct {
	record keys.Record
	due    time.Time
	// appending is the token of the record that is being appended, or zero.
	appending uint64
}

// appendGrants passes a change of this daemon's grants to the combiner of its failure domain. A change
// that gets lost is asked for again by the keys package.
func (s *State) appendGrants(now time.Time, change keys.Record) []Effect {
	if change.Base != nil || s.membership.Combiner(s.self.Place.Domain) {
		return s.grantsArrived(now, change)
	}

	combiner, ok := s.membership.CombinerOf(s.self.Place.Domain)
	if !ok {
		return s.grantsArrived(now, change)
	}

	return []Effect{SendGrants{To: combiner, Record: change}}
}

// grantsArrived collects changes of grants.
func (s *State) grantsArrived(now time.Time, change keys.Record) []Effect {
	if change.Base != nil {
		return s.writeGrants(now, change)
	}

	if s.combined.record.Empty() {
		s.combined.due = now.Add(combineDelay)
	}

	if len(change.Claims)+len(change.Signoffs) > 0 {
		s.combined.due = minTime(s.combined.due, now.Add(claimDelay))
	}

	s.combined.record.Signoffs = append(s.combined.record.Signoffs, change.Signoffs...)
	s.combined.record.Extensions = append(s.combined.record.Extensions, change.Extensions...)
	s.combined.record.Claims = append(s.combined.record.Claims, change.Claims...)

	return nil
}

func minTime(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}

	return b
}

// flushGrants appends what was collected, one record at a time. While an append waits for its turn, more is
// collected, because the rate of appends is limited: when a fleet starts, each record holds many claims.
func (s *State) flushGrants(now time.Time) []Effect {
	if s.combined.record.Empty() || now.Before(s.combined.due) || s.combined.appending != 0 {
		return nil
	}

	change := s.combined.record
	s.combined = combined{appending: s.token + 1}
	effects := s.writeGrants(now, change)

	if s.token < s.combined.appending {
		// The record could not be encoded, so that no AppendDone follows.
		s.combined.appending = 0
	}

	return effects
}

func (s *State) writeGrants(now time.Time, change keys.Record) []Effect {
	data, err := logservice.EncodeGrants(change)
	if err != nil {
		return nil
	}

	return s.appendRecord(now, record.GrantsStream, data)
}

// ids returns the IDs of members.
func ids(members []instance.Member) []instance.ID {
	all := make([]instance.ID, len(members))
	for i, member := range members {
		all[i] = member.ID
	}

	return all
}
