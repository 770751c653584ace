// Package store stands in for the platform's store: topics of records that are appended, read by offset with
// a wait for the next one, and listed by the newest record of each key.
//
// It speaks the published calls of the store, and it can be slow, down, lose answers, perform calls late, give
// old answers and forget its history. Groups and commits are left out, because tarragonmill does not
// use them.
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
	// pageItems is the largest number of keys in one answer.
	pageSize = 500
	// maxWait is the longest time that a read waits.
	maxWait         = 30 * time.Second
	shutdownTimeout = 100 * time.Millisecond
)

// Faults are what is wrong with the store. The zero value is a store that is well.
type Faults struct {
	// Delay of each answer.
	Delay time.Duration
	// Down makes the store answer nothing: Busy with 503, Reset by closing connections, Silent never.
	Down Outage
	// LoseAnswers performs appends without answering them.
	DropResponses bool
	// Late performs appends only after this time, without answering them.
	AppendDelay time.Duration
	// Stale makes lists of the newest records as old as this.
	Staleness time.Duration
}

// Outage is a way of being down.
type Outage uint8

// Ways of being down.
const (
	Up Outage = iota
	Busy
	Reset
	Silent
)

// Counts are totals since the start.
type Counts struct{ Appends, Reads, Lists int }

// Store is the stand-in. It is safe for concurrent use.
type Store struct {
	mutex  sync.Mutex
	topics map[string]*topic
	faults Faults
	counts Counts
}

// New returns an empty store.
func New() *Store { return &Store{topics: make(map[string]*topic)} }

// Serve answers calls on a listener until ctx ends. The content stays.
func (s *Store) Serve(ctx context.Context, listener net.Listener) error {
	server := &http.Server{
		Handler: s.Handler(), ReadHeaderTimeout: time.Second,
		// A read that waits ends with the store.
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
		if s.injectFaults(w, r) {
			mux.ServeHTTP(w, r)
		}
	})
}

// Set changes the faults.
func (s *Store) SetFaults(faults Faults) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.faults = faults
}

// Counts returns the totals since the start.
func (s *Store) Counts() Counts {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.counts
}

// Put adds a record with a key, as an operator does. Without a value, the key is dropped.
func (s *Store) Put(name, key string, value []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	content := append(append([]byte{byte(len(key))}, key...), value...)
	s.topic(name).append(time.Now(), [][]byte{content})
}

// PutRaw adds a record as another writer might, whatever it holds.
func (s *Store) PutRaw(name string, content []byte) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.topic(name).append(time.Now(), [][]byte{content})
}

// Get returns the newest value of a key, or nil.
func (s *Store) Get(name, key string) []byte {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	return s.topic(name).newest[key].Value
}

// Forget drops the history of all topics but the newest record of each key.
func (s *Store) DropHistory() {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for _, t := range s.topics {
		t.dropHistory()
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

// fail applies the faults that concern all calls. It returns false if the call is not performed.
func (s *Store) injectFaults(w http.ResponseWriter, r *http.Request) bool {
	s.mutex.Lock()
	faults := s.faults
	s.mutex.Unlock()

	if faults.Delay > 0 && !task.Sleep(r.Context(), faults.Delay) {
		return false
	}

	switch faults.Down {
	case Busy:
		http.Error(w, "store is busy", http.StatusServiceUnavailable)
	case Reset:
		closeConnection()
	case Silent:
		<-r.Context().Done()
	case Up:
		return true
	}

	return false
}

// abort closes the connection without an answer.
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

	offset, ok := s.appendAt(r.URL.Query().Get("topic"), r.URL.Query().Get("timestamp"), contents)

	if faults.DropResponses {
		closeConnection()
	}

	if !ok {
		w.WriteHeader(http.StatusPreconditionFailed)

		return
	}

	writeJSON(w, map[string]int64{"offset": offset, "end": offset + int64(len(contents))})
}

// performAt appends if the topic ends at the wanted offset, or if none is wanted.
func (s *Store) appendAt(name, wanted string, contents [][]byte) (int64, bool) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

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
	limit := time.Now().Add(min(time.Duration(waitMs)*time.Millisecond, maxWait))

	s.mutex.Lock()
	s.counts.Reads++
	t := s.topic(query.Get("topic"))

	for from >= t.end() && time.Now().Before(limit) {
		changed := t.changed
		s.mutex.Unlock()

		if !waitForChange(r.Context(), changed, time.Until(limit)) {
			return
		}

		s.mutex.Lock()
	}

	page, gone := t.page(from)
	first := t.first
	s.mutex.Unlock()

	if gone {
		w.WriteHeader(http.StatusGone)
		writeJSON(w, map[string]int64{"first": first})

		return
	}

	_, _ = w.Write(page)
}

// waitFor returns false if ctx ended.
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

// page returns the answer to a read, or whether the records have been dropped.
func (t *topic) page(from int64) ([]byte, bool) {
	if from < t.first {
		return nil, true
	}

	out := binary.BigEndian.AppendUint64(nil, uint64(t.end()))
	out = binary.BigEndian.AppendUint64(out, uint64(t.first))

	for _, r := range t.records[min(from, t.end())-t.first:] {
		out = appendRecord(out, r.content)
	}

	return out, false
}

// newestAnswer is one page of the newest records.
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
	s.mutex.Unlock()

	if len(answer.Items) > pageSize {
		answer.Items, answer.More = answer.Items[:pageSize], true
	}

	writeJSON(w, answer)
}

func writeJSON(w http.ResponseWriter, value any) {
	w.Header().Set("Content-Type", "application/json")
	// The caller may have left.
	_ = json.NewEncoder(w).Encode(value)
}
