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
	// ownerRetry is the Retry-After while the owner of a key cannot be reached.
	ownerRetry = time.Second
	// keySettle is how long the members of a service stay the same before its key partitions are claimed for
	// the first time, so that they are spread over the daemons of a service that starts together.
	keySettle = 2 * time.Second
	// keyBaseRecords is the least number of records between two bases. The platform's store keeps records for
	// minutes only.
	keyBaseRecords = 8
)

// keyed is the part of the reducer that treats idempotency keys. It exists once a manifest uses them.
type keyed struct {
	state *keys.State
	// admitted are the requests in progress that hold their key, and whether an attempt of them was sent.
	admitted map[request.ID]bool
	ticked   time.Time
}

// useKeys begins to treat idempotency keys, or changes how.
func (s *State) useKeys(now time.Time, policy manifest.Keys) []Effect {
	if policy == (manifest.Keys{}) {
		return nil
	}

	var effects []Effect

	if s.keyed == nil {
		self := s.membership.Self().Member
		s.keyed = &keyed{
			admitted: make(map[request.ID]bool),
			state: keys.New(keys.WithSelf(self.ID, self.Incarnation, self.Service), keys.WithSeed(s.options.Seed),
				keys.WithSettleTime(keySettle), keys.WithBaseRecords(keyBaseRecords)),
		}
		effects = append(effects, FollowGrants{})
	}

	effects = append(effects, s.toKeys(now, keys.PolicyChanged{Keys: policy})...)

	return append(effects, s.membersOfKeys(now)...)
}

// membersOfKeys tells the key table which daemons each service has. Until the entries were read, a daemon knows
// only itself and would claim every partition of its service.
func (s *State) membersOfKeys(now time.Time) []Effect {
	if s.keyed == nil || !s.ready {
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
		effects = append(effects, s.toKeys(now, keys.MembersChanged{Service: name, Members: services[name]})...)
	}

	return effects
}

// needsKey reports whether the key table decides on a request.
func (s *State) needsKey(r request.Request) bool {
	return s.keyed != nil && !r.Idempotent() && r.Key != ""
}

// keyArrived passes a request with a key to its owner, which may be this daemon.
func (s *State) keyArrived(now time.Time, r request.Request) []Effect {
	owner, incarnation, known := s.keyed.state.Owner(r.Service, r.Key)
	self := s.membership.Self().Member

	if !known || owner == self.ID && incarnation == self.Incarnation {
		return s.toKeys(now, keys.Arrived{Request: r})
	}

	member, found := s.membership.Member(owner)
	if found && member.Incarnation == incarnation && member.Status != instance.Left {
		return []Effect{Forward{ID: r.ID, Owner: member}}
	}

	delete(s.requests, r.ID)

	return []Effect{Refuse{
		ID: r.ID, Verdict: verdict.MayHaveRun, Delivery: verdict.NotRun,
		Reason: string(keys.OwnerLost), RetryAfter: ownerRetry,
	}}
}

// toKeys applies an event and routes what is admitted.
func (s *State) toKeys(now time.Time, event keys.Event) []Effect {
	var all []Effect

	for _, effect := range s.keyed.state.Apply(now, event) {
		switch e := effect.(type) {
		case keys.Admit:
			s.keyed.admitted[e.Request.ID] = false
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

// concludeKey tells the key table the outcome of a request that it has admitted, and corrects what its caller is
// told: earlier deliveries of the key count, too.
func (s *State) concludeKey(now time.Time, refusal Refuse) []Effect {
	if s.keyed == nil {
		return []Effect{refusal}
	}

	if _, admitted := s.keyed.admitted[refusal.ID]; !admitted {
		return []Effect{refusal}
	}

	delete(s.keyed.admitted, refusal.ID)

	return append([]Effect{refusal}, s.toKeys(now, keys.Finished{
		ID: refusal.ID, Verdict: refusal.Verdict, RetryAfter: refusal.RetryAfter,
	})...)
}

// answered reports the outcome of an admitted request whose response is at hand.
func (s *State) answered(now time.Time, e Answered) []Effect {
	if s.keyed == nil {
		return nil
	}

	if _, admitted := s.keyed.admitted[e.ID]; !admitted {
		return nil
	}

	delete(s.keyed.admitted, e.ID)

	return s.toKeys(now, keys.Finished{ID: e.ID, Verdict: verdict.Answered, Response: e.Response})
}

// cancelKey reports whether a cancelled request goes on: an admitted one does, because its caller may send the key
// again and ask for the outcome.
func (s *State) cancelKey(now time.Time, id request.ID) ([]Effect, bool) {
	if s.keyed == nil {
		return nil, false
	}

	if _, admitted := s.keyed.admitted[id]; admitted {
		return nil, true
	}

	return s.toKeys(now, keys.Cancelled{ID: id}), false
}

// tickKeys lets time pass in the key table.
func (s *State) tickKeys(now time.Time) []Effect {
	if s.keyed == nil || now.Sub(s.keyed.ticked) < keys.TickInterval {
		return nil
	}

	s.keyed.ticked = now

	return s.toKeys(now, keys.Tick{})
}

// nextKeys is when tickKeys is due; the zero time if keys are not used.
func (s *State) nextKeys() time.Time {
	if s.keyed == nil {
		return time.Time{}
	}

	return s.keyed.ticked.Add(keys.TickInterval)
}

// drainKeys makes this daemon accept no new keys and hand its table over.
func (s *State) drainKeys(now time.Time) []Effect {
	if s.keyed == nil {
		return nil
	}

	return s.toKeys(now, keys.DrainStarted{})
}

// KeysReleased reports whether a leaving daemon has handed over its keys.
func (s *State) KeysReleased() bool { return s.keyed == nil || s.keyed.state.DrainComplete() }

// membersChanged is called when the members have changed.
func (s *State) membersChanged(now time.Time, e membership.MembersChanged) []Effect {
	return append([]Effect{e}, s.membersOfKeys(now)...)
}
