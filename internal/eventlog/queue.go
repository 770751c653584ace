// Package eventlog writes the structured log of a daemon: one JSON line for each decision that touches a
// request or changes what the daemon believes.
//
// Writing never blocks the daemon. Lines go through a bounded queue to a writer of its own. Beyond a rate,
// lines are counted instead of written; routine lines and notable ones have an allowance each, so that a flood
// of one kind does not hide the other. What was left out is written as a count.
package eventlog

import (
	"context"
	"io"
	"sync"
	"time"

	"github.com/tarragonmill/tarragonmill/internal/task"
)

const (
	// flushInterval is how long lines are collected before they are written together.
	flushInterval = 100 * time.Millisecond
	// maxQueue bounds the bytes that wait for the writer.
	maxQueue = 1 << 20
)

// Queue is an io.Writer that never blocks. Lines that find it full are dropped and counted.
type Queue struct {
	out io.Writer

	mutex   sync.Mutex
	pending []byte
	dropped uint64
	// wake has room for one signal; it is sent when the queue stops being empty.
	wake chan struct{}
	done chan struct{}
}

// NewQueue returns a queue; Run writes what it holds.
func NewQueue(out io.Writer) *Queue {
	return &Queue{out: out, wake: make(chan struct{}, 1), done: make(chan struct{})}
}

// Write implements io.Writer. It reports success also for a line that is dropped.
func (q *Queue) Write(line []byte) (int, error) {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	if len(q.pending)+len(line) > maxQueue {
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

// Dropped returns the number of lines that were not written because the reader of the log is too slow.
func (q *Queue) Dropped() uint64 {
	q.mutex.Lock()
	defer q.mutex.Unlock()

	return q.dropped
}

// Run writes lines until ctx ends, and what is left then.
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

// Done is closed when Run has returned.
func (q *Queue) Done() <-chan struct{} { return q.done }

// flush writes what waits and returns the buffer for reuse.
func (q *Queue) flush(spare []byte) []byte {
	q.mutex.Lock()
	lines := q.pending
	q.pending = spare[:0]
	q.mutex.Unlock()

	if len(lines) > 0 {
		// There is nowhere to report that the log cannot be written.
		_, _ = q.out.Write(lines)
	}

	return lines
}
