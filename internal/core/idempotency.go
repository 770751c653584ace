package core

import (
	"time"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/manifest"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// ownerRetryAfter is the Retry-After while the owner of a key cannot be reached or is not ready.
	ownerRetryAfter = time.Second
	// keySettleTime is how long the members of a service have to stay the same before its daemons claim key
	// partitions for the first time. Without it, the first of several daemons that start together would claim them
	// all.
	keySettleTime = 2 * time.Second
	// minKeyBaseRecords is the least number of records between two bases, which are snapshots of all grants. The
	// platform's store keeps records for minutes only, so the grants have to be written again.
	minKeyBaseRecords = 8
)

// keyReducer handles idempotency keys. It exists once a manifest uses them.
type keyReducer struct {
	table *keys.State
	// admitted is the set of requests in progress that the key table has admitted. The values are not used.
	admitted map[request.ID]bool
	lastTick time.Time
}

// applyKeyPolicy passes the manifest's settings for idempotency keys to the key table, which it creates if necessary.
func (s *State) applyKeyPolicy(now time.Time, policy manifest.Keys) []Effect {
	if policy == (manifest.Keys{}) {
		return nil
	}

	var effects []Effect

	if s.keyReducer == nil {
		self := s.membership.Self().Member
		s.keyReducer = &keyReducer{
			admitted: make(map[request.ID]bool),
			table: keys.New(keys.WithSelf(self.ID, self.Incarnation, self.Service), keys.WithSeed(s.options.Seed),
				keys.WithSettleTime(keySettleTime), keys.WithBaseRecords(minKeyBaseRecords)),
		}
		effects = append(effects, FollowGrants{})
		effects = append(effects, s.changeKeyEpoch(now)...)
	}

	effects = append(effects, s.applyKeys(now, keys.PolicyChanged{Keys: policy})...)

	return append(effects, s.updateKeyMembers(now)...)
}

// changeKeyEpoch passes the epoch of the store to the key table.
func (s *State) changeKeyEpoch(now time.Time) []Effect {
	if s.keyReducer == nil {
		return nil
	}

	return s.applyKeys(now, keys.EpochChanged{Epoch: s.epoch})
}

// updateKeyMembers passes the members of each service to the key table. It waits until the entries were read: before,
// a daemon knows only itself and would claim every partition of its service.
func (s *State) updateKeyMembers(now time.Time) []Effect {
	// Before its own entry is stored, others that start at the same time may not have found this daemon, nor it them.
	if s.keyReducer == nil || !s.ready || !s.membership.Stored() {
		return nil
	}

	services := make(map[string][]instance.Member)

	var names []string

	for _, member := range s.membership.List() {
		if services[member.Service] == nil {
			names = append(names, member.Service)
		}

		services[member.Service] = append(services[member.Service], member)
	}

	var effects []Effect
	for _, name := range names {
		effects = append(effects, s.applyKeys(now, keys.MembersChanged{Service: name, Members: services[name]})...)
	}

	return effects
}

// UsesKeyTable reports whether the key table decides on a request: a non-idempotent one with a key, if the manifest uses
// keys.
func (s *State) UsesKeyTable(r request.Request) bool {
	return s.keyReducer != nil && !r.Idempotent() && r.Key != ""
}

// routeByKey passes a request with a key to the key table if this daemon owns the key, or else forwards it to the
// owner.
func (s *State) routeByKey(now time.Time, r request.Request) []Effect {
	owner, incarnation, known := s.keyReducer.table.Owner(r.Service, r.Key)
	self := s.membership.Self().Member

	if known && !r.Regions.Allows(s.regionOf(owner)) {
		// The owner stores the response, which it may not do in its region.
		delete(s.requests, r.ID)

		return []Effect{Refuse{ID: r.ID, Verdict: verdict.MayHaveRun, Delivery: verdict.NotRun, Reason: OwnerOutsideRegions}}
	}

	if !known || owner == self.ID && incarnation == self.Incarnation {
		return s.applyKeys(now, keys.Arrived{Request: r})
	}

	member, found := s.membership.Member(owner)
	if found && member.Incarnation == incarnation && member.Status != instance.Left {
		return []Effect{Forward{ID: r.ID, Owner: member}}
	}

	delete(s.requests, r.ID)

	return []Effect{Refuse{
		ID: r.ID, Verdict: verdict.MayHaveRun, Delivery: verdict.NotRun,
		Reason: string(keys.OwnerLost), RetryAfter: ownerRetryAfter,
	}}
}

