// Package store is a stand-in for the platform's store. The store has topics, to which records are appended. Readers
// read a topic from an offset and can wait for the next record, or list the newest record of each key.
//
// The stand-in implements the published calls of the store. It can be slow or down, drop responses, delay appends,
// return old lists, drop its history and come back from an older copy. It has no consumer groups and commits, because tarragonmill does not use
// them.
package store

import (
	"context"
	"encoding/binary"
	"encoding/json"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/httpserve"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

const (
	// maxBody bounds the body of an append in bytes.
	maxBody = 2 << 20
	// pageSize is the largest number of keys in one response.
	pageSize = 500
	// maxWait is the longest time that a read waits for the next record.
	maxWait = 30 * time.Second
	// shutdownTimeout bounds the time that open calls have to end when the store stops.
	shutdownTimeout = 100 * time.Millisecond
)

// Faults are the injected faults of a store. The zero value is a healthy store.
type Faults struct {
	// Delay is the time by which each call is delayed.
	Delay time.Duration
	// Down makes all calls fail in the given way.
	Down Outage
	// DropResponses performs appends, but closes the connection without a response.
	DropResponses bool
	// AppendDelay closes the connection of an append without a response and performs the append only after this time.
	AppendDelay time.Duration
	// Staleness is how old the lists of newest records are: they lack later records.
	Staleness time.Duration
}

// Outage is the way in which the store fails all calls.
type Outage uint8

// Outages. Up is none; Busy responds with status 503, Reset closes the connection, and Silent never responds.
const (
	Up Outage = iota
	Busy
	Reset
	Silent
)

// Counts are the numbers of calls since the start: appends, reads from an offset, and lists of newest records.
type Counts struct{ Appends, Reads, Lists int }

// Store is a store stand-in. It is safe for concurrent use.
type Store struct {
	mutex  sync.Mutex
	topics map[string]*topic
	faults Faults
	counts Counts
	// epoch is stated in each response. It rises with each return from an older copy.
	epoch uint64
	// silences records which connections are silent. It has its own lock.
	silences silences
}

// New returns an empty store.
func New() *Store { return &Store{topics: make(map[string]*topic), epoch: firstEpoch} }

// Serve handles calls on a listener until ctx ends. The records stay.
func (s *Store) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: time.Second, ConnContext: s.silences.numberConnection,
		// Waiting reads end when the store stops.
		BaseContext: func(net.Listener) context.Context { return ctx },
	}

	return errors.Wrap(httpserve.Run(ctx, server, listener, shutdownTimeout), "serve store stand-in")
}

// Handler returns the handler of the store's calls.
func (s *Store) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /log-append", s.serveAppend)
	mux.HandleFunc("GET /log-read", s.serveRead)
	mux.HandleFunc("GET /log-newest", s.serveNewest)

	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if s.silences.awaitCall(r) && s.injectFaults(w, r) {
			mux.ServeHTTP(s.silences.watch(w, r), r)
		}
	})
}

// SetFaults changes the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.faults = faults
}

// Counts returns the numbers of calls since the start.
func (s *Store) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.counts
}

// Put appends a record with a key, as an operator does. An empty value deletes the key.
func (s *Store) Put(name, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	content := append(append([]byte{byte(len(key))}, key...), value...)
	s.topic(name).append(time.Now(), [][]byte{content})
}

// PutRaw appends a record with any content, as a faulty writer might.
func (s *Store) PutRaw(name string, content []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.topic(name).append(time.Now(), [][]byte{content})
}

// Get returns the newest value of a key, or nil if it has none.
func (s *Store) Get(name, key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.topic(name).newest[key].Value
}

// DropHistory deletes the records of all topics. The newest record of each key is still listed.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for _, t := range s.topics {
		t.dropHistory()
	}
}

// Restore makes the store come back from a copy of the given age: records that are younger are lost in all topics, and
// their offsets are given out again. Waiting reads go on, and end if the store no longer has their offset.
func (s *Store) Restore(age time.Duration) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	copied := time.Now().Add(-age)
	s.epoch++

	for _, t := range s.topics {
		t.restore(copied)
	}
}

func (s *Store) topic(name string) *topic {
	t := s.topics[name]
	if t == nil {
		t = newTopic(name)
		s.topics[name] = t
	}

	return t
}

// injectFaults applies the faults that affect all calls. It returns false if the call must not be performed.
func (s *Store) injectFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mutex.Lock()
	faults := s.faults
	s.mutex.Unlock()

	if faults.Delay > 0 && !task.Sleep(r.Context(), faults.Delay) {
		return false
	}

	switch faults.Down {
	case Busy:
		s.refuse(w)
	case Reset:
		closeConnection()
	case Silent:
		<-r.Context().Done()
	case Up:
		return true
	}

	return false
}

