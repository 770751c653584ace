package httpserve

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// LimitConnections bounds the open connections of a server. Beyond the limit, a new connection replaces the one whose
// last request began or ended longest ago, so that connections that stall keep nobody out. It must be called before the
// server starts, and replaces ConnState.
func LimitConnections(server *http.Server, limit int) {
	l := &connectionLimit{limit: limit, changed: make(map[net.Conn]time.Time)}
	server.ConnState = l.track
}

// connectionLimit tracks the open connections of a server.
type connectionLimit struct {
	limit int

	mutex sync.Mutex
	// changed holds the time of the last change of state of each connection.
	changed map[net.Conn]time.Time
}

func (l *connectionLimit) track(c net.Conn, state http.ConnState) {
	l.mutex.Lock()
	defer l.mutex.Unlock()

	if state == http.StateClosed || state == http.StateHijacked {
		delete(l.changed, c)

		return
	}

	if _, open := l.changed[c]; !open && state != http.StateNew {
		// The connection was replaced.
		return
	}

	l.changed[c] = time.Now()
	if len(l.changed) <= l.limit {
		return
	}

	oldest := c
	for other, changed := range l.changed {
		if changed.Before(l.changed[oldest]) {
			oldest = other
		}
	}

	delete(l.changed, oldest)

	_ = oldest.Close()
}
