// Package http1 implements HTTP/1.1 connections: a server for the connections of callers and other daemons, and a
// client with a connection pool for other daemons and the backend server.
//
// Messages are parsed by net/http. Its Server and Transport are not used on the path of a request, for three reasons.
// Server handles the requests of one connection one after the other, and does not notice that a caller has closed the
// connection while another request of the connection waits. Transport takes whatever arrives next on a connection for
// the response, even if it belongs to an earlier request. Neither reports whether the last byte of a request was
// written to the connection, which decides whether the request may have run.
//
// Protocol upgrades and trailers are not supported.
package http1

import (
	"bufio"
	"io"
	"net/http"
	"strconv"

	"github.com/cockroachdb/errors"
)

// bufferSize is the size in bytes of the read buffer and of the write buffer of a connection. The head of a message
// usually fits into a buffer.
const bufferSize = 4 << 10

// UnknownLength is the length of a body whose end is marked by the transfer coding or by the end of the connection.
const UnknownLength = -1

// Body is the content of a message.
type Body struct {
	Reader io.Reader
	// Length is the length in bytes, or UnknownLength.
	Length int64
}

// writeHeader writes the header fields, the field that states the framing of the body, and the empty line after them.
func writeHeader(w *bufio.Writer, header http.Header, length int64, bodiless bool) error {
	if err := header.Write(w); err != nil {
		return errors.Wrap(err, "write header")
	}

	switch {
	case bodiless:
	case length == UnknownLength:
		_, _ = w.WriteString("Transfer-Encoding: chunked\r\n")
	default:
		_, _ = w.WriteString("Content-Length: ")
		_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), length, 10))
		_, _ = w.WriteString("\r\n")
	}

	_, err := w.WriteString("\r\n")

	return errors.Wrap(err, "write header")
}

// writeBody writes a body after its header. It returns an error if the body ends before its stated length; the
// connection must not be used after an error.
func writeBody(w *bufio.Writer, body Body) error {
	if body.Length != UnknownLength {
		n, err := io.CopyN(w, body.Reader, body.Length)
		if err != nil {
			return errors.Wrapf(err, "write body: %d of %d bytes", n, body.Length)
		}

		return nil
	}

	return writeChunks(w, body.Reader)
}

// chunkSize is the largest chunk of a body of unknown length, in bytes.
const chunkSize = 16 << 10

func writeChunks(w *bufio.Writer, reader io.Reader) error {
	buffer := make([]byte, chunkSize)

	for {
		n, err := reader.Read(buffer)
		if n > 0 {
			_, _ = w.Write(strconv.AppendInt(w.AvailableBuffer(), int64(n), 16))
			_, _ = w.WriteString("\r\n")
			_, _ = w.Write(buffer[:n])
			_, _ = w.WriteString("\r\n")

			// Each chunk is flushed, so that a slow reader does not delay the bytes that it has already returned.
			if flushErr := w.Flush(); flushErr != nil {
				return errors.Wrap(flushErr, "write body")
			}
		}

		if errors.Is(err, io.EOF) {
			break
		}

		if err != nil {
			return errors.Wrap(err, "read body to write")
		}
	}

	_, err := w.WriteString("0\r\n\r\n")

	return errors.Wrap(err, "write body")
}

// Bodiless reports whether a response to the method with the status has no body.
func Bodiless(method string, status int) bool {
	return method == http.MethodHead || status == http.StatusNoContent || status == http.StatusNotModified ||
		status < http.StatusOK
}
