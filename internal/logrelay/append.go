package logrelay

import (
	"bytes"
	"slices"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/logservice"
)

// Appends of one daemon. The log service accepts several hundred appends/s. After an outage, 610
// daemons that each have something to append try again once in retryMax/2 on average, which makes 40
// appends/s. With waits of at least half of the limit, daemons that began together stayed together:
// 201 of them made 36 appends in one second.
const (
	// appendInterval is the shortest time between two appends of a daemon.
	appendInterval = 500 * time.Millisecond
	retryMin       = time.Second
	retryMax       = 30 * time.Second
	// maxQueue bounds the records that wait.
	maxQueue = 64
	// queueTime is after how long a record that was not appended is given up. Whoever asked decides
	// again, on what is known then.
	queueTime = 2 * time.Minute
	// settleTime is how long after a lost answer the record may still appear.
	settleTime = 5 * time.Second
	// settleSpread spreads the reads by which daemons look for their records after an outage.
	settleSpread = 5 * time.Second
)

type entry struct {
	token  uint64
	stream string
	data   []byte
	queued time.Time
}

// doubt is a record whose append had its answer lost.
type doubt struct {
	entry
	// from is the first offset at which the record may be.
	from uint64
	// due is when the stream is read to look for it.
	due time.Time
}

type queue struct {
	entries []entry
	// sent is set while the first entry is being appended; sentFrom is the end of its stream then.
	sent     bool
	sentFrom uint64
	due      time.Time
	failures int
	doubts   []doubt
}

func (q *queue) add(now time.Time, e AppendRequested) []Effect {
	if len(q.entries) >= maxQueue {
		return []Effect{AppendDone{Token: e.Token, Result: NotAppended}}
	}

	q.entries = append(q.entries, entry{token: e.Token, stream: e.Stream, data: e.Data, queued: now})

	return nil
}

func (s *State) sendAppend(now time.Time, effects []Effect) []Effect {
	q := &s.queue
	if q.sent {
		return effects
	}

	for len(q.entries) > 0 && now.Sub(q.entries[0].queued) >= queueTime {
		effects = append(effects, AppendDone{Token: q.entries[0].token, Result: NotAppended})
		q.entries = q.entries[1:]
	}

	if len(q.entries) == 0 || now.Before(q.due) {
		return effects
	}

	first := q.entries[0]
	q.sent, q.sentFrom = true, 0
	q.due = now.Add(appendInterval)
	s.counts.Appends++

	if st := s.stream(first.stream); st != nil {
		q.sentFrom = st.next
	}

	return append(effects, Append{Token: first.token, Stream: first.stream, Data: first.data})
}

func (s *State) appendEnded(now time.Time, e AppendEnded) []Effect {
	q := &s.queue
	if !q.sent || q.entries[0].token != e.Token {
		return nil
	}

	first := q.entries[0]
	q.sent = false

	if !e.Failed {
		q.failures = 0
		q.entries = q.entries[1:]

		if st := s.stream(first.stream); st != nil {
			st.expect(now, e.Offset+1)
		}

		return []Effect{AppendDone{Token: first.token, Result: Appended, Offset: e.Offset}}
	}

	s.retryLater(now, e.RetryAfter)

	if e.Effect == logservice.NotAppended {
		s.counts.Refused++

		return nil
	}

	s.counts.Lost++
	q.entries = q.entries[1:]
	d := doubt{entry: first, from: q.sentFrom, due: now.Add(settleTime + s.between(0, settleSpread))}

	// The record may have been read before the append failed.
	if st := s.stream(first.stream); st != nil {
		for _, record := range st.records {
			if d.matches(record) {
				return []Effect{AppendDone{Token: d.token, Result: Appended, Offset: record.Offset}}
			}
		}
	}

	q.doubts = append(q.doubts, d)

	return nil
}

// retryLater draws the time of the next append, with exponential backoff.
func (s *State) retryLater(now time.Time, after time.Duration) {
	q := &s.queue
	wait := retryMin

	for range q.failures {
		if wait = 2 * wait; wait >= retryMax {
			wait = retryMax

			break
		}
	}

	q.failures++
	q.due = now.Add(max(after, s.between(retryMin/2, wait)))
}

func (d doubt) matches(record logservice.Record) bool {
	return record.Offset >= d.from && bytes.Equal(record.Data, d.data)
}

// resolve looks for doubtful records among new ones.
func (s *State) resolve(st *stream, records []logservice.Record, effects []Effect) []Effect {
	s.queue.doubts = slices.DeleteFunc(s.queue.doubts, func(d doubt) bool {
		if d.stream != st.name {
			return false
		}

		i := slices.IndexFunc(records, d.matches)
		if i < 0 {
			return false
		}

		effects = append(effects, AppendDone{Token: d.token, Result: Appended, Offset: records[i].Offset})

		return true
	})

	return effects
}

// settle ends doubts after the log was read to its end, by a read that started when they were due.
func (s *State) settle(st *stream, effects []Effect) []Effect {
	s.queue.doubts = slices.DeleteFunc(s.queue.doubts, func(d doubt) bool {
		if d.stream != st.name || d.due.After(st.readStarted) {
			return false
		}

		effects = append(effects, AppendDone{Token: d.token, Result: NotFound})

		return true
	})

	return effects
}

// orphan ends doubts whose record may lie before an offset, because what is there will not be read.
func (s *State) orphan(st *stream, before uint64, effects []Effect) []Effect {
	s.queue.doubts = slices.DeleteFunc(s.queue.doubts, func(d doubt) bool {
		if d.stream != st.name || d.from >= before {
			return false
		}

		s.counts.Orphan++

		effects = append(effects, AppendDone{Token: d.token, Result: Unresolved})

		return true
	})

	return effects
}

// doubtful reports whether the stream has to be read to look for a record.
func (s *State) doubtful(now time.Time, st *stream) bool {
	return slices.ContainsFunc(s.queue.doubts, func(d doubt) bool {
		return d.stream == st.name && !now.Before(d.due)
	})
}
