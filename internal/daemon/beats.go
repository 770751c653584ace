package daemon

import (
	"context"
	"net/netip"

	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// maxBeat is the largest datagram in bytes that is read.
const maxBeat = 2 << 10

// sendBeat sends a datagram. The mutex is held; a datagram that does not fit the socket's buffer is dropped.
func (d *Daemon) sendBeat(e membership.SendBeat) {
	if d.sockets.Beats == nil {
		return
	}

	n, err := d.sockets.Beats.WriteToUDPAddrPort(membership.EncodeBeat(e.Beat), e.To)
	if err != nil {
		d.beatErrors.Add(1)
	}

	d.beatBytes.Add(int64(n))
}

// readBeats reads datagrams of other daemons until ctx ends.
func (d *Daemon) readBeats(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.sockets.Beats.Close() })
	defer stop()

	buffer := make([]byte, maxBeat)

	for ctx.Err() == nil {
		n, source, err := d.sockets.Beats.ReadFromUDPAddrPort(buffer)
		if err != nil {
			task.Sleep(ctx, acceptPause)

			continue
		}

		d.beatBytes.Add(int64(n))

		if !d.protect("beat", func() { d.takeBeat(buffer[:n], netip.AddrPortFrom(source.Addr().Unmap(), source.Port())) }) {
			d.beatErrors.Add(1)
		}
	}

	return nil
}

func (d *Daemon) takeBeat(data []byte, source netip.AddrPort) {
	beat, err := membership.DecodeBeat(data)
	if err != nil {
		d.beatErrors.Add(1)

		return
	}

	d.apply(membership.BeatHeard{Beat: beat, Source: source})
}
