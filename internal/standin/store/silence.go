package store

import (
	"context"
	"net"
	"net/http"
	"sync/atomic"
)

// silences makes open connections silent, while new ones work. Connections are numbered in the order in which they were
// opened.
type silences struct {
	opened atomic.Int64
	// silent is the number of the last silent connection.
	silent atomic.Int64
}

// connectionNumber is the key of the number of a connection in the context of its requests.
type connectionNumber struct{}

// SilenceConnections makes all open connections silent for good: calls on them have no effect, and no response arrives
// on them. The kernel still acknowledges their bytes, as it does for a peer behind a broken relay.
func (s *Store) SilenceConnections() { s.silences.silent.Store(s.silences.opened.Load()) }

// numberConnection implements http.Server.ConnContext.
func (s *silences) numberConnection(ctx context.Context, _ net.Conn) context.Context {
	return context.WithValue(ctx, connectionNumber{}, s.opened.Add(1))
}

// isSilent reports whether the connection of a request is silent. A connection without a number never is.
func (s *silences) isSilent(r *http.Request) bool {
	number, numbered := r.Context().Value(connectionNumber{}).(int64)

	return numbered && number <= s.silent.Load()
}

// awaitCall returns true unless the connection of a call is silent. In that case it waits until the peer closes the
// connection, and returns false.
func (s *silences) awaitCall(r *http.Request) bool {
	if !s.isSilent(r) {
		return true
	}

	<-r.Context().Done()

	return false
}

// watch returns a writer that writes nothing once the connection is silent.
func (s *silences) watch(w http.ResponseWriter, r *http.Request) http.ResponseWriter {
	return &watchedWriter{ResponseWriter: w, silences: s, request: r}
}

type watchedWriter struct {
	http.ResponseWriter

	silences *silences
	request  *http.Request
}

// WriteHeader implements http.ResponseWriter.
func (w *watchedWriter) WriteHeader(status int) {
	if !w.silences.awaitCall(w.request) {
		closeConnection()
	}

	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *watchedWriter) Write(data []byte) (int, error) {
	if !w.silences.awaitCall(w.request) {
		closeConnection()
	}

	return w.ResponseWriter.Write(data) //nolint:wrapcheck // This is the writer itself.
}
