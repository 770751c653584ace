// Package fleet runs many membership reducers in one process, each with its own sockets on the
// loopback interface, to test and measure the exchange of member tables. It is no part of a daemon.
package fleet

import (
	"context"
	"net"
	"net/netip"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/peer"
)

const secret = "fleet"

// watch is a status of one member, and where daemons report that they know of it.
type watch struct {
	member  instance.ID
	status  instance.Status
	reports chan report
}

type report struct {
	observer instance.ID
	at       time.Time
}

// Daemon runs one reducer.
type Daemon struct {
	ID      instance.ID
	address netip.AddrPort
	started time.Time
	state   *membership.State
	server  *peer.Server
	client  *peer.Client
	// inbox passes events and queries to the loop, which alone uses the state.
	inbox chan envelope
	// ready receives the time from start to Ready.
	ready chan time.Duration
	// watched is what the fleet looks for, or nil.
	watched *atomic.Pointer[watch]
	// calls is the number of calls in progress; each one ends with an event in the inbox.
	calls  int
	cancel context.CancelFunc
	// ended is closed after the last goroutine of the daemon has ended; failure is set before.
	ended   chan struct{}
	failure error
}

// envelope is an event with the channel for its answer, or a query.
type envelope struct {
	event  membership.Event
	answer chan membership.Effect
	query  func(*membership.State)
	// ended is set for the event at the end of a call.
	ended bool
}

// start runs a daemon until stop is called.
func start(
	ctx context.Context, self instance.Member, seed uint64, seeds []netip.AddrPort, watched *atomic.Pointer[watch],
) (*Daemon, error) {
	var listen net.ListenConfig

	listener, err := listen.Listen(ctx, "tcp", "127.0.0.1:0")
	if err != nil {
		return nil, errors.Wrap(err, "listening")
	}

	d := &Daemon{
		ID: self.ID, started: time.Now(),
		state: membership.New(membership.WithSeed(seed)),
		inbox: make(chan envelope), ready: make(chan time.Duration, 1),
		watched: watched, ended: make(chan struct{}),
	}
	d.address = listener.Addr().(*net.TCPAddr).AddrPort()

	if d.client, err = peer.NewClient(secret); err != nil {
		return nil, err
	}

	if d.server, err = peer.NewServer(secret, handler{daemon: d}); err != nil {
		return nil, err
	}

	ctx, d.cancel = context.WithCancel(ctx)
	self.Peer = d.address

	served := make(chan error, 1)
	go func() { served <- d.server.Serve(ctx, listener) }()
	go func() {
		d.loop(ctx, membership.Started{Self: self, Seeds: seeds})
		d.client.Close()

		// On a busy machine the grace period for running calls may end first, and closing the
		// connections by force is good enough here.
		if err := <-served; !errors.Is(err, context.DeadlineExceeded) {
			d.failure = err
		}

		close(d.ended)
	}()

	return d, nil
}

// loop applies events until the context ends and all calls have ended.
func (d *Daemon) loop(ctx context.Context, started membership.Event) {
	d.apply(ctx, envelope{event: started})

	ticker := time.NewTicker(membership.TickInterval)
	defer ticker.Stop()

	done := ctx.Done()

	for done != nil || d.calls > 0 {
		select {
		case <-done:
			done = nil
		case <-ticker.C:
			d.apply(ctx, envelope{event: membership.Tick{}})
		case e := <-d.inbox:
			d.apply(ctx, e)
		}
	}
}

func (d *Daemon) apply(ctx context.Context, e envelope) {
	if e.ended {
		d.calls--
	}

	if e.query != nil {
		e.query(d.state)
		close(e.answer)

		return
	}

	if ctx.Err() != nil {
		return
	}

	for _, effect := range d.state.Apply(time.Now(), e.event) {
		switch effect := effect.(type) {
		case membership.Reply, membership.ReplyPage:
			e.answer <- effect
		case membership.Exchange:
			d.call(ctx, func(ctx context.Context) membership.Event { return d.exchange(ctx, effect) })
		case membership.Pull:
			d.call(ctx, func(ctx context.Context) membership.Event { return d.pull(ctx, effect) })
		case membership.Ready:
			d.ready <- time.Since(d.started)
		case membership.MembersChanged:
			d.observe(effect)
		}
	}
}

