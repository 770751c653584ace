package http1

import (
	"io"

	"github.com/cockroachdb/errors"
)

// connBody is the body of a response, at whose end the connection is given back.
type connBody struct {
	reader io.ReadCloser
	conn   *ClientConn
	// stop ends CloseOn and reports whether the connection is still open.
	stop func() bool
	// reusable reports at the end of the body whether another request may follow on the connection.
	reusable func() bool
	ended    bool
}

// Body returns the body of a response that was read from the connection. At its end, the connection is released if it
// is reusable; closing the body earlier closes the connection. Stop is what CloseOn returned.
func (c *ClientConn) Body(reader io.ReadCloser, stop, reusable func() bool) io.ReadCloser {
	return &connBody{reader: reader, conn: c, stop: stop, reusable: reusable}
}

// Read implements io.Reader.
func (b *connBody) Read(data []byte) (int, error) {
	if b.ended {
		return 0, io.EOF
	}

	n, err := b.reader.Read(data)
	if errors.Is(err, io.EOF) {
		b.finish()
	}

	return n, err
}

func (b *connBody) finish() {
	b.ended = true

	if b.stop() && b.reusable() {
		b.conn.Release()

		return
	}

	b.conn.Close()
}

// Close ends the connection unless the body was read to its end.
func (b *connBody) Close() error {
	if !b.ended {
		b.ended = true
		b.stop()
		b.conn.Close()
	}

	return nil
}
