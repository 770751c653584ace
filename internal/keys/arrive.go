package keys

import (
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// waitingLimit bounds the resends that wait for one key.
	waitingLimit = 64
	// retryAfter is the delay asked for where nothing better is known: about the time in which a
	// successor reads its claim back.
	retryAfter = time.Second
	// retentionWindows is how long the table keeps a key, in acceptance windows.
	retentionWindows = 2
)

func (s *State) refuse(id request.ID, v verdict.Verdict, reason Reason, after time.Duration) {
	s.emit(Refuse{ID: id, Verdict: v, Delivery: verdict.NotRun, Reason: reason, RetryAfter: after})
}

func (s *State) arrived(r request.Request) {
	key, err := ParseKey(r.Key)
	if err != nil {
		s.refuse(r.ID, verdict.NotRun, InvalidKey, 0)

		return
	}

	if r.Service != s.service {
		s.refuseForeign(r, key)

		return
	}

	e, ok := s.table.entries[key.UUID]
	if !ok || (e.state == StateNotRun && !e.foreign) {
		s.missing(r, key)

		return
	}

	s.known(r, key, e)
}

// known answers a key of the table.
func (s *State) known(r request.Request, key Key, e entry) {
	switch {
	case e.fingerprint != r.Fingerprint:
		s.refuse(r.ID, verdict.MayHaveRun, KeyReused, 0)
	case e.running != nil && len(e.running.waiting) < waitingLimit:
		e.running.waiting = append(e.running.waiting, r.ID)
		s.table.ids[r.ID] = key.UUID
		s.emit(Wait{ID: r.ID})
	case e.state == StateRunning:
		s.refuse(r.ID, verdict.MayHaveRun, Running, retryAfter)
	case e.state == StateNotRun:
		s.refuse(r.ID, verdict.NotRun, Superseded, 0)
	case e.state == StateAnswered && e.response != nil:
		s.emit(Replay{ID: r.ID, Response: e.response})
	case e.state == StateAnswered:
		s.refuse(r.ID, verdict.Answered, ResponseNotStored, 0)
	default:
		s.refuse(r.ID, verdict.MayHaveRun, InDoubt, 0)
	}
}

// missing answers a key that is not in the table, or that is there as not run.
func (s *State) missing(r request.Request, key Key) {
	ahead := time.Duration(key.Issued-s.milliseconds()) * time.Millisecond
	own := s.own(key)

	switch {
	case key.Issued < s.table.floor:
		s.refuse(r.ID, verdict.MayHaveRun, InDoubt, 0)
	case !own && s.handedOver(key):
		s.refuse(r.ID, verdict.NotRun, Superseded, 0)
	case !own:
		s.refuseForeign(r, key)
	case s.drain.started:
		s.refuse(r.ID, verdict.NotRun, OwnerDraining, retryAfter)
	case s.policy.Window <= 0:
		s.refuse(r.ID, verdict.NotRun, NoPolicy, retryAfter)
	case -ahead > s.policy.Window:
		s.refuse(r.ID, verdict.NotRun, TooOld, 0)
	case ahead > s.policy.Tolerance:
		s.refuse(r.ID, verdict.NotRun, TooNew, ahead-s.policy.Tolerance)
	case len(s.table.entries) >= s.maximum:
		s.refuse(r.ID, verdict.NotRun, TableFull, retryAfter)
	default:
		s.admit(r, key)
	}
}

func (s *State) admit(r request.Request, key Key) {
	s.table.insert(key, entry{
		fingerprint: r.Fingerprint, state: StateRunning, running: &running{id: r.ID},
	})
	s.table.ids[r.ID] = key.UUID
	s.accepted = max(s.accepted, key.Issued)
	s.emit(Admit{Request: r})
}

// own reports whether this daemon alone can have accepted the key.
func (s *State) own(key Key) bool {
	g, ok := s.ledger.partition(s.service, key.Partition).covering(key.Issued)
	if !ok || !s.mine(g) {
		return false
	}

	// After a sign-off was asked for, a successor may hold the rest of the grant before this daemon reads it.
	return !s.drain.started || key.Issued < s.drain.end
}

// mine reports whether a grant is held by this incarnation.
func (s *State) mine(g Grant) bool { return g.heldBy(s.self.id, s.self.incarnation) }

// refuseForeign answers a key that another daemon may have accepted.
func (s *State) refuseForeign(r request.Request, key Key) {
	h := s.ledger.partition(r.Service, key.Partition)

	g, ok := h.covering(key.Issued)

	switch {
	case ok && r.Service == s.service && s.drain.started && s.mine(g):
		s.refuse(r.ID, verdict.MayHaveRun, OwnerDraining, retryAfter)
	case !ok || s.reachable(r.Service, g):
		s.refuse(r.ID, verdict.MayHaveRun, NotOwner, retryAfter)
	default:
		// Only the lost owner accepts the key, if it comes back. A new key most likely has another owner.
		s.refuse(r.ID, verdict.MayHaveRun, OwnerLost, retryAfter)
	}
}

func (s *State) finished(f Finished) {
	id, ok := s.table.ids[f.ID]
	if !ok {
		return
	}

	e := s.table.entries[id]
	if e.running == nil || e.running.id != f.ID {
		return
	}

	waiting := e.running.waiting
	delete(s.table.ids, f.ID)

	e.running = nil

	switch f.Verdict {
	case verdict.NotRun:
		e.state = StateNotRun
	case verdict.Answered:
		e.state = StateAnswered
	default:
		e.state = StateInDoubt
	}

	s.table.entries[id] = e
	if e.state == StateAnswered {
		s.table.store(id, &e, f.Response, s.store)
	}

	for _, w := range waiting {
		delete(s.table.ids, w)
		s.answerWaiting(w, e.state, f)
	}

	s.handOverOutcome(newKey(id), e)
}

func (s *State) answerWaiting(id request.ID, state EntryState, f Finished) {
	switch {
	case state == StateNotRun:
		s.refuse(id, verdict.NotRun, FirstNotRun, f.RetryAfter)
	case state == StateAnswered && f.Response != nil:
		s.emit(Replay{ID: id, Response: f.Response})
	case state == StateAnswered:
		s.refuse(id, verdict.Answered, ResponseNotStored, 0)
	default:
		s.refuse(id, verdict.MayHaveRun, InDoubt, 0)
	}
}

// cancelled drops a waiting request. Its key keeps running.
func (s *State) cancelled(id request.ID) {
	key, ok := s.table.ids[id]
	if !ok {
		return
	}

	if e := s.table.entries[key]; e.running != nil && e.running.id != id {
		e.running.waiting = slices.DeleteFunc(e.running.waiting, func(w request.ID) bool { return w == id })
		delete(s.table.ids, id)
	}
}

// forget drops keys after a multiple of the window, so that a missing key younger than that is known
// not to have run.
func (s *State) forget() {
	if s.policy.Window > 0 {
		retention := retentionWindows*s.policy.Window + s.policy.Tolerance
		s.table.forget(s.milliseconds() - retention.Milliseconds())
	}
}
