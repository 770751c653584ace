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
	// queueCapacity is the maximum number of events that wait to be written. It covers a pause of the writer of 1 s at
	// 8,000 events/s. The target of 29,000 calls/s for 610 daemons is about 48 calls/s at each.
	queueCapacity = 8192
	// closingLineReserve is the space below the size limit that is kept for the closing line, in bytes.
	closingLineReserve = 1 << 10
	// maxCauseLength bounds the cause in the closing line, in bytes, so that the line fits closingLineReserve.
	maxCauseLength = 256
)

// Recorder writes one recording. Its owner starts the writer's goroutine with Start and calls Record from the goroutine
// of the reducer.
type Recorder[E, F any] struct {
	events  *Kinds[E]
	effects *Kinds[F]
	header  Header
	// limit is the maximum size of the recording in bytes.
	limit int64

	queue chan queuedEvent[E, F]
	// stopped is set once no more events are accepted.
	stopped atomic.Bool
	// overflowed is set once an event found the queue full.
	overflowed atomic.Bool

	// The following fields belong to the writer's goroutine.
	out          *bufio.Writer
	writtenBytes int64
	// seq is the number of the last event; events count from 1.
	seq uint64
}

type queuedEvent[E, F any] struct {
	now     time.Time
	event   E
	effects []F
}

// NewRecorder returns a recorder that writes at most limit bytes to out. The caller closes out after the writer's
// goroutine has ended.
func NewRecorder[E, F any](out io.Writer, limit int64, header Header, events *Kinds[E], effects *Kinds[F]) *Recorder[E, F] {
	return &Recorder[E, F]{
		events: events, effects: effects, header: header, limit: limit,
		queue: make(chan queuedEvent[E, F], queueCapacity),
		out:   bufio.NewWriter(out),
	}
}

// Record adds an event and its effects. It never blocks. If the queue is full, the recording ends with EndLost. Events
// and effects must be immutable; the slice of effects may be reused.
func (r *Recorder[E, F]) Record(now time.Time, event E, effects []F) {
	if r.stopped.Load() {
		return
	}

	select {
	case r.queue <- queuedEvent[E, F]{now: now, event: event, effects: slices.Clone(effects)}:
	default:
		// From here on, no events are accepted, so the queue holds only events before the gap.
		r.overflowed.Store(true)
		r.stopped.Store(true)
	}
}

// Start starts the writer's goroutine. It ends when ctx is cancelled, after it has written the events recorded until
// then, or earlier at the size limit, at a gap or on an error. The channel then receives nil or the error. Events
// recorded after the cancellation may be left out.
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
	start := line{Start: &startLine{Format: formatVersion, Seed: r.header.Seed, Options: r.header.Options}}
	if ended, err := r.writeLine(start); ended || err != nil {
		return err
	}

	for {
		select {
		case e := <-r.queue:
			if ended, err := r.writeEvent(e); ended || err != nil {
				return err
			}
		case <-ctx.Done():
			r.stopped.Store(true)

			return r.writeRemaining()
		}
	}
}

// writeRemaining writes the queued events and the closing line.
func (r *Recorder[E, F]) writeRemaining() error {
	for {
		select {
		case e := <-r.queue:
			if ended, err := r.writeEvent(e); ended || err != nil {
				return err
			}
		default:
			// Record may have set overflowed after the writer emptied the queue, so that writeEvent didn't see it.
			if r.overflowed.Load() {
				return r.writeClosingLine(EndLost, "")
			}

			return r.writeClosingLine(EndStopped, "")
		}
	}
}

// writeEvent writes an event and its effects. It reports whether the recording has ended.
func (r *Recorder[E, F]) writeEvent(e queuedEvent[E, F]) (bool, error) {
	r.seq++

	event, err := r.events.encode(e.event)
	if err != nil {
		return true, r.writeClosingLine(EndUnrecordable, err.Error())
	}

	effects, err := r.effects.encodeAll(e.effects)
	if err != nil {
		return true, r.writeClosingLine(EndUnrecordable, err.Error())
	}

	if ended, err := r.writeLine(line{Seq: r.seq, Now: e.now, Event: &event, Effects: effects}); ended || err != nil {
		return ended, err
	}

	if len(r.queue) > 0 {
		return false, nil
	}
	// All events before the gap are written.
	if r.overflowed.Load() {
		return true, r.writeClosingLine(EndLost, "")
	}

	// Flushing whenever the queue is empty limits the loss in a crash to the last burst of events.
	return false, errors.Wrap(r.out.Flush(), "write recording")
}

// writeLine writes a line, or the closing line if it does not fit. It reports whether the recording has ended.
func (r *Recorder[E, F]) writeLine(l line) (bool, error) {
	data, err := json.Marshal(l)
	if err != nil {
		return true, r.writeClosingLine(EndUnrecordable, err.Error())
	}
	if len(data) >= maxLine {
		return true, r.writeClosingLine(EndUnrecordable, "line is too long")
	}
	if r.writtenBytes+int64(len(data))+1 > r.limit-closingLineReserve {
		return true, r.writeClosingLine(EndLimit, "")
	}

	return false, r.appendLine(data)
}

func (r *Recorder[E, F]) writeClosingLine(end End, cause string) error {
	r.stopped.Store(true)

	data, err := json.Marshal(line{End: end, Cause: cause[:min(len(cause), maxCauseLength)]})
	if err != nil {
		return errors.Wrap(err, "encode closing line")
	}

	return r.appendLine(data)
}

func (r *Recorder[E, F]) appendLine(data []byte) error {
	r.writtenBytes += int64(len(data)) + 1
	_, err := r.out.Write(append(data, '\n'))

	return errors.Wrap(err, "write recording")
}
