package daemon

import (
	"context"
	"net/netip"

	"github.com/tarragonmill/tarragonmill/internal/membership"
	"github.com/tarragonmill/tarragonmill/internal/quota"
	"github.com/tarragonmill/tarragonmill/internal/task"
)

// maxBeat is the size in bytes of the largest datagram that is read.
const maxBeat = 2 << 10

// sendBeat sends a datagram. A datagram that does not fit into the socket's buffer is dropped. The caller holds the
// mutex.
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

// readBeats receives datagrams of other daemons until ctx ends.
func (d *Daemon) readBeats(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.sockets.Beats.Close() })
	defer stop()

	buffer := make([]byte, maxBeat)

	for ctx.Err() == nil {
		n, source, err := d.sockets.Beats.ReadFromUDPAddrPort(buffer)
		if err != nil {
			task.Sleep(ctx, errorPause)

			continue
		}

		d.beatBytes.Add(int64(n))

		if !d.catchPanic("beat", func() {
			d.handleBeat(buffer[:n], netip.AddrPortFrom(source.Addr().Unmap(), source.Port()))
		}) {
			d.beatErrors.Add(1)
		}
	}

	return nil
}

// handleBeat decodes a datagram and applies it as an event.
func (d *Daemon) handleBeat(data []byte, source netip.AddrPort) {
	if quota.IsMessage(data) {
		d.handleQuotaMessage(data)

		return
	}

	beat, err := membership.DecodeBeat(data)
	if err != nil {
		d.beatErrors.Add(1)

		return
	}

	d.apply(membership.BeatHeard{Beat: beat, Source: source})
}
