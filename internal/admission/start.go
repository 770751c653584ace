package admission

import "time"

// startWaiting starts waiting attempts while there are free slots and the limit allows it.
func (s *State) startWaiting(now time.Time) []Effect {
	if s.closedReason != "" || s.runningAlone || !s.mayStart(now) {
		return nil
	}

	if s.waitingAlone != nil {
		// Other attempts wait until this one has run. Otherwise the server might never be idle.
		if len(s.running) > 0 {
			return nil
		}

		w := s.waitingAlone
		s.waitingAlone = nil
		s.runningAlone = true

		return []Effect{s.start(now, w)}
	}

	var effects []Effect

	for len(s.running) < s.slots && s.mayStart(now) {
		next := s.queue.takeNext(s.slowness)
		if next == nil {
			break
		}

		effects = append(effects, s.start(now, next))
	}

	return effects
}

func (s *State) start(now time.Time, w *waitingAttempt) Effect {
	s.limiter.take(now)
	s.starts.add()
	s.queue.started(w)
	s.running[w.Attempt] = &runningAttempt{tenant: w.Tenant, alone: w.Alone, startedAt: now}
	s.counts.Started++

	return Start{Attempt: w.Attempt}
}

func (s *State) refuse(now time.Time, w *waitingAttempt, reason Reason) Effect {
	s.counts.Refused++

	return Refuse{Attempt: w.Attempt, Reason: reason, Waited: now.Sub(w.arrivedAt)}
}

// refuseAll refuses all waiting attempts of a server that has closed.
func (s *State) refuseAll(now time.Time) []Effect {
	var effects []Effect

	for _, w := range s.queue.removeAll() {
		effects = append(effects, s.refuse(now, w, s.closedReason))
	}

	if s.waitingAlone != nil {
		effects = append(effects, s.refuse(now, s.waitingAlone, s.closedReason))
		s.waitingAlone = nil
	}

	return effects
}
