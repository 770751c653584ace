package caller

import (
	"net"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

// sweepTime is how long the queue of connections has to be empty before the socket closes.
const sweepTime = 2 * time.Millisecond

// Listener is a TCP listener that accepts what is already connected before it closes. The kernel resets
// connections that wait in the queue of a socket that closes, and their requests would be cut off.
type Listener struct {
	tcp     *net.TCPListener
	closing atomic.Bool
}

// NewListener wraps a listener; one that is not TCP is returned as it is.
func NewListener(listener net.Listener) net.Listener {
	if tcp, ok := listener.(*net.TCPListener); ok {
		return &Listener{tcp: tcp}
	}

	return listener
}

// Addr implements net.Listener.
func (l *Listener) Addr() net.Addr { return l.tcp.Addr() }

// Close makes Accept return the connections that wait and then net.ErrClosed. It does not wait for that,
// because net/http holds a lock meanwhile that accepted connections need.
func (l *Listener) Close() error {
	if l.closing.Swap(true) {
		return nil
	}

	return errors.Wrap(l.tcp.SetDeadline(time.Now().Add(sweepTime)), "close listener")
}

// Accept implements net.Listener.
func (l *Listener) Accept() (net.Conn, error) {
	connection, err := l.tcp.Accept()

	if !l.closing.Load() {
		// net/http looks at the type of the error.
		return connection, err
	}

	if err != nil {
		return nil, errors.CombineErrors(net.ErrClosed, l.tcp.Close())
	}

	_ = l.tcp.SetDeadline(time.Now().Add(sweepTime))

	return connection, nil
}
