package http1

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrHeadTooLarge is returned for a head, or a series of interim responses, beyond the limit.
var ErrHeadTooLarge = errors.New("head of the message is too large")

// budgetReader fails once its budget is used up. The parser of heads has no limit of its own.
type budgetReader struct {
	reader  io.Reader
	limited bool
	left    int
	// err is the last error of the reader.
	err error
}

func (r *budgetReader) limit(bytes int) {
	r.limited = bytes > 0
	// A part of the head, or all of it, may be in the buffer of the connection already.
	r.left = bytes
}

func (r *budgetReader) unlimited() { r.limited = false }

// Read implements io.Reader.
func (r *budgetReader) Read(data []byte) (int, error) {
	if r.limited {
		if r.left <= 0 {
			r.err = ErrHeadTooLarge

			return 0, r.err
		}

		data = data[:min(len(data), r.left)]
	}

	n, err := r.reader.Read(data)
	r.left -= n
	r.err = err

	return n, err
}
