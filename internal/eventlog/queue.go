// Package eventlog writes the structured log of a daemon: one JSON line for each decision about a request and for each
// change of the daemon's view of the fleet.
//
// Logging never blocks the daemon: lines go through a bounded queue to a goroutine that writes them. Lines beyond a
// rate limit are suppressed, and the log reports their number. Routine and notable lines have separate limits, so that
// a flood of one kind does not hide the other.
package eventlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/task"
)

const (
	// flushInterval is how long the queue collects lines before it writes them together.
	flushInterval = 100 * time.Millisecond
	// maxQueueBytes bounds the lines that wait to be written.
	maxQueueBytes = 1 << 20
)

// Queue is an io.Writer that never blocks. It drops and counts lines that do not fit.
type Queue struct {
	out io.Writer

	mutex   sync.Mutex
	pending []byte
	dropped uint64
	// wake has a buffer of one. It receives a value when a line arrives at the empty queue.
	wake chan struct{}
	done chan struct{}
}

// NewQueue returns a queue whose lines Run writes to out.
func NewQueue(out io.Writer) *Queue {
	return &Queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Write implements io.Writer. It reports success even if it drops the line.
func (q *Queue) Write(line []byte) (int, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	if len(q.pending)+len(line) > maxQueueBytes {
		q.dropped++

		return len(line), nil
	}

	if len(q.pending) == 0 {
		select {
		case q.wake <- struct{}{}:
		default:
		}
	}

	q.pending = append(q.pending, line...)

	return len(line), nil
}

// Dropped returns the number of lines that were dropped because the reader of the log is too slow.
func (q *Queue) Dropped() uint64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	return q.dropped
}

// Run writes lines until ctx ends, then writes the remaining ones and returns.
func (q *Queue) Run(ctx context.Context) {
	defer close(q.done)

	var spare []byte

	for ctx.Err() == nil {
		select {
		case <-q.wake:
		case <-ctx.Done():
		}

		task.Sleep(ctx, flushInterval)

		spare = q.flush(spare)
	}

	q.flush(spare)
}

// Done returns a channel that is closed when Run returns.
func (q *Queue) Done() <-chan struct{} { return q.done }

// flush writes the pending lines and returns their buffer for reuse. New lines go to spare meanwhile.
func (q *Queue) flush(spare []byte) []byte {
	q.mutex.Lock()
	lines := q.pending
	q.pending = spare[:0]
	q.mutex.Unlock()

	if len(lines) > 0 {
		// If the log cannot be written, there is nowhere left to report it.
		_, _ = q.out.Write(lines)
	}

	return lines
}
