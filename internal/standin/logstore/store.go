// Package logstore is a stand-in for the platform's log service, for tests, the demo and trials. It
// keeps named streams in memory and shows the faults of the real service on request. It is no
// durable store.
//
// An answer with status 429 or 503 says that the record was not appended. Any other failure, or the
// lack of an answer, leaves that open.
package logstore

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Record is one entry of a stream.
type Record struct {
	Offset uint64
	Data   []byte
	at     time.Time
}

// Page is what a read returns.
type Page struct {
	// First is the first retained offset.
	First uint64
	// Records are contiguous and start at the offset asked for, or at First if that is later.
	Records []Record
	// Next is the offset that the next append will get.
	Next uint64
}

// Limits of one read.
const (
	maxRecords = 1000
	maxBytes   = 4 << 20
)

type stream struct {
	first   uint64
	records []Record
}

func (s *stream) next() uint64 { return s.first + uint64(len(s.records)) }

// Store holds the streams and the faults in effect. It is safe for concurrent use.
type Store struct {
	now func() time.Time

	mu        sync.Mutex
	random    *rand.Rand
	faults    Faults
	retention Retention
	streams   map[string]*stream
	tokens    float64
	refilled  time.Time
	counts    Counts
}

// Retention limits what a stream keeps. Zero values mean no limit.
type Retention struct {
	Age     time.Duration
	Records int
}

// Counts are totals since the start.
type Counts struct {
	Appends, Reads, Limited, Lost, Refused uint64
}

// Option configures a Store.
type Option func(*Store)

// WithSeed sets the seed of the random choices among faults.
func WithSeed(seed uint64) Option {
	return func(s *Store) { s.random = rand.New(rand.NewPCG(seed, 1)) }
}

// WithRetention sets the retention of all streams.
func WithRetention(retention Retention) Option {
	return func(s *Store) { s.retention = retention }
}

// WithFaults sets the faults in effect at the start.
func WithFaults(faults Faults) Option { return func(s *Store) { s.faults = faults } }

// WithClock replaces the clock by which records expire and reads are stale.
func WithClock(now func() time.Time) Option { return func(s *Store) { s.now = now } }

// New returns an empty store.
func New(options ...Option) *Store {
	s := &Store{
		now: time.Now, random: rand.New(rand.NewPCG(1, 1)), streams: map[string]*stream{},
	}
	for _, option := range options {
		option(s)
	}

	return s
}

// Append adds a record without any fault and returns its offset.
func (s *Store) Append(name string, data []byte) uint64 {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.append(name, data)
}

func (s *Store) append(name string, data []byte) uint64 {
	st := s.stream(name)
	offset := st.next()
	st.records = append(st.records, Record{Offset: offset, Data: append([]byte(nil), data...), at: s.now()})
	s.counts.Appends++
	s.expire(st)

	return offset
}

// Read returns records from an offset on, without any fault. A limit of 0 means the default.
func (s *Store) Read(name string, from uint64, limit int) Page {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.read(name, from, limit, time.Time{})
}

// read hides the records that were appended after a time, unless that is zero.
func (s *Store) read(name string, from uint64, limit int, until time.Time) Page {
	st := s.stream(name)
	s.expire(st)

	visible := len(st.records)
	if !until.IsZero() {
		for visible > 0 && st.records[visible-1].at.After(until) {
			visible--
		}
	}

	page := Page{First: st.first, Next: st.first + uint64(visible)}
	if limit <= 0 || limit > maxRecords {
		limit = maxRecords
	}

	size := 0

	for offset := max(from, st.first); offset < page.Next && len(page.Records) < limit; offset++ {
		record := st.records[offset-st.first]
		if size += len(record.Data); size > maxBytes && len(page.Records) > 0 {
			break
		}

		page.Records = append(page.Records, record)
	}

	return page
}

func (s *Store) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{}
		s.streams[name] = st
	}

	return st
}

func (s *Store) expire(st *stream) {
	drop := 0
	if s.retention.Age > 0 {
		oldest := s.now().Add(-s.retention.Age)
		for drop < len(st.records) && st.records[drop].at.Before(oldest) {
			drop++
		}
	}

	if s.retention.Records > 0 {
		drop = max(drop, len(st.records)-s.retention.Records)
	}

	st.cut(drop)
}

func (s *stream) cut(drop int) {
	s.first += uint64(drop)
	s.records = s.records[drop:]
}

// Expire drops the records of a stream before an offset.
func (s *Store) Expire(name string, before uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	st := s.stream(name)
	if before > st.first {
		st.cut(int(min(before-st.first, uint64(len(st.records)))))
	}
}

// Truncate drops the records of a stream from an offset on, as a service does that lost its latest
// writes. Their offsets are used again.
func (s *Store) Truncate(name string, from uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()

	st := s.stream(name)
	if from < st.next() {
		st.records = st.records[:max(from, st.first)-st.first]
	}
}

// SetRetention changes the retention of all streams.
func (s *Store) SetRetention(retention Retention) {
	s.mu.Lock()
	defer s.mu.Unlock()

	s.retention = retention
}

// Counts returns the totals.
func (s *Store) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()

	return s.counts
}
