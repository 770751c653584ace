package http1

import (
	"bytes"
	"io"

	"github.com/cockroachdb/errors"
)

// ErrHeadTooLarge is returned if a head (start line and header fields), or a series of interim responses, exceeds the
// limit.
var ErrHeadTooLarge = errors.New("head of the message is too large")

// limitedReader returns ErrHeadTooLarge once it has read as many bytes as setLimit allows. It is necessary because the
// head parser of net/http has no limit. It can keep the bytes of a head, because the parser does not show all of them.
type limitedReader struct {
	reader    io.Reader
	limited   bool
	remaining int
	// err is the last error of the reader.
	err error
	// recording is set while what is read is kept in recorded.
	recording bool
	recorded  []byte
}

// startRecording keeps the bytes of the following reads. Buffered holds those that were read before.
func (r *limitedReader) startRecording(buffered []byte) {
	r.recording, r.recorded = true, bytes.Clone(buffered)
}

// stopRecording returns the bytes that were kept, except for the given number at their end, which are still buffered.
func (r *limitedReader) stopRecording(buffered int) []byte {
	recorded := r.recorded[:len(r.recorded)-buffered]
	r.recording, r.recorded = false, nil

	return recorded
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

	if r.recording {
		r.recorded = append(r.recorded, data[:n]...)
	}

	return n, err
}
