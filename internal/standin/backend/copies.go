package backend

import (
	"math/rand/v2"
	"net"
	"sync"
)

// maxCopied is the largest size in bytes of a response that is written once more.
const maxCopied = 4 << 10

// copyingListener accepts connections on which the server writes copies of earlier responses.
type copyingListener struct {
	net.Listener

	server *Server
}

// Accept implements net.Listener.
func (l copyingListener) Accept() (net.Conn, error) {
	accepted, err := l.Listener.Accept()
	if err != nil {
		return nil, err //nolint:wrapcheck // The HTTP server examines the error.
	}

	return &copyingConn{Conn: accepted, server: l.server}, nil
}

// copyingConn is a connection that keeps its small responses. When a later request arrives, it writes one of them once
// more, before the response to that request, as often as Behaviour.Copies says.
type copyingConn struct {
	net.Conn

	server *Server

	mutex   sync.Mutex
	written [][]byte
}

// maxKept is the number of responses of a connection that are kept for copies.
const maxKept = 8

// Write implements net.Conn. The HTTP server writes a small response at once.
func (c *copyingConn) Write(data []byte) (int, error) {
	if c.server.Behaviour().Copies > 0 && isResponse(data) {
		c.keep(data)
	}

	return c.Conn.Write(data) //nolint:wrapcheck // The HTTP server examines the error.
}

// isResponse reports whether data is small and starts like a response.
func isResponse(data []byte) bool {
	const start = "HTTP/1.1 "

	return len(data) <= maxCopied && len(data) > len(start) && string(data[:len(start)]) == start
}

func (c *copyingConn) keep(data []byte) {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	c.written = append(c.written, append([]byte(nil), data...))
	if len(c.written) > maxKept {
		c.written = c.written[1:]
	}
}

// Read implements net.Conn.
func (c *copyingConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if n > 0 && rand.Float64() < c.server.Behaviour().Copies {
		c.writeCopy()
	}

	return n, err //nolint:wrapcheck // The HTTP server examines the error.
}

// writeCopy writes one of the earlier responses once more.
func (c *copyingConn) writeCopy() {
	c.mutex.Lock()
	defer c.mutex.Unlock()

	if len(c.written) == 0 {
		return
	}

	// The HTTP server notices a lost connection by itself.
	_, _ = c.Conn.Write(c.written[rand.IntN(len(c.written))])
}