// call runs an outgoing call, whose event ends it.
func (d *Daemon) call(ctx context.Context, run func(context.Context) membership.Event) {
	d.calls++

	go func() {
		ctx, cancel := context.WithTimeout(ctx, membership.CallTimeout)
		defer cancel()

		d.inbox <- envelope{event: run(ctx), ended: true}
	}()
}

func (d *Daemon) exchange(ctx context.Context, e membership.Exchange) membership.Event {
	answer, err := d.client.Exchange(ctx, e.To.Peer, encode(e.Message))
	if err != nil {
		return membership.ExchangeFailed{To: e.To.ID}
	}

	return membership.ExchangeEnded{To: e.To.ID, Message: decode(answer)}
}

func (d *Daemon) pull(ctx context.Context, e membership.Pull) membership.Event {
	page, err := d.client.Members(ctx, e.To, peer.PageRequest{From: e.From, After: e.After, Limit: e.Limit})
	if err != nil {
		return membership.PullFailed{To: e.To}
	}

	return membership.PageReceived{To: e.To, Members: page.Members, More: page.More, Busy: page.Busy}
}

// observe reports the status that is watched; the watcher drops repeated reports.
func (d *Daemon) observe(e membership.MembersChanged) {
	w := d.watched.Load()
	if w == nil {
		return
	}

	for _, m := range e.Members {
		if m.ID == w.member && m.Status == w.status {
			select {
			case w.reports <- report{observer: d.ID, at: time.Now()}:
			default:
			}
		}
	}
}

// send passes an event to the loop.
func (d *Daemon) send(event membership.Event) { d.inbox <- envelope{event: event} }

// query runs a function on the state in the loop.
func (d *Daemon) query(query func(*membership.State)) {
	answer := make(chan membership.Effect)
	d.inbox <- envelope{query: query, answer: answer}
	<-answer
}

// bytes returns what the daemon has received and sent for control traffic so far.
func (d *Daemon) bytes() int64 { return d.client.Meter().Total() + d.server.Meter().Total() }

// stop ends the daemon without an announcement and waits for it.
func (d *Daemon) stop() error {
	d.cancel()
	<-d.ended

	return d.failure
}

func encode(m membership.Message) peer.Exchange {
	return peer.Exchange{
		From: m.From, Incarnation: m.Incarnation, Members: m.Members, Digest: m.Digest, Seq: m.Seq, Ack: m.Ack,
	}
}

func decode(e peer.Exchange) membership.Message {
	return membership.Message{
		From: e.From, Incarnation: e.Incarnation, Members: e.Members, Digest: e.Digest, Seq: e.Seq, Ack: e.Ack,
	}
}

// handler passes calls of peers to the loop. The embedded interface is nil: no daemon of a fleet makes
// calls other than those below.
type handler struct {
	peer.Handler
	daemon *Daemon
}

func (h handler) ask(ctx context.Context, event membership.Event) (membership.Effect, error) {
	answer := make(chan membership.Effect, 1)

	select {
	case h.daemon.inbox <- envelope{event: event, answer: answer}:
	case <-ctx.Done():
		return nil, ctx.Err()
	}

	select {
	case effect := <-answer:
		return effect, nil
	case <-ctx.Done():
		return nil, ctx.Err()
	}
}

// Exchange implements peer.Handler.
func (h handler) Exchange(ctx context.Context, exchange peer.Exchange) (peer.Exchange, error) {
	effect, err := h.ask(ctx, membership.ExchangeReceived{Message: decode(exchange)})
	if err != nil {
		return peer.Exchange{}, err
	}

	return encode(effect.(membership.Reply).Message), nil
}

// Members implements peer.Handler.
func (h handler) Members(ctx context.Context, page peer.PageRequest) (peer.Page, error) {
	effect, err := h.ask(ctx, membership.PageRequested{From: page.From, After: page.After, Limit: page.Limit})
	if err != nil {
		return peer.Page{}, err
	}

	reply := effect.(membership.ReplyPage)

	return peer.Page{Members: reply.Members, More: reply.More, Busy: reply.Busy}, nil
}
