// Package spool decouples a producer from a slower consumer with a bounded buffer in memory.
package spool

import (
	"context"
	"io"
	"sync"

	"github.com/cockroachdb/errors"
)

// chunkSize is the size of a single read from the source.
const chunkSize = 32 << 10

// Spool is a bounded first-in first-out buffer. The zero value is not usable.
type Spool struct {
	mutex  sync.Mutex
	change *sync.Cond
	chunks [][]byte
	size   int
	limit  int
	err    error
	closed bool
}

// New returns a spool that holds up to limit bytes.
func New(limit int) *Spool {
	s := &Spool{limit: limit}
	s.change = sync.NewCond(&s.mutex)

	return s
}

// Fill copies source into the spool until its end, until the reader closes the spool or ctx is done.
// It sends its result on the returned channel; after that, source is no longer read.
func (s *Spool) Fill(ctx context.Context, source io.Reader) <-chan error {
	done := make(chan error, 1)
	stop := context.AfterFunc(ctx, func() { s.finish(ctx.Err()) })

	go func() {
		err := s.copy(source)
		stop()

		if err == nil {
			s.finish(io.EOF)
		} else {
			s.finish(err)
		}

		done <- err
	}()

	return done
}

func (s *Spool) copy(source io.Reader) error {
	for {
		chunk := make([]byte, chunkSize)

		n, err := source.Read(chunk)
		if n > 0 {
			if putErr := s.put(chunk[:n]); putErr != nil {
				return putErr
			}
		}

		if errors.Is(err, io.EOF) {
			return nil
		}

		if err != nil {
			return errors.Wrap(err, "fill spool")
		}
	}
}

func (s *Spool) put(chunk []byte) error {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for s.size >= s.limit && !s.closed && s.err == nil {
		s.change.Wait()
	}

	if s.closed {
		return io.ErrClosedPipe
	}

	if s.err != nil {
		return s.err
	}

	s.chunks = append(s.chunks, chunk)
	s.size += len(chunk)
	s.change.Broadcast()

	return nil
}

func (s *Spool) finish(err error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	if s.err == nil {
		s.err = err
	}

	s.change.Broadcast()
}

// Read implements io.Reader. Buffered bytes are returned before an error.
func (s *Spool) Read(data []byte) (int, error) {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	for len(s.chunks) == 0 && s.err == nil && !s.closed {
		s.change.Wait()
	}

	if s.closed {
		return 0, io.ErrClosedPipe
	}

	if len(s.chunks) == 0 {
		return 0, s.err
	}

	n := copy(data, s.chunks[0])
	s.chunks[0] = s.chunks[0][n:]
	s.size -= n

	if len(s.chunks[0]) == 0 {
		s.chunks = s.chunks[1:]
	}

	s.change.Broadcast()

	return n, nil
}

// Close makes Fill stop; what is buffered is dropped.
func (s *Spool) Close() error {
	s.mutex.Lock()
	defer s.mutex.Unlock()

	s.closed = true
	s.chunks = nil
	s.change.Broadcast()

	return nil
}