// regionOf returns the region of a member, or an empty string if it is unknown.
func (s *State) regionOf(id instance.ID) string {
	member, _ := s.membership.Member(id)

	return member.Place.Region
}

// applyKeys passes an event to the key table and handles the effects: it routes the requests that were admitted.
func (s *State) applyKeys(now time.Time, event keys.Event) []Effect {
	var all []Effect

	for _, effect := range s.keyReducer.table.Apply(now, event) {
		switch e := effect.(type) {
		case keys.Admit:
			s.keyReducer.admitted[e.Request.ID] = false
			all = append(all, s.route(now, e.Request)...)
		case keys.Refuse:
			delete(s.requests, e.ID)

			all = append(all, Refuse{
				ID: e.ID, Verdict: e.Verdict, Delivery: e.Delivery, Reason: string(e.Reason), RetryAfter: e.RetryAfter,
			})
		case keys.Wait:
			// The request stays pending until Replay or Refuse.
		case keys.Replay:
			delete(s.requests, e.ID)

			all = append(all, e)
		default:
			all = append(all, effect)
		}
	}

	return all
}

// finishKeyedRequest refuses a request and passes the outcome to the key table if that has admitted the request.
func (s *State) finishKeyedRequest(now time.Time, refusal Refuse) []Effect {
	if s.keyReducer == nil {
		return []Effect{refusal}
	}

	if _, admitted := s.keyReducer.admitted[refusal.ID]; !admitted {
		return []Effect{refusal}
	}

	delete(s.keyReducer.admitted, refusal.ID)

	return append([]Effect{refusal}, s.applyKeys(now, keys.Finished{
		ID: refusal.ID, Verdict: refusal.Verdict, RetryAfter: refusal.RetryAfter,
	})...)
}

// handleAnswered passes the response of an admitted request to the key table.
func (s *State) handleAnswered(now time.Time, e Answered) []Effect {
	if s.keyReducer == nil {
		return nil
	}

	if _, admitted := s.keyReducer.admitted[e.ID]; !admitted {
		return nil
	}

	delete(s.keyReducer.admitted, e.ID)

	return s.applyKeys(now, keys.Finished{ID: e.ID, Verdict: verdict.Answered, Response: e.Response})
}

// cancelKeyedRequest handles the departure of a caller. It reports whether the request keeps running: an admitted one
// does, because its caller may send the key again to get the outcome.
func (s *State) cancelKeyedRequest(now time.Time, id request.ID) ([]Effect, bool) {
	if s.keyReducer == nil {
		return nil, false
	}

	if _, admitted := s.keyReducer.admitted[id]; admitted {
		return nil, true
	}

	return s.applyKeys(now, keys.Cancelled{ID: id}), false
}

// tickKeys passes a tick to the key table once keys.TickInterval has passed.
func (s *State) tickKeys(now time.Time) []Effect {
	if s.keyReducer == nil || now.Sub(s.keyReducer.lastTick) < keys.TickInterval {
		return nil
	}

	s.keyReducer.lastTick = now

	return s.applyKeys(now, keys.Tick{})
}

// nextKeysTick returns when tickKeys is due; the zero time if keys are not used.
func (s *State) nextKeysTick() time.Time {
	if s.keyReducer == nil {
		return time.Time{}
	}

	return s.keyReducer.lastTick.Add(keys.TickInterval)
}

// drainKeys makes the key table accept no new keys and hand over its entries.
func (s *State) drainKeys(now time.Time) []Effect {
	if s.keyReducer == nil {
		return nil
	}

	return s.applyKeys(now, keys.DrainStarted{})
}

// KeysReleased reports whether a leaving daemon has handed over its keys.
func (s *State) KeysReleased() bool { return s.keyReducer == nil || s.keyReducer.table.DrainComplete() }

// handleMembersChanged passes changed members to the daemon and to the key table.
func (s *State) handleMembersChanged(now time.Time, e membership.MembersChanged) []Effect {
	return append([]Effect{e}, s.updateKeyMembers(now)...)
}
