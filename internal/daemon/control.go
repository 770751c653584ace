package daemon

import (
	"context"
	"time"

	"connectrpc.com/connect"
	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/core"
	"github.com/tarragonmill/tarragonmill/internal/instance"
	"github.com/tarragonmill/tarragonmill/internal/keys"
	"github.com/tarragonmill/tarragonmill/internal/load"
	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/peer"
	"github.com/tarragonmill/tarragonmill/internal/routing"
	"github.com/tarragonmill/tarragonmill/internal/suspects"
)

const (
	exchangeTimeout = 800 * time.Millisecond
	pullTimeout     = 2 * time.Second
	probeTimeout    = 200 * time.Millisecond
	handoverTimeout = 2 * time.Second
	logTimeout      = 3 * time.Second
)

// control answers other daemons.
type control struct{ daemon *Daemon }

// ask applies an event that is answered by an effect with the same call number.
func ask[R any](d *Daemon, event func(call uint64) core.Event) (R, error) {
	call := d.calls.Add(1)

	d.mutex.Lock()
	defer d.mutex.Unlock()

	d.applyLocked(event(call))

	reply, ok := d.replies[call].(R)
	delete(d.replies, call)

	if !ok {
		return reply, connect.NewError(connect.CodeUnavailable, errors.New("daemon has no answer yet"))
	}

	return reply, nil
}

func (c control) Exchange(_ context.Context, e peer.Exchange) (peer.Exchange, error) {
	reply, err := ask[core.ExchangeReply](c.daemon, func(call uint64) core.Event {
		return core.ExchangeArrived{Call: call, Message: toMessage(e), Throughs: e.Throughs, Reports: e.Suspects}
	})

	return fromMessage(reply.Message, reply.Throughs, reply.Reports), err
}

func (c control) Members(_ context.Context, page peer.PageRequest) (peer.Page, error) {
	reply, err := ask[membership.ReplyPage](c.daemon, func(call uint64) core.Event {
		return membership.PageRequested{Call: call, From: page.From, After: page.After, Limit: page.Limit}
	})

	return peer.Page{Members: reply.Members, More: reply.More, Busy: reply.Busy}, err
}

func (c control) Records(_ context.Context, records peer.RecordsRequest) (logrelay.Page, error) {
	reply, err := ask[logrelay.Answer](c.daemon, func(call uint64) core.Event {
		return logrelay.PullRequested{Call: call, Stream: records.Stream, From: records.From}
	})

	return reply.Page, err
}

func (c control) Handover(_ context.Context, handover keys.Handover) error {
	c.daemon.apply(keys.HandoverReceived{Handover: handover})

	return nil
}

func (c control) Report(_ context.Context, reports []suspects.Report) error {
	c.daemon.apply(suspects.ReportsHeard{Reports: reports})

	return nil
}

func (c control) Probe(context.Context) (load.Hint, error) { return c.daemon.hint(), nil }

func (c control) Announce(_ context.Context, from instance.ID, throughs []logrelay.Through) error {
	c.daemon.apply(logrelay.ThroughsHeard{From: from, Throughs: throughs})

	return nil
}

func (c control) Append(_ context.Context, data []byte) error {
	record, err := logservice.DecodeGrants(data)
	if err != nil {
		return connect.NewError(connect.CodeInvalidArgument, err)
	}

	c.daemon.apply(core.GrantsArrived{Record: record})

	return nil
}

func toMessage(e peer.Exchange) membership.Message {
	return membership.Message{
		From: e.From, Incarnation: e.Incarnation, Members: e.Members, Digest: e.Digest, Seq: e.Seq, Ack: e.Ack,
	}
}

func fromMessage(m membership.Message, throughs []logrelay.Through, reports []suspects.Report) peer.Exchange {
	return peer.Exchange{
		From: m.From, Incarnation: m.Incarnation, Members: m.Members, Digest: m.Digest, Seq: m.Seq, Ack: m.Ack,
		Throughs: throughs, Suspects: reports,
	}
}

func (d *Daemon) exchange(e core.Exchange) {
	d.tasks.Go("exchange", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()

		answer, err := d.control.Exchange(ctx, e.To.Peer, fromMessage(e.Message, e.Throughs, e.Reports))
		if err != nil {
			d.apply(membership.ExchangeFailed{To: e.To.ID})

			return
		}

		d.apply(core.ExchangeEnded{
			To: e.To.ID, Message: toMessage(answer), Throughs: answer.Throughs, Reports: answer.Suspects,
		})
	})
}

func (d *Daemon) pullMembers(e membership.Pull) {
	d.tasks.Go("pull members", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()

		page, err := d.control.Members(ctx, e.To, peer.PageRequest{From: e.From, After: e.After, Limit: e.Limit})
		if err != nil {
			d.apply(membership.PullFailed{To: e.To})

			return
		}

		d.apply(membership.PageReceived{To: e.To, Members: page.Members, More: page.More, Busy: page.Busy})
	})
}

func (d *Daemon) probe(e routing.Probe) {
	d.tasks.Go("probe", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, probeTimeout)
		defer cancel()

		begun := time.Now()
		hint, err := d.control.Probe(ctx, e.Target.Peer)
		d.apply(routing.ProbeEnded{
			Target: e.Target.ID, Hint: hint, OK: err == nil, Elapsed: time.Since(begun), Bytes: routing.ProbeBytes,
		})
	})
}

func (d *Daemon) sendHandover(e keys.SendHandover) {
	member, ok := d.state.Member(e.To)

	d.tasks.Go("handover", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, handoverTimeout)
		defer cancel()

		delivered := ok && d.control.Handover(ctx, member.Peer, e.Handover) == nil
		d.apply(keys.HandoverEnded{
			To: e.To, Round: e.Handover.Round, Chunk: e.Handover.Chunk, Delivered: delivered,
		})
	})
}

// announceSuspects tells the daemons of a service, which alone can run the suspects, at once.
func (d *Daemon) announceSuspects(e suspects.Announce) {
	for _, member := range d.state.Members(e.Service) {
		if member.ID == d.settings.ID {
			continue
		}

		d.tasks.Go("report", func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()

			if err := d.control.Report(ctx, member.Peer, e.Reports); err != nil {
				d.logger.Warn().Err(err).Str("to", string(member.ID)).Msg("suspects not reported")
			}
		})
	}
}

func (d *Daemon) sendGrants(e core.SendGrants) {
	data, err := logservice.EncodeGrants(e.Record)
	if err != nil {
		d.logger.Error().Err(err).Msg("grants cannot be encoded")

		return
	}

	d.tasks.Go("grants", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
		defer cancel()

		if err := d.control.Append(ctx, e.To.Peer, data); err != nil {
			d.logger.Warn().Err(err).Str("combiner", string(e.To.ID)).Msg("grants not passed on")
		}
	})
}
