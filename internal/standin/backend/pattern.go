package backend

import (
	"io"

	"github.com/cockroachdb/errors"
)

// patternPeriod is prime, so that a shifted or repeated block does not match the pattern.
const patternPeriod = 251

// Pattern is a seekable stream in which the offset determines each byte.
type Pattern struct {
	size   int64
	offset int64
}

// NewPattern returns a pattern of size bytes.
func NewPattern(size int64) *Pattern { return &Pattern{size: size} }

// Read implements io.Reader.
func (p *Pattern) Read(data []byte) (int, error) {
	if p.offset >= p.size {
		return 0, io.EOF
	}

	n := int(min(int64(len(data)), p.size-p.offset))
	for i := range n {
		data[i] = byte((p.offset + int64(i)) % patternPeriod)
	}

	p.offset += int64(n)

	return n, nil
}

// Seek implements io.Seeker.
func (p *Pattern) Seek(offset int64, whence int) (int64, error) {
	switch whence {
	case io.SeekCurrent:
		offset += p.offset
	case io.SeekEnd:
		offset += p.size
	}

	if offset < 0 {
		return 0, errors.New("seek before the start")
	}

	p.offset = offset

	return offset, nil
}
