// Package http1 keeps HTTP/1.1 connections: those that callers and other daemons open, and those to other
// daemons and to the backend server.
//
// Messages are parsed by net/http. Its Server and Transport are not used on the path of a request, for
// three reasons: Server answers the requests of one connection one after the other and does not notice
// that a caller has left while another of its requests waits; Transport takes whatever arrives next on a
// connection for the response, also if it belongs to an earlier request; and neither says whether the
// last byte of a request was handed to the connection, which decides whether it may have run.
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

// bufferSize is that of one buffer for reading and one for writing a connection, in bytes. The head of a
// message usually fits.
const bufferSize = 4 << 10

// UnknownLength stands for a body whose end is marked by the transfer coding or by the end of the
// connection.
const UnknownLength = -1

// Body is the content of a message.
type Body struct {
	Reader io.Reader
	// Length in bytes, or UnknownLength.
	Length int64
}

// writeHeader writes fields and the framing of a body.
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

// writeBody writes a body after its header. A body that ends before its stated length is an error, after
// which the connection must not be used.
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

			// What has arrived is passed on, so that a slow source does not delay its first bytes.
			if flushErr := w.Flush(); flushErr != nil {
				return errors.Wrap(flushErr, "write body")
			}
		}

		if errors.Is(err, io.EOF) {
			break
		}

		if err != nil {
			return errors.Wrap(err, "read body to be written")
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
