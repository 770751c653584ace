package caller

import (
	"net"
	"net/http"
	"sync"
	"time"
)

// newLimit is how long a connection on which no request has arrived is waited for.
const newLimit = time.Second

// Connections follows the connections of an HTTP server. net/http drops a request that it has read after
// Shutdown was called, so a server that cuts off nothing has to be quiet before.
type Connections struct {
	mutex  sync.Mutex
	states map[net.Conn]connection
}

type connection struct {
	state http.ConnState
	since time.Time
}

// NewConnections returns a tracker without connections.
func NewConnections() *Connections {
	return &Connections{states: make(map[net.Conn]connection)}
}

// Track is a value for http.Server.ConnState.
func (c *Connections) Track(conn net.Conn, state http.ConnState) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if state == http.StateClosed || state == http.StateHijacked {
		delete(c.states, conn)

		return
	}

	c.states[conn] = connection{state: state, since: time.Now()}
}

// Quiet reports whether no request is in progress or about to arrive on a new connection.
func (c *Connections) Quiet(now time.Time) bool {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	for _, known := range c.states {
		if known.state == http.StateActive || (known.state == http.StateNew && now.Sub(known.since) < newLimit) {
			return false
		}
	}

	return true
}
