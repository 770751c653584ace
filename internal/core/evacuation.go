package core

import (
	"maps"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/admission"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/store"
)

// evacuations holds the failure domains whose servers get no new requests.
type evacuations struct {
	// at is the position as of which they are known.
	at store.Position
	// epochs holds, for each evacuated domain, the last epoch of the store in which its record was read.
	epochs map[string]store.Epoch
}

// domains returns the evacuated domains in alphabetical order.
func (v *evacuations) domains() []string { return slices.Sorted(maps.Keys(v.epochs)) }

// update replaces the evacuated domains by those that were read. A domain that is missing stays evacuated if the list may
// be outdated. It also does if it was read in an earlier epoch: the store has come back from an older copy, which may lack
// the record, and only a record that removes it shows that the operator has ended the evacuation.
func (v *evacuations) update(e EvacuationsRead) {
	updated := make(map[string]store.Epoch, len(e.Domains))

	for domain, epoch := range v.epochs {
		if (e.Incomplete || epoch < e.At.Epoch) && !slices.Contains(e.Ended, domain) {
			updated[domain] = epoch
		}
	}

	for _, domain := range e.Domains {
		updated[domain] = e.At.Epoch
	}

	v.at, v.epochs = e.At, updated
}

// handleEvacuationsRead updates the evacuated domains, unless newer ones are known.
func (s *State) handleEvacuationsRead(now time.Time, e EvacuationsRead) []Effect {
	s.recordRead(e.At)

	if s.evacuations.at.After(e.At) {
		return nil
	}

	before := s.evacuations.domains()
	s.evacuations.update(e)
	domains := s.evacuations.domains()

	if slices.Equal(before, domains) {
		return nil
	}

	effects := s.handleRoutingEffects(now, s.routing.Apply(now, routing.EvacuationsChanged{Domains: domains}))
	effects = append(effects, s.updateAdmission(now)...)

	return append(effects, EvacuationsChanged{
		At: e.At, Domains: domains, Began: missingFrom(before, domains), Ended: missingFrom(domains, before),
		Own: s.ownDomainEvacuated(),
	})
}

// missingFrom returns the elements of all that list lacks.
func missingFrom(list, all []string) []string {
	var missing []string

	for _, element := range all {
		if !slices.Contains(list, element) {
			missing = append(missing, element)
		}
	}

	return missing
}

// ownDomainEvacuated reports whether the failure domain of this daemon is evacuated.
func (s *State) ownDomainEvacuated() bool {
	_, evacuated := s.evacuations.epochs[s.options.Self.Place.Domain]

	return evacuated
}

// serverRefusalReason returns the reason for refusing all attempts at the local backend server; empty if it accepts them.
func (s *State) serverRefusalReason() admission.Reason {
	if reason := s.health.RefusalReason(); reason != "" || !s.ownDomainEvacuated() {
		return reason
	}

	return admission.Evacuated
}

// Evacuated returns the evacuated failure domains in alphabetical order.
func (s *State) Evacuated() []string { return s.evacuations.domains() }
