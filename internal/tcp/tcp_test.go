package tcp_test

import (
	"io"
	"net"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/require"
	"golang.org/x/sys/unix"

	"github.com/tarragonmill/tarragonmill/internal/standin/raw"
	"github.com/tarragonmill/tarragonmill/internal/tcp"
)

// dial connects to a peer that waits for a byte, sends "part" and then ends the connection with end.
func dial(t *testing.T, end func(*net.TCPConn)) *tcp.Conn {
	t.Helper()

	address, err := raw.Serve(t.Context(), func(accepted net.Conn) {
		_, _ = accepted.Read(make([]byte, 1))
		_, _ = io.WriteString(accepted, "part")

		end(accepted.(*net.TCPConn))
	})
	require.NoError(t, err)

	connection, err := net.Dial("tcp", address.String())
	require.NoError(t, err)
	t.Cleanup(func() { _ = connection.Close() })

	return tcp.NewConn(connection)
}

// writeAll writes until an error, and returns it.
func writeAll(c *tcp.Conn) error {
	for {
		if _, err := c.Write(make([]byte, 64<<10)); err != nil {
			return err
		}
	}
}

// Guards against a reset that a read takes for the end of the connection because a write has reported it.
func TestResetReportedByWrite(t *testing.T) {
	c := dial(t, raw.ResetAfter(0))

	require.ErrorIs(t, writeAll(c), syscall.ECONNRESET)

	data, err := io.ReadAll(c)
	require.Equal(t, "part", string(data))
	require.ErrorIs(t, err, tcp.ErrBroken)
}

// Guards against an end in order that counts as broken because a reset comes after it.
func TestResetAfterEnd(t *testing.T) {
	c := dial(t, func(connection *net.TCPConn) {
		_ = connection.CloseWrite()

		raw.ResetAfter(time.Millisecond)(connection)
	})

	require.ErrorIs(t, writeAll(c), syscall.EPIPE)

	data, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "part", string(data))
}

// Guards against an end in order that is noticed only after the peer has read what is written, or never.
func TestEndDuringWrite(t *testing.T) {
	c := dial(t, func(connection *net.TCPConn) {
		_ = connection.CloseWrite()

		time.Sleep(2 * time.Second)
	})

	written := make(chan error, 1)

	go func() { written <- writeAll(c) }()

	started := time.Now()
	data, err := io.ReadAll(c)
	require.NoError(t, err)
	require.Equal(t, "part", string(data))
	require.Error(t, <-written)
	require.Less(t, time.Since(started), time.Second)
}

// Guards against an end that is misjudged because the kernel has given up the connection, whose peer does not read, before the
// end is read: one in order that counts as broken, and none that counts as one.
func TestConnectionGivenUp(t *testing.T) {
	const unackedTimeout = 100 // milliseconds

	for name, test := range map[string]struct {
		end     func(*net.TCPConn)
		inOrder bool
	}{
		"after the end":   {end: func(connection *net.TCPConn) { _ = connection.CloseWrite() }, inOrder: true},
		"without the end": {end: func(*net.TCPConn) {}},
	} {
		t.Run(name, func(t *testing.T) {
			done := make(chan struct{})
			defer close(done)

			c := dial(t, func(connection *net.TCPConn) {
				test.end(connection)

				<-done
			})

			socket, err := c.NetConn().(*net.TCPConn).SyscallConn()
			require.NoError(t, err)
			require.NoError(t, socket.Control(func(fd uintptr) {
				require.NoError(t, unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, unackedTimeout))
			}))

			require.ErrorIs(t, writeAll(c), syscall.ETIMEDOUT)

			data, err := io.ReadAll(c)
			require.Equal(t, "part", string(data))

			if test.inOrder {
				require.NoError(t, err)
			} else {
				require.ErrorIs(t, err, tcp.ErrBroken)
			}
		})
	}
}

// failingConn is a connection that has ended, and whose writes fail with an error.
type failingConn struct {
	net.Conn

	writeErr error
}

func (c failingConn) Write([]byte) (int, error) { return 0, c.writeErr }

func (c failingConn) Read([]byte) (int, error) { return 0, io.EOF }

func (c failingConn) SetWriteDeadline(time.Time) error { return nil }

// Guards against the other errors by which the kernel ends a connection, such as after bytes that are not acknowledged in
// time. It reports them once, too.
func TestErrorsOfWrites(t *testing.T) {
	for _, broken := range []error{syscall.ECONNRESET, syscall.ETIMEDOUT, syscall.EHOSTUNREACH, syscall.ENETUNREACH} {
		c := tcp.NewConn(failingConn{writeErr: &net.OpError{Op: "write", Err: broken}})

		_, err := c.Write([]byte("x"))
		require.ErrorIs(t, err, broken)

		_, err = c.Read(make([]byte, 1))
		require.ErrorIs(t, err, tcp.ErrBroken)
		require.ErrorIs(t, err, broken)
	}
}