// closeConnection aborts the handler and closes the connection without a response.
func closeConnection() { panic(http.ErrAbortHandler) }

func (s *Store) serveAppend(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxBody))

	contents, ok := splitRecords(body)
	if err != nil || !ok {
		http.Error(w, "malformed records", http.StatusBadRequest)

		return
	}

	s.mutex.Lock()
	faults := s.faults
	s.counts.Appends++
	s.mutex.Unlock()

	if faults.AppendDelay > 0 {
		query := r.URL.Query()

		time.AfterFunc(faults.AppendDelay, func() { s.appendAt(query.Get("topic"), query.Get("timestamp"), contents) })
		closeConnection()
	}

	offset, ok := s.appendFor(w, r.URL.Query().Get("topic"), r.URL.Query().Get("timestamp"), contents)

	if faults.DropResponses {
		closeConnection()
	}

	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)

		return
	}

	writeJSON(w, map[string]int64{"offset": offset, "end": offset + int64(len(contents))})
}

// appendFor does what appendAt does, and states the epoch in which it did so.
func (s *Store) appendFor(w http.ResponseWriter, name, wanted string, contents [][]byte) (int64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.stateEpoch(w)

	return s.appendLocked(name, wanted, contents)
}

// appendAt appends records if the topic ends at the wanted offset, or if wanted is empty. It returns the offset of the
// first record, and false if the topic has another end.
func (s *Store) appendAt(name, wanted string, contents [][]byte) (int64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.appendLocked(name, wanted, contents)
}

// appendLocked does what appendAt does, for a caller that holds the mutex.
func (s *Store) appendLocked(name, wanted string, contents [][]byte) (int64, bool) {
	t := s.topic(name)
	if wanted != "" && wanted != strconv.FormatInt(t.end(), 10) {
		return 0, false
	}

	return t.append(time.Now(), contents), true
}

func (s *Store) serveRead(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()
	from, _ := strconv.ParseInt(query.Get("from"), 10, 64)
	waitMs, _ := strconv.ParseInt(query.Get("waitMs"), 10, 64)
	deadline := time.Now().Add(min(time.Duration(waitMs)*time.Millisecond, maxWait))

	s.mutex.Lock()
	s.counts.Reads++
	t := s.topic(query.Get("topic"))

	for from == t.end() && time.Now().Before(deadline) {
		changed := t.changed
		s.mutex.Unlock()

		if !waitForChange(r.Context(), changed, time.Until(deadline)) {
			return
		}

		s.mutex.Lock()
	}

	page, gone := t.page(from)
	first := t.first
	s.stateEpoch(w)
	s.mutex.Unlock()

	if gone {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]int64{"first": first})

		return
	}

	_, _ = w.Write(page)
}

// waitForChange waits for a change, for at most the given period. It returns false if ctx ends before.
func waitForChange(ctx context.Context, changed <-chan struct{}, period time.Duration) bool {
	timer := time.NewTimer(period)
	defer timer.Stop()

	select {
	case <-changed:
	case <-timer.C:
	case <-ctx.Done():
		return false
	}

	return true
}

// page returns the response to a read: the end and the first offset of the topic, then the records from the given
// offset. It returns true if the topic no longer has that offset.
func (t *topic) page(from int64) ([]byte, bool) {
	if from < t.first || from > t.end() {
		return nil, true
	}

	out := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))

	for _, r := range t.records[from-t.first:] {
		out = appendRecord(out, r.content)
	}

	return out, false
}

// newestAnswer is the response to a list of the newest records: one page of them.
type newestAnswer struct {
	Items []item `json:"items"`
	More  bool   `json:"hasMore"`
	End   int64  `json:"end"`
}

func (s *Store) serveNewest(w http.ResponseWriter, r *http.Request) {
	query := r.URL.Query()

	s.mutex.Lock()
	s.counts.Lists++
	asOf := time.Now().Add(-s.faults.Staleness)
	t := s.topic(query.Get("topic"))
	items := t.items(query.Get("after"), asOf)
	answer := newestAnswer{Items: items, End: t.endAsOf(asOf)}
	s.stateEpoch(w)
	s.mutex.Unlock()

	if len(answer.Items) > pageSize {
		answer.Items, answer.More = answer.Items[:pageSize], true
	}

	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// Writing fails if the client has disconnected.
	_ = json.NewEncoder(w).Encode(value)
}
