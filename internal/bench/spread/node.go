package spread

import (
	"context"
	"net"
	"net/netip"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/config"
	"github.com/tarragonmill/tarragonmill/internal/config/follower"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/logservice/record"
	"github.com/tarragonmill/tarragonmill/internal/peer"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// fleetKey authenticates the nodes of one process to each other.
const fleetKey = "spread-key"

const (
	exchangeInterval = time.Second
	callTimeout      = 2 * time.Second
	// ownTokens is the number of append tokens that are not the reducers'.
	ownTokens = 1 << 20
)

var errNotServed = errors.New("not served by this node")

// Node is a daemon reduced to configuration: the two reducers, a peer server and client, and a client
// of the log service.
type Node struct {
	ID         instance.ID
	fleet      *Fleet
	address    netip.AddrPort
	neighbours []instance.ID
	state      *follower.State
	log        *logservice.Client
	client     *peer.Client
	server     *peer.Server
	tasks      *task.Group
	events     chan logrelay.Event
	calls      map[uint64]chan logrelay.Page
	pulls      chan pullCall
	token      uint64
}

type pullCall struct {
	request peer.RecordsRequest
	reply   chan logrelay.Page
}

func (f *Fleet) newNode(id instance.ID, seed uint64, listener net.Listener) (*Node, error) {
	address, err := netip.ParseAddrPort(listener.Addr().String())
	if err != nil {
		return nil, errors.Wrap(err, "listen address")
	}

	n := &Node{
		ID: id, fleet: f, address: address,
		state: follower.New(
			logrelay.New(logrelay.WithSeed(seed), logrelay.WithStreams(logrelay.Stream{Name: record.ConfigStream})),
			config.New(config.WithSeed(seed), config.WithValidation(f.options.Validate)),
			ownTokens,
		),
		events: make(chan logrelay.Event, 64), pulls: make(chan pullCall),
		calls: map[uint64]chan logrelay.Page{},
	}
	if n.log, err = logservice.New(f.options.Log); err != nil {
		return nil, err
	}

	if n.client, err = peer.NewClient(fleetKey); err != nil {
		return nil, err
	}

	n.server, err = peer.NewServer(fleetKey, n)

	return n, err
}

// start runs the node's event loop and its server.
func (n *Node) start(listener net.Listener, isRelay bool) {
	n.tasks = task.NewGroup(n.fleet.ctx)
	n.tasks.Go("serve", func(ctx context.Context) { n.fleet.report(n.server.Serve(ctx, listener)) })
	n.tasks.Go("loop", func(ctx context.Context) { n.loop(ctx, isRelay) })
}

func (n *Node) stop() {
	n.tasks.Stop()
	n.client.Close()
	n.log.Close()
}

func (n *Node) loop(ctx context.Context, isRelay bool) {
	tick := time.NewTicker(logrelay.TickInterval)
	defer tick.Stop()

	second := time.NewTicker(exchangeInterval)
	defer second.Stop()

	n.apply(logrelay.NeighboursChanged{Neighbours: n.neighbours})
	n.perform(n.state.ChangeRole(time.Now(), isRelay))

	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			n.apply(logrelay.Tick{})
		case <-second.C:
			n.perform(n.state.Configure(time.Now(), config.Tick{}))
			n.announce(n.neighbours, n.state.Relay.Throughs(time.Now()))
		case event := <-n.events:
			n.apply(event)
		case call := <-n.pulls:
			n.token++
			n.calls[n.token] = call.reply
			n.apply(logrelay.PullRequested{Call: n.token, Stream: call.request.Stream, From: call.request.From})
		}
	}
}

// send hands an event to the loop, unless that has ended.
func (n *Node) send(ctx context.Context, event logrelay.Event) {
	select {
	case n.events <- event:
	case <-ctx.Done():
	case <-n.fleet.ctx.Done():
	}
}

func (n *Node) apply(event logrelay.Event) { n.perform(n.state.Apply(time.Now(), event)) }

func (n *Node) perform(effects []follower.Effect) {
	for _, effect := range effects {
		switch e := effect.(type) {
		case logrelay.Read:
			n.tasks.Go("read", func(ctx context.Context) {
				page, err := n.log.Read(ctx, e.Stream, e.From, e.Limit)
				n.send(ctx, logrelay.ReadEnded{Stream: e.Stream, Page: page, Failed: err != nil})
			})
		case logrelay.Pull:
			n.tasks.Go("pull", func(ctx context.Context) { n.pull(ctx, e) })
		case logrelay.Answer:
			n.calls[e.Call] <- e.Page
			delete(n.calls, e.Call)
		case logrelay.Announce:
			n.announce(e.Peers, e.Throughs)
		case logrelay.Append:
			n.tasks.Go("append", func(ctx context.Context) {
				offset, err := n.log.Append(ctx, e.Stream, e.Data)
				n.send(ctx, logrelay.AppendEnded{
					Token: e.Token, Offset: offset, Failed: err != nil, Effect: logservice.EffectOf(err),
				})
			})
		case config.InForce:
			n.fleet.inForce(n.ID, e)
		}
	}
}

func (n *Node) pull(ctx context.Context, e logrelay.Pull) {
	call, cancel := context.WithTimeout(ctx, callTimeout)
	defer cancel()

	page, err := n.client.Records(call, n.fleet.address(e.Peer), peer.RecordsRequest{Stream: e.Stream, From: e.From})
	n.send(ctx, logrelay.PullEnded{Stream: e.Stream, Peer: e.Peer, Page: page, Failed: err != nil})
}

func (n *Node) announce(peers []instance.ID, throughs []logrelay.Through) {
	for _, id := range peers {
		n.tasks.Go("announce", func(ctx context.Context) {
			call, cancel := context.WithTimeout(ctx, callTimeout)
			defer cancel()

			// A peer that is not reached hears of the offset in a later exchange.
			_ = n.client.Announce(call, n.fleet.address(id), n.ID, throughs)
		})
	}
}

// Announce receives how far another node has read.
func (n *Node) Announce(ctx context.Context, from instance.ID, throughs []logrelay.Through) error {
	n.send(ctx, logrelay.ThroughsHeard{From: from, Throughs: throughs})

	return nil
}

// Records answers a pull.
func (n *Node) Records(ctx context.Context, request peer.RecordsRequest) (logrelay.Page, error) {
	call := pullCall{request: request, reply: make(chan logrelay.Page, 1)}

	select {
	case n.pulls <- call:
	case <-ctx.Done():
		return logrelay.Page{}, ctx.Err()
	case <-n.fleet.ctx.Done():
		return logrelay.Page{}, n.fleet.ctx.Err()
	}

	select {
	case page := <-call.reply:
		return page, nil
	case <-ctx.Done():
		return logrelay.Page{}, ctx.Err()
	case <-n.fleet.ctx.Done():
		return logrelay.Page{}, n.fleet.ctx.Err()
	}
}

// Exchange is not served.
func (n *Node) Exchange(context.Context, peer.Exchange) (peer.Exchange, error) {
	return peer.Exchange{}, errNotServed
}

// Members is not served.
func (n *Node) Members(context.Context, peer.PageRequest) (peer.Page, error) {
	return peer.Page{}, errNotServed
}

// Handover is not served.
func (n *Node) Handover(context.Context, keys.Handover) error { return errNotServed }

// Report is not served.
func (n *Node) Report(context.Context, []suspects.Report) error { return errNotServed }

// Probe is not served.
func (n *Node) Probe(context.Context) (load.Hint, error) { return load.Hint{}, errNotServed }

// Append is not served.
func (n *Node) Append(context.Context, []byte) error { return errNotServed }
