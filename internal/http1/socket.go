package http1

import (
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

const (
	// unackedTimeout is the time after which a connection with unacknowledged bytes is considered broken. It leaves time
	// for a few retransmissions between regions, and is shorter than the usual deadlines of requests.
	unackedTimeout = 1500 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount configure the probes that detect a connection whose peer is
	// gone without having closed it.
	keepAliveIdle     = 10 * time.Second
	keepAliveInterval = 2 * time.Second
	keepAliveCount    = 3
)

// KeepAliveConfig returns the configuration of keep-alive probes for dialers and listeners.
func KeepAliveConfig() net.KeepAliveConfig {
	return net.KeepAliveConfig{
		Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
	}
}

// limitUnacked makes the kernel close a connection whose sent bytes are not acknowledged within unackedTimeout. Without
// it, a write to an instance that has lost power blocks for minutes.
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
		// On a system without this option, the system's own, longer timeout applies.
		_ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	})
}

// hasNoInput reports whether nothing has arrived on an idle connection: neither a close by the peer nor bytes that no
// request asked for.
func hasNoInput(c net.Conn) bool {
	tcp, ok := c.(*net.TCPConn)
	if !ok {
		return true
	}

	raw, err := tcp.SyscallConn()
	if err != nil {
		return false
	}

	noInput := false

	err = raw.Read(func(fd uintptr) bool {
		var one [1]byte

		_, _, peekErr := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		noInput = peekErr == syscall.EAGAIN //nolint:errorlint // errno of a system call

		return true
	})

	return err == nil && noInput
}
