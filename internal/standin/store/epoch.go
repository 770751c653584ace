package store

import (
	"net/http"
	"strconv"
)

const (
	// firstEpoch is the epoch of a store that has never come back from an older copy.
	firstEpoch = 1
	// epochHeader is the header field of the epoch.
	epochHeader = "Store-Era"
)

// stateEpoch states the present epoch in a response, together with which the response is made. The caller holds the
// mutex.
func (s *Store) stateEpoch(w http.ResponseWriter) {
	w.Header().Set(epochHeader, strconv.FormatUint(s.epoch, 10))
}

// refuse refuses a call because of an outage.
func (s *Store) refuse(w http.ResponseWriter) {
	s.mutex.Lock()
	s.stateEpoch(w)
	s.mutex.Unlock()

	http.Error(w, "store is busy", http.StatusServiceUnavailable)
}
