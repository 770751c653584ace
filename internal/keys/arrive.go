package keys

import (
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/request"
	"github.com/tarragonmill/tarragonmill/pkg/verdict"
)

const (
	// maxWaitingResends is the maximum number of resends that wait for one key.
	maxWaitingResends = 64
	// defaultRetryAfter is the retry delay of refusals without a more specific one. A successor needs about this time
	// to read its claim back.
	defaultRetryAfter = time.Second
	// retentionWindows is how long the table keeps a key, in acceptance windows after its issue time.
	retentionWindows = 2
)

// refuse emits the refusal of a request that was not admitted.
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
		s.refuseNotOwned(r, key)

		return
	}

	e, ok := s.table.entries[key.UUID]
	if !ok || (e.state == StateNotRun && !e.fromHandover) {
		s.answerMissing(r, key)

		return
	}

	s.answerKnown(r, key, e)
}

// answerKnown answers a request whose key is in the table.
func (s *State) answerKnown(r request.Request, key Key, e entry) {
	switch {
	case e.fingerprint != r.Fingerprint:
		s.refuse(r.ID, verdict.MayHaveRun, KeyReused, 0)
	case e.running != nil && len(e.running.waiting) < maxWaitingResends:
		e.running.waiting = append(e.running.waiting, r.ID)
		s.table.keysByRequest[r.ID] = key.UUID
		s.emit(Wait{ID: r.ID})
	case e.state == StateRunning:
		s.refuse(r.ID, verdict.MayHaveRun, Running, defaultRetryAfter)
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

// answerMissing answers a request whose key is not in the table, or was admitted by this daemon and ended as not run.
func (s *State) answerMissing(r request.Request, key Key) {
	ahead := time.Duration(key.Issued-s.nowMillis()) * time.Millisecond
	own := s.isSoleOwner(key)

	switch {
	case key.Issued < s.table.floor:
		s.refuse(r.ID, verdict.MayHaveRun, InDoubt, 0)
	case !own && s.absentFromHandover(key):
		s.refuse(r.ID, verdict.NotRun, Superseded, 0)
	case !own:
		s.refuseNotOwned(r, key)
	case s.drain.started:
		s.refuse(r.ID, verdict.NotRun, OwnerDraining, defaultRetryAfter)
	case s.policy.Window <= 0:
		s.refuse(r.ID, verdict.NotRun, NoPolicy, defaultRetryAfter)
	case -ahead > s.policy.Window:
		s.refuse(r.ID, verdict.NotRun, TooOld, 0)
	case ahead > s.policy.Tolerance:
		s.refuse(r.ID, verdict.NotRun, TooNew, ahead-s.policy.Tolerance)
	case len(s.table.entries) >= s.maxEntries:
		s.refuse(r.ID, verdict.NotRun, TableFull, defaultRetryAfter)
	default:
		s.admit(r, key)
	}
}

func (s *State) admit(r request.Request, key Key) {
	s.table.insert(key, entry{
		fingerprint: r.Fingerprint, state: StateRunning, running: &runningRequest{id: r.ID},
	})
	s.table.keysByRequest[r.ID] = key.UUID
	s.maxAdmitted = max(s.maxAdmitted, key.Issued)
	s.emit(Admit{Request: r})
}

// isSoleOwner reports whether this daemon alone can have admitted the key.
func (s *State) isSoleOwner(key Key) bool {
	g, ok := s.ledger.partition(s.service, key.Partition).covering(key.Issued)
	if ok && !s.isOwn(g) || !ok && !s.ledger.held.covers(key) {
		return false
	}

	// Once a sign-off was appended, a successor may hold the rest of the grant before this daemon reads that.
	return !s.drain.started || key.Issued < s.drain.end
}

// isOwn reports whether this incarnation holds a grant.
func (s *State) isOwn(g Grant) bool { return g.heldBy(s.self.id, s.self.incarnation) }

// refuseNotOwned refuses a key that another daemon may have admitted.
func (s *State) refuseNotOwned(r request.Request, key Key) {
	h := s.ledger.partition(r.Service, key.Partition)

	g, ok := h.covering(key.Issued)

	switch {
	case ok && r.Service == s.service && s.drain.started && s.isOwn(g):
		s.refuse(r.ID, verdict.MayHaveRun, OwnerDraining, defaultRetryAfter)
	case !ok || s.reachable(r.Service, g):
		s.refuse(r.ID, verdict.MayHaveRun, NotOwner, defaultRetryAfter)
	default:
		// Only the lost owner can admit the key, if it returns. A new key most likely has another owner.
		s.refuse(r.ID, verdict.MayHaveRun, OwnerLost, defaultRetryAfter)
	}
}

func (s *State) finished(f Finished) {
	id, ok := s.table.keysByRequest[f.ID]
	if !ok {
		return
	}

	e := s.table.entries[id]
	if e.running == nil || e.running.id != f.ID {
		return
	}

	waiting := e.running.waiting
	delete(s.table.keysByRequest, f.ID)

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
		s.table.storeResponse(id, &e, f.Response, s.maxStoredBytes)
	}

	for _, w := range waiting {
		delete(s.table.keysByRequest, w)
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

// cancelled removes a waiting resend. The request that it waits for continues.
func (s *State) cancelled(id request.ID) {
	key, ok := s.table.keysByRequest[id]
	if !ok {
		return
	}

	if e := s.table.entries[key]; e.running != nil && e.running.id != id {
		e.running.waiting = slices.DeleteFunc(e.running.waiting, func(w request.ID) bool { return w == id })
		delete(s.table.keysByRequest, id)
	}
}

// forgetExpiredKeys drops keys older than a multiple of the acceptance window. Younger keys are kept, so that one
// that is missing is known not to have run.
func (s *State) forgetExpiredKeys() {
	if s.policy.Window > 0 {
		retention := retentionWindows*s.policy.Window + s.policy.Tolerance
		s.table.forget(s.nowMillis() - retention.Milliseconds())
	}
}
