package peer

import (
	"net"
	"sync/atomic"
)

// Meter counts bytes on connections, including HTTP/2 framing and headers but not TCP and IP headers.
type Meter struct{ received, sent atomic.Int64 }

// Received returns the bytes read so far.
func (m *Meter) Received() int64 { return m.received.Load() }

// Sent returns the bytes written so far.
func (m *Meter) Sent() int64 { return m.sent.Load() }

// Total returns the bytes in both directions.
func (m *Meter) Total() int64 { return m.Received() + m.Sent() }

func (m *Meter) add(other *Meter) {
	m.received.Add(other.Received())
	m.sent.Add(other.Sent())
}

// meteredConn counts its bytes once it is attributed to a meter. Bytes from before are added then.
type meteredConn struct {
	net.Conn
	own   Meter
	meter atomic.Pointer[Meter]
}

// attribute adds the connection's bytes to a meter from its first byte on. A call that overlaps with
// a read or write may count that one twice or not at all.
func (c *meteredConn) attribute(meter *Meter) {
	if c.meter.CompareAndSwap(nil, meter) {
		meter.add(&c.own)
	}
}

// Read counts what was read.
func (c *meteredConn) Read(data []byte) (int, error) {
	n, err := c.Conn.Read(data)
	if meter := c.meter.Load(); meter != nil {
		meter.received.Add(int64(n))
	} else {
		c.own.received.Add(int64(n))
	}

	return n, err
}

// Write counts what was written.
func (c *meteredConn) Write(data []byte) (int, error) {
	n, err := c.Conn.Write(data)
	if meter := c.meter.Load(); meter != nil {
		meter.sent.Add(int64(n))
	} else {
		c.own.sent.Add(int64(n))
	}

	return n, err
}

// meteredListener wraps accepted connections.
type meteredListener struct{ net.Listener }

// Accept waits for a connection.
func (l meteredListener) Accept() (net.Conn, error) {
	conn, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}

	return &meteredConn{Conn: conn}, nil
}
