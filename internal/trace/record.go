package trace

import (
	"bufio"
	"context"
	"encoding/json"
	"io"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
)

const (
	// queueLength is the number of events that may wait to be written. It bridges a pause of the
	// writer of 1 s at 8,000 events/s; the target of 29,000 calls/s over 610 daemons is about 48
	// calls/s at each.
	queueLength = 8192
	// reserve is kept free below the size limit for the closing line.
	reserve = 1 << 10 // bytes
	// maxCause bounds the text in the closing line, so that it fits the reserve.
	maxCause = 256
)

// Recorder writes one recording. Its owner calls Record from the goroutine of the reducer and starts
// the writer with Start.
type Recorder[E, F any] struct {
	events  *Kinds[E]
	effects *Kinds[F]
	header  Header
	limit   int64

	queue chan entry[E, F]
	// stopped is set once no more events are accepted.
	stopped atomic.Bool
	lost    atomic.Bool

	// The rest belongs to the writer's goroutine.
	out     *bufio.Writer
	written int64
	seq     uint64
}

type entry[E, F any] struct {
	now     time.Time
	event   E
	effects []F
}

// NewRecorder returns a recorder that writes at most limit bytes. The caller closes out after the
// writer has ended.
func NewRecorder[E, F any](out io.Writer, limit int64, header Header, events *Kinds[E], effects *Kinds[F]) *Recorder[E, F] {
	return &Recorder[E, F]{
		events: events, effects: effects, header: header, limit: limit,
		queue: make(chan entry[E, F], queueLength),
		out:   bufio.NewWriter(out),
	}
}

// Record adds an event and its effects. It never blocks. If the queue is full, the recording ends with
// a line that says so. Events and effects must be immutable; the list of effects may be reused.
func (r *Recorder[E, F]) Record(now time.Time, event E, effects []F) {
	if r.stopped.Load() {
		return
	}

	select {
	case r.queue <- entry[E, F]{now: now, event: event, effects: slices.Clone(effects)}:
	default:
		// The queue holds only events before the gap, because nothing is accepted from here on.
		r.lost.Store(true)
		r.stopped.Store(true)
	}
}

// Start starts the writer's goroutine. It ends with the context, after writing what was recorded until
// then, or earlier at the size limit or a fault. The channel then receives nil or the error. Events that are
// recorded after the end of the context may be left out.
func (r *Recorder[E, F]) Start(ctx context.Context) <-chan error {
	done := make(chan error, 1)

	go func() {
		err := r.run(ctx)
		r.stopped.Store(true)

		done <- errors.CombineErrors(err, r.out.Flush())
	}()

	return done
}

func (r *Recorder[E, F]) run(ctx context.Context) error {
	start := line{Start: &startLine{Format: format, Seed: r.header.Seed, Options: r.header.Options}}
	if ended, err := r.write(start); ended || err != nil {
		return err
	}

	for {
		select {
		case e := <-r.queue:
			if ended, err := r.writeEntry(e); ended || err != nil {
				return err
			}
		case <-ctx.Done():
			r.stopped.Store(true)

			return r.finish()
		}
	}
}

// finish writes what is queued and the closing line.
func (r *Recorder[E, F]) finish() error {
	for {
		select {
		case e := <-r.queue:
			if ended, err := r.writeEntry(e); ended || err != nil {
				return err
			}
		default:
			// The queue may have been written completely between the failure to add to it and the
			// note of it.
			if r.lost.Load() {
				return r.close(EndLost, "")
			}

			return r.close(EndStopped, "")
		}
	}
}

// writeEntry reports whether the recording has ended.
func (r *Recorder[E, F]) writeEntry(e entry[E, F]) (bool, error) {
	r.seq++

	event, err := r.events.encode(e.event)
	if err != nil {
		return true, r.close(EndUnrecordable, err.Error())
	}

	effects, err := r.effects.encodeAll(e.effects)
	if err != nil {
		return true, r.close(EndUnrecordable, err.Error())
	}

	if ended, err := r.write(line{Seq: r.seq, Now: e.now, Event: &event, Effects: effects}); ended || err != nil {
		return ended, err
	}

	if len(r.queue) > 0 {
		return false, nil
	}
	// All events before a gap are written.
	if r.lost.Load() {
		return true, r.close(EndLost, "")
	}

	// A crash then loses only the events of a burst.
	return false, errors.Wrap(r.out.Flush(), "write recording")
}

// write adds a line, or the closing line if it does not fit. It reports whether the recording ended.
func (r *Recorder[E, F]) write(l line) (bool, error) {
	data, err := json.Marshal(l)
	if err != nil {
		return true, r.close(EndUnrecordable, err.Error())
	}
	if len(data) >= maxLine {
		return true, r.close(EndUnrecordable, "line is too long")
	}
	if r.written+int64(len(data))+1 > r.limit-reserve {
		return true, r.close(EndLimit, "")
	}

	return false, r.append(data)
}

func (r *Recorder[E, F]) close(end End, cause string) error {
	r.stopped.Store(true)

	data, err := json.Marshal(line{End: end, Cause: cause[:min(len(cause), maxCause)]})
	if err != nil {
		return errors.Wrap(err, "encode closing line")
	}

	return r.append(data)
}

func (r *Recorder[E, F]) append(data []byte) error {
	r.written += int64(len(data)) + 1
	_, err := r.out.Write(append(data, '\n'))

	return errors.Wrap(err, "write recording")
}
