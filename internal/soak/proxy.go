package soak

import (
	"context"
	"io"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/task"
)

// Link is the state of a link that a proxy simulates. The zero value forwards everything at once.
type Link struct {
	// Delay is the time by which each chunk is delayed, in both directions. Datagrams are dropped instead.
	Delay time.Duration
	// CutTo and CutFrom cut the direction to the target and the direction from it. Connections hold their bytes until
	// the cut ends, and datagrams to the target are dropped. New connections are still accepted, as by the kernel of a
	// host whose packets no longer arrive.
	CutTo, CutFrom bool
}

// proxyBufferBytes is the largest size of the chunks that a proxy forwards.
const proxyBufferBytes = 32 << 10

// proxy forwards connections and, if datagrams is set, datagrams to a target.
type proxy struct {
	address, target netip.AddrPort

	listener  net.Listener
	datagrams *net.UDPConn
	tasks     *task.Group

	mutex sync.Mutex
	link  Link
	open  map[net.Conn]bool
}

// newProxy starts a proxy that listens at an address and forwards to a target. With datagrams, it forwards UDP, too.
func newProxy(ctx context.Context, address, target netip.AddrPort, datagrams bool) (*proxy, error) {
	listener, err := new(net.ListenConfig).Listen(ctx, "tcp", address.String())
	if err != nil {
		return nil, errors.Wrap(err, "proxy")
	}

	p := &proxy{
		address: address, target: target, listener: listener, tasks: task.NewGroup(ctx), open: make(map[net.Conn]bool),
	}

	if datagrams {
		p.datagrams, err = net.ListenUDP("udp", net.UDPAddrFromAddrPort(address))
		if err != nil {
			return nil, errors.CombineErrors(errors.Wrap(err, "proxy"), listener.Close())
		}

		p.tasks.Go("datagrams", p.forwardDatagrams)
	}

	p.tasks.Go("accept", p.accept)

	return p, nil
}

// Set changes the state of the link, also for open connections.
func (p *proxy) Set(link Link) {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.link = link
}

func (p *proxy) currentLink() Link {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	return p.link
}

// Reset closes all open connections with a TCP reset.
func (p *proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	for connection := range p.open {
		if tcp, ok := connection.(*net.TCPConn); ok {
			// With a linger time of zero, Close sends a reset.
			_ = tcp.SetLinger(0)
		}

		_ = connection.Close()
	}
}

// Close stops the proxy, resets its connections and waits for its goroutines.
func (p *proxy) Close() {
	_ = p.listener.Close()

	if p.datagrams != nil {
		_ = p.datagrams.Close()
	}

	p.Reset()
	p.tasks.Stop()
}

func (p *proxy) accept(context.Context) {
	for {
		connection, err := p.listener.Accept()
		if err != nil {
			return
		}

		if !p.tasks.Go("connection", func(ctx context.Context) { p.serve(ctx, connection) }) {
			_ = connection.Close()
		}
	}
}

// serve forwards a connection in both directions. When one direction ends, it closes both connections.
func (p *proxy) serve(ctx context.Context, from net.Conn) {
	defer p.track(from)()

	to, err := new(net.Dialer).DialContext(ctx, "tcp", p.target.String())
	if err != nil {
		return
	}

	defer p.track(to)()

	ended := make(chan struct{}, 2)

	go func() { p.copyDirection(ctx, to, from, true); ended <- struct{}{} }()
	go func() { p.copyDirection(ctx, from, to, false); ended <- struct{}{} }()

	<-ended

	_ = from.Close()
	_ = to.Close()

	<-ended
}

// track adds a connection to the open ones. The returned function removes and closes it.
func (p *proxy) track(connection net.Conn) func() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	p.open[connection] = true

	return func() {
		p.mutex.Lock()
		defer p.mutex.Unlock()

		delete(p.open, connection)

		_ = connection.Close()
	}
}

// copyDirection forwards the bytes of one direction; forward is set for the direction to the target. During a cut, it
// holds what it has read and reads no more, so that nothing is lost when the cut ends.
func (p *proxy) copyDirection(ctx context.Context, to io.Writer, from io.Reader, forward bool) {
	buffer := make([]byte, proxyBufferBytes)

	for {
		n, err := from.Read(buffer)

		for ctx.Err() == nil && p.isCut(forward) {
			task.Sleep(ctx, cutPollInterval)
		}

		if delay := p.currentLink().Delay; delay > 0 {
			task.Sleep(ctx, delay)
		}

		if n > 0 {
			if _, failed := to.Write(buffer[:n]); failed != nil {
				return
			}
		}

		if err != nil {
			return
		}
	}
}

// cutPollInterval is the time between two checks whether a cut has ended.
const cutPollInterval = 20 * time.Millisecond

func (p *proxy) isCut(forward bool) bool {
	link := p.currentLink()

	return forward && link.CutTo || !forward && link.CutFrom
}

// forwardDatagrams forwards datagrams to the target. There are no replies to forward: the target replies to the address
// that is stated in a datagram, not to its sender.
func (p *proxy) forwardDatagrams(context.Context) {
	buffer := make([]byte, proxyBufferBytes)

	for {
		n, _, err := p.datagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}

		if link := p.currentLink(); link.CutTo || link.Delay > 0 {
			// A delayed datagram would be outdated, so it is dropped as well.
			continue
		}

		// An error is ignored, because datagrams may get lost anyway.
		_, _ = p.datagrams.WriteToUDPAddrPort(buffer[:n], p.target)
	}
}
