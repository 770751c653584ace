package http1

import (
	"io"

	"github.com/cockroachdb/errors"
)

// connBody is the body of a response. At its end, the connection is returned to the pool.
type connBody struct {
	reader io.ReadCloser
	conn   *ClientConn
	// stop ends the effect of CloseOn and reports whether the connection is still open.
	stop func() bool
	// reusable is called at the end of the body and reports whether the connection may serve another request.
	reusable func() bool
	ended    bool
}

// Body returns the body of a response that was read from the connection. At the end of the body, the connection is
// released if reusable returns true, and closed otherwise. Closing the body earlier closes the connection. The
// parameter stop is the result of CloseOn.
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

// Close closes the connection unless the body was read to its end.
func (b *connBody) Close() error {
	if !b.ended {
		b.ended = true
		b.stop()
		b.conn.Close()
	}

	return nil
}
