package logrelay

import "time"

// Reading of the log by a relay. The longest interval plus the spreading has to stay below the 3 s
// in which a version is in force, also just after an outage.
const (
	defaultPoll = 500 * time.Millisecond
	backoffMax  = 2 * time.Second
	// readLimit is the number of records in one read. The stream's reducer may take 25 ms for each,
	// and other events have to come in between.
	readLimit = 32
	// readTime is after how long a read without an end is given up.
	readTime = 10 * time.Second
)

// Reading of the log by other daemons.
const (
	// silence is how long the neighbours may be silent or behind.
	silence = 5 * time.Second
	// unconfirmed is how old the news from the log may be. It covers a relay that has lost the log
	// and a way from it of several exchanges, one per second.
	unconfirmed = 15 * time.Second
	// silenceSpread spreads the first reads of daemons whose relay is gone.
	silenceSpread  = 2 * time.Second
	slowMin        = 5 * time.Second
	slowMax        = 10 * time.Second
	slowBackoffMax = 60 * time.Second
	// alone is how long a daemon without neighbours waits before it reads; up to twice as long, so that
	// daemons that start together do not all read at once.
	alone = time.Second
	// relayWait is how long a relay that has read nothing waits for a neighbour. The log may answer
	// with old data, and a neighbour knows better.
	relayWait = time.Second
)

func (s *State) changeRole(now time.Time, relay bool) {
	if s.relay == relay {
		return
	}

	s.relay = relay
	for _, st := range s.streams {
		st.failures = 0
		if relay {
			st.readDue = now.Add(s.between(0, st.poll/2))
		}
	}
}

// read starts a read of the log if one is due.
func (s *State) read(now time.Time, st *stream, effects []Effect) []Effect {
	if st.reading && now.Sub(st.readStarted) >= readTime {
		st.reading = false
		s.readFailed(now, st)
	}

	if st.reading || !s.mayRead(now, st) || now.Before(st.readDue) {
		return effects
	}

	return s.startRead(now, st, effects)
}

func (s *State) startRead(now time.Time, st *stream, effects []Effect) []Effect {
	st.reading, st.readStarted = true, now
	s.counts.Reads++

	return append(effects, Read{Stream: st.name, From: st.next, Limit: readLimit})
}

// mayRead reports whether this daemon should read the log itself.
func (s *State) mayRead(now time.Time, st *stream) bool {
	if !st.started && len(s.neighbours) > 0 {
		wait := silence
		if s.relay {
			wait = relayWait
		}

		if now.Sub(st.reset) < wait {
			return false
		}
	}

	if s.relay {
		return true
	}

	if !st.started && len(s.neighbours) == 0 {
		if st.readDue.IsZero() {
			st.readDue = now.Add(s.between(alone, 2*alone))
		}

		return true
	}

	if !st.lagging(now) {
		if !s.doubtful(now, st) {
			st.readDue = time.Time{}
		}

		return s.doubtful(now, st)
	}

	if st.readDue.IsZero() {
		st.readDue = now.Add(s.between(0, silenceSpread))
	}

	return true
}

// lagging reports whether the neighbours do not keep this daemon up to date.
func (st *stream) lagging(now time.Time) bool {
	behind := !st.behind.IsZero() && now.Sub(st.behind) >= silence

	return behind || now.Sub(st.heard) >= silence || now.Sub(st.confirmed) >= unconfirmed+st.poll
}

func (s *State) readEnded(now time.Time, e ReadEnded) []Effect {
	st := s.stream(e.Stream)
	if st == nil || !st.reading {
		return nil
	}

	st.reading = false
	if e.Failed {
		s.readFailed(now, st)

		return nil
	}

	st.failures = 0
	s.schedule(now, st)

	if st.started && e.Page.Next < st.next {
		// The service answers with old data.
		s.counts.Stale++

		return nil
	}

	p := page{records: e.Page.Records, start: max(st.next, e.Page.First)}
	if !st.started {
		p.start = e.Page.First
	}

	changed := e.Page.First > st.logFirst
	st.logFirst = max(st.logFirst, e.Page.First)
	st.expect(now, e.Page.Next)

	if p.start+uint64(len(p.records)) >= st.target {
		st.confirmed = now
	}

	effects := s.ingest(now, st, p, changed, nil)
	if st.next < e.Page.Next && len(e.Page.Records) > 0 {
		return s.startRead(now, st, effects)
	}

	if st.next < st.target {
		// A record is known that the service does not show yet.
		return effects
	}

	return s.settle(st, effects)
}

func (s *State) readFailed(now time.Time, st *stream) {
	s.counts.ReadFailures++
	st.failures++
	s.schedule(now, st)
}

// schedule sets the time of the next read, with exponential backoff and jitter after failures.
func (s *State) schedule(now time.Time, st *stream) {
	low, high, limit := st.poll/2, st.poll, max(backoffMax, st.poll)
	if !s.relay {
		low, high, limit = slowMin, slowMax, slowBackoffMax
	}

	for range st.failures {
		if high = 2 * high; high >= limit {
			high = limit

			break
		}
	}

	if st.failures > 0 {
		low = high / 2
	}

	st.readDue = now.Add(s.between(low, high))
}
