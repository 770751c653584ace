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

// combined are the changes that wait to be appended.
type combined struct {
	record keys.Record
	due    time.Time
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
		// Callers are refused until a claim or sign-off is in the log, so these do not wait.
		s.combined.due = now
	}

	s.combined.record.Signoffs = append(s.combined.record.Signoffs, change.Signoffs...)
	s.combined.record.Extensions = append(s.combined.record.Extensions, change.Extensions...)
	s.combined.record.Claims = append(s.combined.record.Claims, change.Claims...)

	return s.flushGrants(now)
}

// flushGrants appends what was collected.
func (s *State) flushGrants(now time.Time) []Effect {
	if s.combined.record.Empty() || now.Before(s.combined.due) {
		return nil
	}

	change := s.combined.record
	s.combined = combined{}

	return s.writeGrants(now, change)
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
