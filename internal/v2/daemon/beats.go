package daemon

import (
	"context"

	"github.com/tarragonmill/tarragonmill/internal/v2/membership"
)

// maxBeat is the largest datagram in bytes that is read.
const maxBeat = 2 << 10

// sendBeat sends a datagram. The mutex is held; a datagram that does not fit the socket's buffer is dropped.
func (d *Daemon) sendBeat(e membership.SendBeat) {
	if d.beats == nil {
		return
	}

	if _, err := d.beats.WriteToUDPAddrPort(membership.EncodeBeat(e.Beat), e.To); err != nil {
		d.beatErrors.Add(1)
	}
}

// readBeats reads datagrams of other daemons until ctx ends.
func (d *Daemon) readBeats(ctx context.Context) error {
	stop := context.AfterFunc(ctx, func() { _ = d.beats.Close() })
	defer stop()

	buffer := make([]byte, maxBeat)

	for ctx.Err() == nil {
		n, _, err := d.beats.ReadFromUDPAddrPort(buffer)
		if err != nil {
			sleep(ctx, acceptPause)

			continue
		}

		beat, err := membership.DecodeBeat(buffer[:n])
		if err != nil {
			d.beatErrors.Add(1)

			continue
		}

		d.apply(membership.BeatHeard{Beat: beat})
	}

	return nil
}
