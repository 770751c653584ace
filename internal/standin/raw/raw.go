// Package raw is a stand-in for a peer that writes bytes of any kind to its connections, also such as break the protocol.
package raw

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"net/netip"
	"runtime"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/task"
)

// Serve accepts connections at a loopback address until ctx ends. It passes each of them to serve, and closes it when
// serve returns or ctx ends. It returns an error if there is no free address.
func Serve(ctx context.Context, serve func(connection net.Conn)) (netip.AddrPort, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return netip.AddrPort{}, errors.Wrap(err, "listen")
	}

	context.AfterFunc(ctx, func() { _ = listener.Close() })

	connections := task.NewGroup(ctx)
	connections.Go("accept", func(context.Context) {
		for {
			accepted, err := listener.Accept()
			if err != nil {
				return
			}

			if !connections.Go("connection", func(ctx context.Context) { serveOne(ctx, accepted, serve) }) {
				_ = accepted.Close()
			}
		}
	})

	address, err := netip.ParseAddrPort(listener.Addr().String())

	return address, errors.Wrap(err, "address of the listener")
}

// ServeResponse starts a server as Serve does. It reads the head of one request on each connection, sends a response before it
// reads the body, and then ends the connection with end.
func ServeResponse(ctx context.Context, response string, end func(*net.TCPConn)) (netip.AddrPort, error) {
	return Serve(ctx, func(connection net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(connection)); err != nil {
			return
		}

		_, _ = io.WriteString(connection, response)

		if tcp, ok := connection.(*net.TCPConn); ok {
			end(tcp)
		}
	})
}

// End ends a connection in order, and reads what the peer still sends.
func End(connection *net.TCPConn) {
	_ = connection.CloseWrite()
	_, _ = io.Copy(io.Discard, connection)
}

// ResetAfter returns a function that resets a connection after a delay.
func ResetAfter(delay time.Duration) func(*net.TCPConn) {
	return func(connection *net.TCPConn) {
		time.Sleep(delay)

		_ = connection.SetLinger(0)
		_ = connection.Close()
	}
}

func serveOne(ctx context.Context, connection net.Conn, serve func(connection net.Conn)) {
	stop := context.AfterFunc(ctx, func() { _ = connection.Close() })
	defer stop()

	defer func() { _ = connection.Close() }()

	serve(connection)
}

// blockSize is the least size in bytes of what Repeat writes at once.
const blockSize = 16 << 10

// Repeat writes a text again and again until an error, for example because the peer has closed the connection.
func Repeat(w io.Writer, text string) {
	block := []byte(strings.Repeat(text, 1+blockSize/len(text)))

	for {
		if _, err := w.Write(block); err != nil {
			return
		}
	}
}

// Allocated returns the number of bytes that the process allocates while run runs.
func Allocated(run func()) uint64 {
	var before, after runtime.MemStats

	runtime.ReadMemStats(&before)
	run()
	runtime.ReadMemStats(&after)

	return after.TotalAlloc - before.TotalAlloc
}
