package daemon

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"

	"github.com/tarragonmill/tarragonmill/internal/logrelay"
	"github.com/tarragonmill/tarragonmill/internal/logservice"
	"github.com/tarragonmill/tarragonmill/internal/peer"
)

func (d *Daemon) readLog(e logrelay.Read) {
	d.tasks.Go("read log", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, logTimeout)
		defer cancel()

		page, err := d.log.Read(ctx, e.Stream, e.From, e.Limit)
		if err != nil {
			d.logger.Debug().Err(err).Str("stream", e.Stream).Msg("log not read")
		}

		d.apply(logrelay.ReadEnded{Stream: e.Stream, Page: page, Failed: err != nil})
	})
}

func (d *Daemon) appendLog(e logrelay.Append) {
	d.tasks.Go("append", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, logTimeout)
		defer cancel()

		offset, err := d.log.Append(ctx, e.Stream, e.Data)
		d.apply(appendEnded(e.Token, offset, err))
	})
}

func appendEnded(token, offset uint64, err error) logrelay.AppendEnded {
	if err == nil {
		return logrelay.AppendEnded{Token: token, Offset: offset}
	}

	var retryAfter time.Duration

	var failed *logservice.AppendError
	if errors.As(err, &failed) {
		retryAfter = failed.RetryAfter
	}

	return logrelay.AppendEnded{
		Token: token, Failed: true, Effect: logservice.EffectOf(err), RetryAfter: retryAfter,
	}
}

func (d *Daemon) pullRecords(e logrelay.Pull) {
	member, ok := d.state.Member(e.Peer)

	d.tasks.Go("pull records", func(ctx context.Context) {
		ctx, cancel := context.WithTimeout(ctx, pullTimeout)
		defer cancel()

		var page logrelay.Page

		err := errors.New("daemon is not a member")
		if ok {
			page, err = d.control.Records(ctx, member.Peer, peer.RecordsRequest{Stream: e.Stream, From: e.From})
		}

		d.apply(logrelay.PullEnded{Stream: e.Stream, Peer: e.Peer, Page: page, Failed: err != nil})
	})
}

func (d *Daemon) announceThroughs(e logrelay.Announce) {
	for _, id := range e.Peers {
		member, ok := d.state.Member(id)
		if !ok {
			continue
		}

		d.tasks.Go("announce", func(ctx context.Context) {
			ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
			defer cancel()

			if err := d.control.Announce(ctx, member.Peer, d.settings.ID, e.Throughs); err != nil {
				d.logger.Debug().Err(err).Str("to", string(id)).Msg("offset not announced")
			}
		})
	}
}
