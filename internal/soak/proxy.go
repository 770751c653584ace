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

// Link says what a proxy does with the bytes that pass. The zero value lets them pass.
type Link struct {
	// Delay of each piece in both directions.
	Delay time.Duration
	// CutTo and CutFrom drop what goes to the target and what comes from it. New connections are still accepted, as by a
	// kernel whose packets no longer arrive.
	CutTo, CutFrom bool
}

// proxyBuffer is the size of the pieces that a proxy passes on, in bytes.
const proxyBufferBytes = 32 << 10

// proxy passes connections, and datagrams if there are any, on to one target.
type proxy struct {
	address, target netip.AddrPort

	listener  net.Listener
	datagrams *net.UDPConn
	tasks     *task.Group

	mutex sync.Mutex
	link  Link
	open  map[net.Conn]bool
}

// newProxy listens at an address and passes on to a target. With datagrams, it passes these on, too.
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

// Set changes the link, for open connections, too.
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

// Reset breaks all open connections off.
func (p *proxy) Reset() {
	p.mutex.Lock()
	defer p.mutex.Unlock()

	for connection := range p.open {
		if tcp, ok := connection.(*net.TCPConn); ok {
			// Without lingering, closing sends a reset.
			_ = tcp.SetLinger(0)
		}

		_ = connection.Close()
	}
}

// Close ends the proxy and waits for its goroutines.
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

// serve passes one connection on in both directions. If one side ends, so does the other.
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

// track lists a connection until the returned function closes it.
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

// pass copies one direction. A cut direction is not read, so that nothing is lost if the cut heals.
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

// cutPoll is the time between two looks whether a cut has healed.
const cutPollInterval = 20 * time.Millisecond

func (p *proxy) isCut(forward bool) bool {
	link := p.currentLink()

	return forward && link.CutTo || !forward && link.CutFrom
}

// passDatagrams passes datagrams to the target. Answers go to the address that a datagram names, not to its sender.
func (p *proxy) forwardDatagrams(context.Context) {
	buffer := make([]byte, proxyBufferBytes)

	for {
		n, _, err := p.datagrams.ReadFromUDPAddrPort(buffer)
		if err != nil {
			return
		}

		if link := p.currentLink(); link.CutTo || link.Delay > 0 {
			// A datagram that comes late says nothing new.
			continue
		}

		// A datagram that is lost is what the receiver has to bear anyway.
		_, _ = p.datagrams.WriteToUDPAddrPort(buffer[:n], p.target)
	}
}
