// Package tcp tells the two ways apart in which a peer can end a TCP connection: in order, after all of its bytes, and by a
// reset, which discards those that are still to come.
//
// The kernel reports a reset once, to the system call that comes first, and so does it when it gives up a connection itself. If
// that is a write, later reads return the end of the connection, as after an end in order. A body that ends with the connection
// would then look complete.
package tcp

import (
	"fmt"
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// ErrBroken is returned by Conn.Read at the end of a connection that has not ended in order. It wraps the error of the write
// that has reported the cause.
var ErrBroken = errors.New("connection has not ended in order")

// Conn is a connection that one goroutine may read while another one writes. It hides the methods of the connection below
// that copy between sockets, because they would bypass Write.
type Conn struct {
	net.Conn

	// writing is held during a write, and guards writeErr.
	writing sync.Mutex
	// writeErr is the first error of a write.
	writeErr error
	// received is the number of bytes that were read.
	received atomic.Uint64
}

// NewConn returns a Conn for an open TCP connection.
func NewConn(connection net.Conn) *Conn { return &Conn{Conn: connection} }

// NetConn returns the connection below.
func (c *Conn) NetConn() net.Conn { return c.Conn }

// Write implements net.Conn.
func (c *Conn) Write(data []byte) (int, error) {
	c.writing.Lock()
	defer c.writing.Unlock()

	n, err := c.Conn.Write(data)
	if c.writeErr == nil {
		c.writeErr = err
	}

	return n, err //nolint:wrapcheck // The error is that of the connection below.
}

// Read implements net.Conn. It returns io.EOF only if the peer has ended the connection in order, and ErrBroken otherwise.
// The end of the connection also ends a write in progress.
func (c *Conn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	c.received.Add(uint64(max(0, n)))

	if err != io.EOF { //nolint:errorlint // A connection returns it unwrapped
		return n, err //nolint:wrapcheck // The error is that of the connection below.
	}

	if failure := c.endWrites(); !followsEnd(failure) && !c.hasReceivedEnd() {
		return n, fmt.Errorf("%w: %w", ErrBroken, failure)
	}

	return n, io.EOF
}

// past is a deadline that ends a write at once.
var past = time.Unix(1, 0)

// endWrites ends the write in progress and returns the first error of a write. The system call that has reported a reset
// belongs to a write whose error is not recorded before that write ends.
func (c *Conn) endWrites() error {
	_ = c.SetWriteDeadline(past)

	c.writing.Lock()
	defer c.writing.Unlock()

	return c.writeErr
}

// followsEnd reports whether the first error of a write shows that the peer had ended the connection in order, once a read has
// returned its end. EPIPE is the error of a reset that came after such an end.
func followsEnd(writeErr error) bool {
	return writeErr == nil || errors.Is(writeErr, os.ErrDeadlineExceeded) || errors.Is(writeErr, syscall.EPIPE)
}

// hasReceivedEnd reports whether the peer has ended the connection in order, once all of its bytes were read. The kernel counts
// that end as one more byte received. This matters for a peer that ends the connection and does not read: the kernel
// gives it up before a slow reader has come to its end. hasReceivedEnd returns false if the kernel does not say.
func (c *Conn) hasReceivedEnd() bool {
	socket, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}

	raw, err := socket.SyscallConn()
	if err != nil {
		return false
	}

	ended := false

	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		ended = infoErr == nil && info.Bytes_received > c.received.Load()
	})

	return err == nil && ended
}
