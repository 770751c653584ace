package http1

import (
	"io"

	"github.com/cockroachdb/errors"
)

// ErrHeadTooLarge is returned if a head (start line and header fields), or a series of interim responses, exceeds the
// limit.
var ErrHeadTooLarge = errors.New("head of the message is too large")

// limitedReader returns ErrHeadTooLarge once it has read as many bytes as setLimit allows. It is necessary because the
// head parser of net/http has no limit.
type limitedReader struct {
	reader    io.Reader
	limited   bool
	remaining int
	// err is the last error of the reader.
	err error
}

// setLimit limits the number of bytes of the following reads; zero means no limit.
func (r *limitedReader) setLimit(limit int) {
	r.limited = limit > 0
	// A head may exceed the limit by the part of it that is already in the connection's read buffer.
	r.remaining = limit
}

func (r *limitedReader) clearLimit() { r.limited = false }

// Read implements io.Reader.
func (r *limitedReader) Read(data []byte) (int, error) {
	if r.limited {
		if r.remaining <= 0 {
			r.err = ErrHeadTooLarge

			return 0, r.err
		}

		data = data[:min(len(data), r.remaining)]
	}

	n, err := r.reader.Read(data)
	r.remaining -= n
	r.err = err

	return n, err
}
