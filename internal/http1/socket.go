package http1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedLimit is how long sent bytes may stay without acknowledgement before the connection counts as
	// broken. It exceeds a few retransmissions across regions and is below the usual time limits of requests.
	unackedLimit = 1500 * time.Millisecond
	// keepAliveIdle and the two values below find a connection that a peer has lost without a sign.
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// KeepAlive is the configuration of keep-alive probes for dialers and listeners.
func KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}
}

// limitUnacked makes the kernel end a connection whose sent bytes are not acknowledged in time. Without it
// a write to an instance without power hangs for minutes.
func limitUnacked(c net.Conn) {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return
	}

	raw, err := tcp.SyscallConn()
	if err != nil {
		return
	}

	_ = raw.Control(func(fd uintptr) {
		// A system without the option keeps its own limit, which is only slower.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedLimit.Milliseconds()))
	})
}

// quiet reports whether nothing has arrived on an idle connection: neither its end nor bytes that no
// request has asked for.
func quiet(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}

	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}

	silent := false

	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte

		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		silent = peekErr == syscall.EAGAIN //nolint:errorlint // errno of a system call

		return true
	})

	return err == nil && silent
}
