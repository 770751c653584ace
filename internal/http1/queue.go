package http1

import (
	"net"
	"os"

	"golang.org/x/sys/unix"
)

// closeAfterQueue closes a listener and returns the connections that were still in its accept queue. The kernel resets
// those that are left there, and some arrive between the last Accept and the close, the more the busier the processor is.
func closeAfterQueue(listener net.Listener) []net.Conn {
	var sockets []int

	if tcp, ok := listener.(*net.TCPListener); ok {
		if raw, err := tcp.SyscallConn(); err == nil {
			// An error means that the listener is closed already.
			_ = raw.Control(func(fd uintptr) {
				sockets = acceptQueued(int(fd))
				// Close takes longer, so that more connections would arrive meanwhile. If this fails, Close still follows.
				_ = unix.Shutdown(int(fd), unix.SHUT_RD)
			})
		}
	}

	_ = listener.Close()

	var queued []net.Conn

	for _, socket := range sockets {
		if accepted, err := toConn(socket); err == nil {
			queued = append(queued, accepted)
		}
	}

	return queued
}

// acceptQueued accepts connections at a socket until its queue is empty.
func acceptQueued(listener int) []int {
	var sockets []int

	for {
		socket, _, err := unix.Accept4(listener, unix.SOCK_NONBLOCK|unix.SOCK_CLOEXEC)

		switch err {
		case nil:
			sockets = append(sockets, socket)
		case unix.EINTR, unix.ECONNABORTED:
		default:
			return sockets
		}
	}
}

// toConn returns the connection of a socket.
func toConn(socket int) (net.Conn, error) {
	file := os.NewFile(uintptr(socket), "connection")
	defer func() { _ = file.Close() }()

	return net.FileConn(file) //nolint:wrapcheck // The caller drops a connection that fails.
}
